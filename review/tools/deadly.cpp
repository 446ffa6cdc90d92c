// Case: a prompt part that crashes replicas after the first event of their answer.
#include "review/tools/deployment.h"

using namespace review;

namespace {

constexpr int events = 12;
constexpr auto contact = ms(3000);
constexpr const char* deadly_part = "91bd3f06";

} // namespace

int main(int argc, char** argv) {
    if (argc != 4)
        return not_run;
    // EVENTS_BEFORE_CRASH=0: the replicas crash before their first event, for comparison.
    const char* text = std::getenv("EVENTS_BEFORE_CRASH");
    int events_before_crash = text == nullptr ? 1 : std::atoi(text);
    deployment world(argv[1], argv[2], argv[3], 3);
    std::vector<instant> crashes;
    std::optional<instant> bound_from;
    int arrivals = 0;
    int late_arrivals = 0;
    std::function<void(replica&, const exchange_ptr&, int, int)> send_event =
        [&](replica& self, const exchange_ptr& call, int event, int last) {
            if (call->finished() || !self.up())
                return;
            call->write("id: " + std::to_string(event) + "\ndata: word\n\n");
            if (event >= events)
                call->end();
            else if (event < last)
                world.after(ms(40),
                            [&, call, event, last] { send_event(self, call, event + 1, last); });
        };
    auto crash = [&](replica& self, const std::string& id) {
        if (!self.up())
            return;
        crashes.push_back(world.loop.now());
        world.note("CRASH " + std::to_string(crashes.size()) + " of " + self.id() + " on " + id);
        if (crashes.size() == 5)
            bound_from = world.loop.now() + contact;
        self.stop();
        world.after(ms(2000), [&] { self.start("v1"); });
    };
    auto serve = [&](replica& self, const exchange_ptr& call) {
        const auto& fields = call->request().fields;
        auto id = find_field(fields, "Attempt-Id").value_or("");
        auto parts = find_field(fields, "Prompt-Prefix").value_or("");
        int first = std::atoi(find_field(fields, "Last-Event-Id").value_or("0").c_str()) + 1;
        bool deadly = parts.find(deadly_part) != std::string::npos;
        if (deadly) {
            ++arrivals;
            bool late = bound_from && world.loop.now() > *bound_from;
            late_arrivals += late ? 1 : 0;
            world.note(std::string(late ? "LATE " : "") + "deadly request " + id + " arrives at " +
                       self.id() + " after event " + std::to_string(first - 1));
        }
        world.after(ms(60), [&, call, id, first, deadly] {
            if (call->finished() || !self.up())
                return;
            if (deadly && events_before_crash == 0) {
                crash(self, id);
                return;
            }
            auto answer = self.answer_fields(call);
            answer.push_back({"Content-Type", "text/event-stream"});
            call->start(200, answer, std::nullopt);
            send_event(self, call, first, deadly ? first + events_before_crash - 1 : events);
            if (deadly)
                world.after(ms(10), [&, id] { crash(self, id); });
        });
    };
    for (int i = 1; i <= 8; ++i)
        world.add_replica("i-lm-" + std::to_string(i), "lm", "daka510000", serve);
    world.configure(
        {{{"name", "summary"}, {"host", "h.example"}, {"prefix", "/summary/"}, {"kind", "stream"},
          {"service", "lm"}, {"timeoutMs", 4000}, {"targetLatencyMs", 600}, {"maxAttempts", 2},
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
    int sound_sent = 0;
    int sound_complete = 0;
    int sent = 0;
    std::vector<std::unique_ptr<client>> clients;
    auto traffic = world.loop.every(ms(50), [&] {
        auto number = static_cast<std::size_t>(sent++);
        clients.push_back(std::make_unique<client>(
            world.loop, world.machines[number % world.machines.size()].callers));
        auto id = world.next_id();
        // From 4 s on, one in twenty requests holds the part; the others share its other parts.
        bool deadly = trouble() && number >= 80 && number % 20 == 7;
        auto middle = deadly ? std::string(deadly_part) : "e4402b7" + std::to_string(number % 5);
        sound_sent += deadly ? 0 : 1;
        clients.back()->send({"POST",
                              "/summary/x",
                              {{"Host", "h.example"},
                               {"Attempt-Id", id},
                               {"Model", "daka510000"},
                               {"Token-Count", "1460,12"},
                               {"Prompt-Prefix", "5c1e07a2:800," + middle + ":410," + id + ":250"},
                               {"Deadline-Ms", "4000"},
                               {"X-Api-Key", "wu3fexd9dnn2ctnfzs98"}},
                              "text of " + id},
                             [&, deadly](const client::answer& got) {
                                 sound_complete +=
                                     !deadly && got.complete && got.status == 200 ? 1 : 0;
                             });
    });
    world.run_for(ms(26000));
    traffic.reset();
    world.run_for(ms(4000));
    if (!world.all_running()) {
        world.note("a process of the product ended");
        return not_run;
    }
    world.note("crashes " + std::to_string(crashes.size()) + ", deadly requests at replicas " +
               std::to_string(arrivals) + ", of these later than contactMs after the fifth crash " +
               std::to_string(late_arrivals) + "; sound streams complete " +
               std::to_string(sound_complete) + " of " + std::to_string(sound_sent));
    if (trouble() ? crashes.size() < 5 && events_before_crash > 0 : sound_complete < 400)
        return not_run;
    return late_arrivals > 3 ? broken : held;
}
