// Case: the answers to the requests of one connection change places after a freeze.
#include <csignal>

#include "review/tools/deployment.h"

using namespace review;

namespace {

struct lookup {
    std::string id;
    std::string account;
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 4)
        return not_run;
    deployment world(argv[1], argv[2], argv[3], 3);
    constexpr auto work = ms(200);
    std::map<std::string, int> runs;
    for (int i = 1; i <= 3; ++i) {
        world.add_replica("i-ledger-" + std::to_string(i), "ledger", "",
                          [&](replica& self, const exchange_ptr& call) {
                              auto id = find_field(call->request().fields, "Attempt-Id").value_or("");
                              ++runs[id];
                              world.note("run " + id + " " + call->request().target + " at " + self.id());
                              world.after(work, [&self, call] {
                                  if (!call->finished())
                                      call->reply({200, self.answer_fields(call),
                                                   "balance of " + call->request().target});
                              });
                          });
    }
    world.configure({{{"name", "balance"}, {"host", "h.example"}, {"prefix", "/balance/"},
                      {"kind", "idempotent"}, {"service", "ledger"}, {"timeoutMs", 1500},
                      {"targetLatencyMs", 100}, {"maxAttempts", 2}}},
                    {{{"name", "ledger"}, {"healthPath", "/healthz"}, {"maxConnections", 110}}},
                    {{{"name", "cafe"}, {"apiKeys", {"wu3fexd9dnn2ctnfzs98"}}}});
    if (!world.start()) {
        world.note("the machines did not become ready");
        return not_run;
    }
    int answered = 0;
    int foreign = 0;
    int failed = 0;
    auto ask = [&](client& from, const std::string& account) {
        lookup it{world.next_id(), "/balance/" + account};
        world.note("send " + it.id + " " + it.account);
        from.send({"GET",
                   it.account,
                   {{"Host", "h.example"},
                    {"Attempt-Id", it.id},
                    {"Deadline-Ms", "1500"},
                    {"X-Api-Key", "wu3fexd9dnn2ctnfzs98"}},
                   {}},
                  [&, it](const client::answer& got) {
                      auto id = find_field(got.fields, "Attempt-Id").value_or("");
                      auto at_place = got.complete && got.status == 200;
                      bool other = at_place && (id != it.id || got.body != "balance of " + it.account);
                      answered += at_place ? 1 : 0;
                      foreign += other ? 1 : 0;
                      failed += at_place ? 0 : 1;
                      world.note(std::string(other ? "FOREIGN " : "") + "answer at the place of " +
                                 it.id + ": " + std::to_string(got.status) + " " + id + " \"" +
                                 got.body + "\"");
                  });
    };
    auto& frozen = world.machines[0];
    for (int round = 1; round <= 3; ++round) {
        std::vector<std::unique_ptr<client>> clients;
        for (int i = 0; i < 6; ++i)
            clients.push_back(std::make_unique<client>(
                world.loop, world.machines[static_cast<std::size_t>(i) % 3].callers));
        for (std::size_t i = 0; i < clients.size(); ++i) {
            auto name = "r" + std::to_string(round) + "c" + std::to_string(i);
            ask(*clients[i], name + "-first");
            world.after(ms(40), [&, i, name] { ask(*clients[i], name + "-second"); });
            world.after(ms(300), [&, i, name] { ask(*clients[i], name + "-third"); });
        }
        if (trouble()) {
            world.after(ms(100), [&] {
                world.note("freeze " + frozen.name);
                frozen.child->signal(SIGSTOP);
            });
            world.after(ms(700), [&] {
                world.note("wake " + frozen.name);
                frozen.child->signal(SIGCONT);
            });
        }
        world.run_for(ms(2500));
    }
    if (!world.all_running()) {
        world.note("a process of the product ended");
        return not_run;
    }
    world.note("answered " + std::to_string(answered) + ", without an answer " +
               std::to_string(failed) + ", answers of another request " + std::to_string(foreign));
    if (answered < 18)
        return not_run;
    return foreign > 0 ? broken : held;
}
