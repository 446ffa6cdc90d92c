// Case: a connection is closed under a request that was passed on, because the next one is large.
#include "review/tools/deployment.h"

using namespace review;

int main(int argc, char** argv) {
    if (argc != 4)
        return not_run;
    deployment world(argv[1], argv[2], argv[3], 3);
    const std::string silent_replica = "i-ledger-1";
    instant silent_until;
    std::map<std::string, std::string> ran_at;
    for (int i = 1; i <= 7; ++i) {
        world.add_replica(
            "i-ledger-" + std::to_string(i), "ledger", "",
            [&](replica& self, const exchange_ptr& call) {
                auto id = find_field(call->request().fields, "Attempt-Id").value_or("");
                ran_at[id] = self.id();
                // A silent replica goes on with what it had after its silence.
                auto reply = [&self, call] {
                    if (!call->finished())
                        call->reply({200, self.answer_fields(call), "done " + call->request().target});
                };
                world.after(ms(15), [&, reply] {
                    auto left = silent_until - world.loop.now();
                    if (self.id() == silent_replica && left.count() > 0)
                        world.after(std::chrono::duration_cast<ms>(left), reply);
                    else
                        reply();
                });
            });
    }
    json routes = json::array();
    for (const char* name : {"balance", "refund"})
        routes.push_back({{"name", name},
                          {"host", "h.example"},
                          {"prefix", std::string("/") + name + "/"},
                          {"kind", std::string(name) == "balance" ? "idempotent" : "non_idempotent"},
                          {"service", "ledger"},
                          {"timeoutMs", 1500},
                          {"targetLatencyMs", 100},
                          {"maxAttempts", 2}});
    world.configure(routes,
                    {{{"name", "ledger"}, {"healthPath", "/healthz"}, {"maxConnections", 110}}},
                    {{{"name", "cafe"}, {"apiKeys", {"wu3fexd9dnn2ctnfzs98"}}}});
    if (!world.start()) {
        world.note("the machines did not become ready");
        return not_run;
    }
    int answered = 0;
    int lost = 0;
    int unread = 0;
    auto ask = [&](client& from, const std::string& method, const std::string& target,
                   std::string body) {
        auto id = world.next_id();
        from.send({method,
                   target,
                   {{"Host", "h.example"},
                    {"Attempt-Id", id},
                    {"Deadline-Ms", "1500"},
                    {"X-Api-Key", "wu3fexd9dnn2ctnfzs98"}},
                   std::move(body)},
                  [&, id, target](const client::answer& got) {
                      if (got.complete) {
                          ++answered;
                          return;
                      }
                      auto found = ran_at.find(id);
                      ++(found == ran_at.end() ? unread : lost);
                      world.note((found == ran_at.end() ? "not passed on: " : "LOST ") + id + " " +
                                 target +
                                 (found == ran_at.end() ? "" : ", passed on to " + found->second) +
                                 ": the connection ended without an answer");
                  });
    };
    const std::string upload(400'000, 'x');
    for (int round = 0; round < 10; ++round) {
        std::vector<std::unique_ptr<client>> clients;
        for (auto& it : world.machines) {
            for (int i = 0; i < 8; ++i)
                clients.push_back(std::make_unique<client>(world.loop, it.callers));
        }
        for (auto& it : clients)
            ask(*it, "GET", "/balance/first", {});
        world.run_until(
            [&] {
                return std::all_of(clients.begin(), clients.end(),
                                   [](const auto& it) { return it->waiting() == 0; });
            },
            ms(1500));
        if (trouble()) {
            silent_until = world.loop.now() + ms(1000);
            world.note(silent_replica + " falls silent for 1 s");
        }
        for (auto& it : clients) {
            ask(*it, "GET", "/balance/second", {});
            world.after(ms(100), [&, from = it.get()] { ask(*from, "POST", "/refund/x", upload); });
        }
        world.run_for(ms(2500));
    }
    if (!world.all_running()) {
        world.note("a process of the product ended");
        return not_run;
    }
    world.note("answered " + std::to_string(answered) + ", passed on and lost " +
               std::to_string(lost) + ", not passed on " + std::to_string(unread));
    if (answered < 200)
        return not_run;
    return lost > 3 ? broken : held;
}
