// Case: requests of an isolated tenant and of another one share KV cache after an entry with missing
// fields.
#include "review/tools/deployment.h"

using namespace review;

namespace {

const std::set<std::string> isolated = {"north", "east", "west"};

std::vector<std::string> part_ids(const std::string& text) {
    std::vector<std::string> ids;
    std::size_t at = 0;
    while (at < text.size()) {
        auto end = std::min(text.find(',', at), text.size());
        auto part = text.substr(at, end - at);
        ids.push_back(part.substr(0, part.find(':')));
        at = end + 1;
    }
    return ids;
}

/// What one replica keeps: who made each part, by salt and all parts up to it.
using kv_cache = std::map<std::string, std::string>;

} // namespace

int main(int argc, char** argv) {
    if (argc != 4)
        return not_run;
    deployment world(argv[1], argv[2], argv[3], 3);
    std::map<std::string, kv_cache> caches;
    int begun = 0;
    int without_salt = 0;
    int across = 0;
    auto serve = [&](replica& self, const exchange_ptr& call) {
        const auto& fields = call->request().fields;
        auto id = find_field(fields, "Attempt-Id").value_or("");
        auto tenant = find_field(fields, "Tenant").value_or("");
        auto salt = find_field(fields, "Cache-Salt");
        auto ids = part_ids(find_field(fields, "Prompt-Prefix").value_or(""));
        auto& cache = caches[self.id()];
        ++begun;
        without_salt += salt ? 0 : 1;
        world.note("run " + id + " of " + tenant + " at " + self.id() + ", Cache-Salt " +
                   (salt ? "\"" + *salt + "\"" : "absent") + ", Expect-Version " +
                   find_field(fields, "Expect-Version").value_or("absent"));
        std::string chain = salt.value_or("");
        std::vector<std::string> chains;
        bool cached = true;
        for (const auto& part : ids) {
            chain += "/" + part;
            chains.push_back(chain);
            auto found = cache.find(chain);
            cached = cached && found != cache.end();
            if (!cached || found->second == tenant)
                continue;
            if (isolated.contains(tenant) || isolated.contains(found->second)) {
                ++across;
                world.note("WALL " + id + " of " + tenant + " uses part " + part + " that " +
                           found->second + " made, at " + self.id());
            }
        }
        // The first event comes when the prompt has been read; its parts are kept from then on.
        world.after(ms(100), [&world, &cache, &self, call, chains, tenant] {
            for (const auto& it : chains)
                cache.emplace(it, tenant);
            if (call->finished())
                return;
            auto answer = self.answer_fields(call);
            answer.push_back({"Content-Type", "text/event-stream"});
            call->start(200, answer, std::nullopt);
            for (int i = 1; i <= 5; ++i)
                world.after(ms(20 * i), [call, i] {
                    if (call->finished())
                        return;
                    call->write("id: " + std::to_string(i) + "\ndata: word\n\n");
                    if (i == 5)
                        call->end();
                });
        });
    };
    for (int i = 1; i <= 3; ++i)
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
        {{{"name", "north"}, {"apiKeys", {"key-north"}}, {"isolated", true}},
         {{"name", "east"}, {"apiKeys", {"key-east"}}, {"isolated", true}},
         {{"name", "west"}, {"apiKeys", {"key-west"}}, {"isolated", true}},
         {{"name", "south"}, {"apiKeys", {"key-south"}}, {"isolated", false}}});
    if (!world.start()) {
        world.note("the machines did not become ready");
        return not_run;
    }
    int answered = 0;
    std::vector<std::unique_ptr<client>> clients;
    for (auto& it : world.machines) {
        for (int i = 0; i < 8; ++i)
            clients.push_back(std::make_unique<client>(world.loop, it.callers));
    }
    int sent = 0;
    auto traffic = world.loop.every(ms(25), [&] {
        auto number = static_cast<std::size_t>(sent++);
        auto& from = *clients[number % clients.size()];
        if (!from.open() || from.waiting() > 0)
            return;
        const char* names[] = {"north", "east", "south", "west"};
        std::string tenant = names[number % 4];
        auto id = world.next_id();
        // The scheme's rules are the same for all tenants; the last part is the request's own.
        auto scheme = std::to_string(number / 4 % 2);
        from.send({"POST",
                   "/summary/x",
                   {{"Host", "h.example"},
                    {"Attempt-Id", id},
                    {"Model", "daka510000"},
                    {"Token-Count", "1460,80"},
                    {"Prompt-Prefix", "5c1e07a2:800,91bd3f0" + scheme + ":410," + id + ":250"},
                    {"Deadline-Ms", "4000"},
                    {"X-Api-Key", "key-" + tenant}},
                   "text of " + id},
                  [&](const client::answer& got) {
                      answered += got.complete && got.status == 200 ? 1 : 0;
                  });
    });
    world.run_for(ms(2000));
    for (std::size_t i = 0; i < 12; ++i) {
        if (trouble()) {
            auto& overwritten = *world.replicas[i % world.replicas.size()];
            auto entry = overwritten.entry();
            for (const char* field : {"models", "stage", "born"})
                entry.erase(field);
            world.store.put("servers", overwritten.id(), entry.dump());
            world.note("another writer: servers/" + overwritten.id() + " = " + entry.dump());
        }
        world.run_for(ms(1500));
    }
    traffic.reset();
    world.run_for(ms(1000));
    if (!world.all_running()) {
        world.note("a process of the product ended");
        return not_run;
    }
    world.note("requests run " + std::to_string(begun) + ", answered " + std::to_string(answered) +
               ", run without Cache-Salt " + std::to_string(without_salt) +
               ", parts used across the wall " + std::to_string(across));
    if (answered < 100)
        return not_run;
    return across > 0 ? broken : held;
}
