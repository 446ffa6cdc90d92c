// Trial, no case: replicas that are brittle fall over one after the other (issue 32, rule LIMIT).
#include "review/tools/deployment.h"

using namespace review;

namespace {

constexpr int replicas = 10;
constexpr std::size_t slots = 2;
constexpr auto work = ms(100);
constexpr int requests_per_second = 170; // of the 200 that the replicas can serve
constexpr int brittle = 5;               ///< The value of Server-Brittle.

struct waiting_room {
    std::size_t running = 0;
    std::deque<exchange_ptr> waiting;
    std::deque<instant> rejected; ///< Within the last second.
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 4)
        return not_run;
    deployment world(argv[1], argv[2], argv[3], 3);
    std::map<std::string, waiting_room> rooms;
    std::optional<instant> brittle_since;
    int rejections = 0;
    int falls = 0;
    std::size_t lost_in_falls = 0;
    auto fields_of = [&](replica& self, const exchange_ptr& call) {
        auto fields = self.answer_fields(call);
        const auto& room = rooms[self.id()];
        fields.push_back({"Server-Load", std::to_string(room.running) + "," +
                                             std::to_string(room.waiting.size()) + "," +
                                             std::to_string(slots)});
        if (brittle_since)
            fields.push_back({"Server-Brittle", std::to_string(brittle)});
        return fields;
    };
    std::function<void(replica&, const exchange_ptr&)> run = [&](replica& self,
                                                                const exchange_ptr& call) {
        ++rooms[self.id()].running;
        world.after(work, [&, call] {
            auto& room = rooms[self.id()];
            if (!self.up() || room.running == 0)
                return; // it fell over meanwhile
            --room.running;
            if (!call->finished())
                call->reply({200, fields_of(self, call), "done"});
            while (!room.waiting.empty() && room.running < slots) {
                auto next = room.waiting.front();
                room.waiting.pop_front();
                if (!next->finished())
                    run(self, next);
            }
        });
    };
    auto fall = [&](replica& self) {
        auto& room = rooms[self.id()];
        ++falls;
        lost_in_falls += room.running + room.waiting.size();
        world.note("FALL " + std::to_string(falls) + " of " + self.id());
        room = {};
        world.after(ms(1), [&] {
            if (!self.up())
                return;
            self.stop();
            world.after(ms(3000), [&] {
                rooms[self.id()] = {};
                self.start("v1");
            });
        });
    };
    auto serve = [&](replica& self, const exchange_ptr& call) {
        auto& room = rooms[self.id()];
        auto now = world.loop.now();
        bool shrunk = brittle_since && now > *brittle_since + ms(3000); // contactMs
        if (room.running < slots) {
            run(self, call);
            return;
        }
        if (room.waiting.size() < (shrunk ? 1U : 8U)) {
            room.waiting.push_back(call);
            return;
        }
        ++rejections;
        auto fields = fields_of(self, call);
        fields.push_back({"Not-Executed", "1"});
        call->reply({503, fields, {}});
        room.rejected.push_back(now);
        while (now - room.rejected.front() > ms(1000))
            room.rejected.pop_front();
        if (shrunk && room.rejected.size() > brittle)
            fall(self);
    };
    for (int i = 0; i < replicas; ++i)
        world.add_replica("i-ledger-" + std::to_string(i), "ledger", "", serve);
    world.configure({{{"name", "balance"}, {"host", "h.example"}, {"prefix", "/balance/"},
                      {"kind", "idempotent"}, {"service", "ledger"}, {"timeoutMs", 1500},
                      {"targetLatencyMs", 100}, {"maxAttempts", 2}}},
                    {{{"name", "ledger"}, {"healthPath", "/healthz"}, {"maxConnections", 110}}},
                    {{{"name", "cafe"}, {"apiKeys", {"wu3fexd9dnn2ctnfzs98"}}}});
    if (!world.start()) {
        world.note("the machines did not become ready");
        return not_run;
    }
    std::vector<std::unique_ptr<client>> clients(120);
    auto connect = [&](std::size_t i) {
        clients[i] = std::make_unique<client>(world.loop, world.machines[i % 3].callers);
    };
    for (std::size_t i = 0; i < clients.size(); ++i)
        connect(i);
    int sent = 0;
    int served = 0;
    std::size_t next = 0;
    auto began = world.loop.now();
    auto traffic = world.loop.every(ms(5), [&] {
        auto due = static_cast<int>((world.loop.now() - began) / ms(1)) * requests_per_second / 1000;
        for (; sent < due; ++sent) {
            next = (next + 1) % clients.size();
            if (!clients[next]->open())
                connect(next);
            clients[next]->send({"GET",
                                 "/balance/x" + std::to_string(sent),
                                 {{"Host", "h.example"},
                                  {"Attempt-Id", world.next_id()},
                                  {"Deadline-Ms", "1500"},
                                  {"X-Api-Key", "wu3fexd9dnn2ctnfzs98"}},
                                 {}},
                                [&](const client::answer& got) {
                                    served += got.complete && got.status == 200 ? 1 : 0;
                                });
        }
    });
    world.run_for(ms(4000));
    if (trouble()) {
        brittle_since = world.loop.now();
        world.note("the replicas say that they are brittle");
    }
    world.run_for(ms(20000));
    traffic.reset();
    world.run_for(ms(1500));
    world.note("sent " + std::to_string(sent) + ", served " + std::to_string(served) +
               ", rejected by replicas " + std::to_string(rejections) + ", falls " +
               std::to_string(falls) + ", requests lost in them " + std::to_string(lost_in_falls));
    return falls > 2 + replicas / 10 ? broken : held;
}
