// Case: streams get events of two software versions when replicas are replaced in place while the
// store is down.
#include "review/tools/deployment.h"

using namespace review;

namespace {

constexpr int events = 49;
constexpr auto gap = ms(60);

struct stream {
    std::string id;
    std::string text;
};

std::set<std::string> versions_in(const std::string& text) {
    std::set<std::string> found;
    for (const char* it : {"v1", "v2"}) {
        if (text.find(std::string("data: ") + it) != std::string::npos)
            found.insert(it);
    }
    return found;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 4)
        return not_run;
    deployment world(argv[1], argv[2], argv[3], 3);
    std::function<void(replica&, const exchange_ptr&, int)> send_event =
        [&](replica& self, const exchange_ptr& call, int event) {
            if (call->finished() || !self.up())
                return;
            call->write("id: " + std::to_string(event) + "\ndata: " + self.software() + " word " +
                        std::to_string(event) + "\n\n");
            if (event == events) {
                call->end();
                return;
            }
            world.after(gap, [&, call, event] { send_event(self, call, event + 1); });
        };
    auto serve = [&](replica& self, const exchange_ptr& call) {
        const auto& fields = call->request().fields;
        auto last = find_field(fields, "Last-Event-Id").value_or("0");
        world.note("run " + find_field(fields, "Attempt-Id").value_or("") + " at " + self.id() +
                   " of " + self.software() + ", after event " + last);
        auto answer = self.answer_fields(call);
        answer.push_back({"Content-Type", "text/event-stream"});
        call->start(200, answer, std::nullopt);
        send_event(self, call, std::atoi(last.c_str()) + 1);
    };
    for (int i = 1; i <= 4; ++i)
        world.add_replica("i-lm-" + std::to_string(i), "lm", "daka510000", serve);
    world.configure(
        {{{"name", "ask"}, {"host", "h.example"}, {"prefix", "/ask/"}, {"kind", "stream"},
          {"service", "lm"}, {"timeoutMs", 12000}, {"targetLatencyMs", 400}, {"maxAttempts", 3},
          {"sticky", true}, {"resumable", true}, {"gapTargetMs", 400}}},
        {{{"name", "lm"},
          {"healthPath", "/healthz"},
          {"maxConnections", 370},
          {"engine",
           {{"slots", 64}, {"kvCapacityTokens", 94603}, {"models", {{{"name", "daka510000"}}}}}}}},
        {{{"name", "cafe"}, {"apiKeys", {"wu3fexd9dnn2ctnfzs98"}}}});
    if (!world.start()) {
        world.note("the machines did not become ready");
        return not_run;
    }
    int complete = 0;
    int begun = 0;
    int mixed = 0;
    int sent = 0;
    std::vector<std::unique_ptr<client>> clients;
    auto traffic = world.loop.every(ms(100), [&] {
        auto number = static_cast<std::size_t>(sent++);
        clients.push_back(std::make_unique<client>(
            world.loop, world.machines[number % world.machines.size()].callers));
        auto id = world.next_id();
        clients.back()->send(
            {"POST",
             "/ask/x",
             {{"Host", "h.example"},
              {"Attempt-Id", id},
              {"Model", "daka510000"},
              {"Token-Count", "826,49"},
              {"Prompt-Prefix", "5c1e07a2:198," + id + ":628"},
              {"Deadline-Ms", "12000"},
              {"X-Api-Key", "wu3fexd9dnn2ctnfzs98"}},
             "text of " + id},
            [&, id](const client::answer& got) {
                auto found = versions_in(got.body);
                begun += found.empty() ? 0 : 1;
                complete += got.complete && got.status == 200 ? 1 : 0;
                if (found.size() < 2)
                    return;
                ++mixed;
                world.note("ORDER stream " + id + " holds events of v1 and of v2" +
                           (got.complete ? ", complete" : ", broken off"));
            });
    });
    auto replace = [&](replica& it) {
        it.stop();
        world.note(it.id() + " ends");
        world.run_for(ms(300));
        it.start("v2");
        world.note(it.id() + " starts again, with version v2");
    };
    const char* name = std::getenv("DISRUPTION");
    if (name != nullptr && std::string(name) == "restore") {
        world.run_for(ms(2500));
        world.store.save_copy();
        world.note("store: the copy is made");
        for (std::size_t i = 0; i + 1 < world.replicas.size(); ++i) {
            world.run_for(ms(600));
            replace(*world.replicas[i]);
        }
        world.run_for(ms(600));
        if (trouble()) {
            world.set_store_up(false);
            world.run_for(ms(300));
            world.store.restore_copy();
            world.note("store: back from the copy");
            world.store_up = true;
            world.store.set_default_fault(store_fault::none);
            world.run_for(ms(500));
        }
        replace(*world.replicas.back());
        world.run_for(ms(3000));
    } else {
        world.run_for(ms(2500));
        if (trouble())
            world.set_store_up(false);
        world.run_for(ms(600));
        for (auto& it : world.replicas) {
            replace(*it);
            world.run_for(ms(600));
        }
        world.run_for(ms(300));
        if (trouble())
            world.set_store_up(true);
        world.run_for(ms(2000));
    }
    traffic.reset();
    world.run_for(ms(5000));
    if (!world.all_running()) {
        world.note("a process of the product ended");
        return not_run;
    }
    world.note("streams begun " + std::to_string(begun) + ", complete " + std::to_string(complete) +
               ", with events of two versions " + std::to_string(mixed));
    if (begun < 50)
        return not_run;
    return mixed > 2 ? broken : held;
}
