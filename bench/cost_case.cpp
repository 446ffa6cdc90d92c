#include <chrono>
#include <iostream>
#include <random>

#include <nlohmann/json.hpp>

#include "azureyoke/src/coordination/configuration_manager.h"
#include "azureyoke/src/coordination/replica_router.h"
#include "azureyoke/src/coordination/share_manager.h"
#include "bench/cases.h"
#include "standin/member_world.h"

namespace azureyoke::bench {

using nlohmann::json;

namespace internal {
namespace {

/// \returns the mean wall-clock time of `n` calls, in nanoseconds.
template <class Call>
double nanoseconds_per_call(int n, Call&& call) {
    auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < n; ++i)
        call(i);
    std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / n;
}

json document_json(int workspaces) {
    json doc = {{"name", "d"}, {"version", 1}, {"data_centres", {{{"name", "dc-a"}}}}};
    for (int i = 0; i < workspaces; ++i)
        doc["workspaces"].push_back(
            {{"name", "w" + std::to_string(i)},
             {"tokens_per_second", 1000},
             {"burst_tokens", 2000},
             {"keys", {state::to_string(state::compute_digest(std::to_string(i)))}}});
    return doc;
}

void measure_index(std::size_t entries) {
    state::prefix_index index(entries);
    std::mt19937_64 random(1);
    auto pieces = static_cast<int>(entries * 7 / 10);
    auto insert = nanoseconds_per_call(pieces, [&](int i) {
        index.insert(random(), static_cast<state::replica_number>(i % 300),
                     static_cast<state::index_tick>(i));
    });
    std::mt19937_64 repeated_random(1);
    std::vector<state::piece_hash> prefix_hashes(10);
    std::size_t found = 0;
    auto lookup = nanoseconds_per_call(100'000, [&](int) {
        for (auto& it : prefix_hashes)
            it = repeated_random();
        found += index.match(prefix_hashes).size();
    });
    std::cout << json({{"case", "index"},
                       {"entries", index.capacity()},
                       {"bytes_per_entry", static_cast<double>(index.memory_bytes()) /
                                               static_cast<double>(index.capacity())},
                       {"wall_ns_per_insert", insert},
                       {"wall_ns_per_lookup", lookup},
                       {"found", found}})
                     .dump()
              << std::endl;
}

void measure_placement(int replicas) {
    coordination::router_settings settings;
    settings.index_entries = 1U << 18U;
    coordination::replica_router router(settings);
    std::vector<coordination::replica_info> list;
    for (int i = 0; i < replicas; ++i)
        list.push_back({"r" + std::to_string(i), "dc", {"m"}, false});
    router.set_replicas(list);
    std::mt19937_64 random(1);
    coordination::instant now = coordination::instant() + std::chrono::hours(1);
    auto cost = nanoseconds_per_call(2000, [&](int i) {
        coordination::routed_request request;
        request.call = router.next_call();
        request.model = "m";
        request.prompt_tokens = 20'000;
        for (int k = 0; k < 10; ++k)
            request.prefix_hashes.push_back(static_cast<std::uint64_t>(i % 50) * 100 +
                                            static_cast<std::uint64_t>(k));
        now += std::chrono::milliseconds(16);
        auto placed = router.choose(request, now);
        router.on_dispatch(request, *placed, now);
        router.on_first_token(request, *placed, now);
        router.on_success(request, placed->replica, now);
        (void)router.take_notices();
    });
    std::cout << json(
                     {{"case", "placement"}, {"replicas", replicas}, {"wall_ns_per_request", cost}})
                     .dump()
              << std::endl;
}

void measure_share_manager(int workspaces) {
    coordination::share_manager manager({}, 1);
    std::vector<coordination::share_limit> limits;
    for (int i = 0; i < workspaces; ++i)
        limits.push_back({"w" + std::to_string(i), {1'000'000, 2'000'000}, 100'000});
    coordination::instant now = coordination::instant() + std::chrono::hours(1);
    manager.set_limits(limits, now);
    manager.set_lease_end(now + std::chrono::hours(10));
    now += std::chrono::seconds(10);
    auto cost = nanoseconds_per_call(100'000, [&](int i) {
        now += std::chrono::microseconds(100);
        auto ticket = static_cast<coordination::admission_id>(i) + 1;
        manager.request_admission(
            ticket, limits[static_cast<std::size_t>(i) % limits.size()].workspace, 10, now);
        manager.finish_request(ticket, 5, now);
        (void)manager.take_outcomes();
        (void)manager.take_messages();
    });
    auto tick = nanoseconds_per_call(1000, [&](int) { manager.tick(now); });
    std::cout << json({{"case", "share_keeper"},
                       {"workspaces", workspaces},
                       {"wall_ns_per_request", cost},
                       {"wall_ns_per_tick", tick}})
                     .dump()
              << std::endl;
}

void measure_configuration(int workspaces) {
    auto text = document_json(workspaces).dump();
    coordination::document_copy copy{{"d", 1, state::content_digest(text)}, text};
    auto cost = nanoseconds_per_call(20, [&](int) {
        coordination::configuration_manager manager;
        (void)manager.offer_document(copy);
    });
    std::cout << json({{"case", "configuration"},
                       {"workspaces", workspaces},
                       {"document_bytes", text.size()},
                       {"wall_ns_per_change", cost}})
                     .dump()
              << std::endl;
}

void measure_membership(int instances, int data_centres) {
    standin::member_world_options options;
    options.instances = instances;
    options.data_centres = data_centres;
    standin::member_world world(options);
    world.run_for(std::chrono::seconds(10));
    auto bytes = world.bytes();
    auto datagrams = world.datagrams();
    constexpr int measured_seconds = 20;
    auto start = std::chrono::steady_clock::now();
    world.run_for(std::chrono::seconds(measured_seconds));
    std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    auto per_instance = [&](double sum) { return sum / measured_seconds / instances; };
    std::cout << json({{"case", "membership"},
                       {"instances", instances},
                       {"data_centres", data_centres},
                       {"bytes_per_second_each",
                        per_instance(static_cast<double>(world.bytes() - bytes))},
                       {"datagrams_per_second_each",
                        per_instance(static_cast<double>(world.datagrams() - datagrams))},
                       {"wall_core_share_each", per_instance(elapsed.count())},
                       {"record_bytes_each",
                        world.live_count(0) * sizeof(coordination::member_record)}})
                     .dump()
              << std::endl;
}

/// Measures the time from a crash until no live instance counts the crashed instance as live, in
/// steps of 100 ms.
void measure_detection(int instances, int data_centres, double loss) {
    standin::member_world_options options;
    options.instances = instances;
    options.data_centres = data_centres;
    options.loss = loss;
    standin::member_world world(options);
    world.run_for(std::chrono::seconds(10));
    world.crash(1);
    int steps = 0;
    auto still_seen = [&] {
        for (int i = 0; i < instances; ++i) {
            if (i != 1 && world.considers_live(i, 1))
                return true;
        }
        return false;
    };
    while (steps < 600 && still_seen()) {
        world.run_for(std::chrono::milliseconds(100));
        ++steps;
    }
    std::cout << json({{"case", "detection"},
                       {"instances", instances},
                       {"loss", loss},
                       {"seconds_until_all_know", steps * 0.1},
                       {"false_removals", world.false_removals()}})
                     .dump()
              << std::endl;
}

} // namespace
} // namespace internal

void run_costs() {
    for (std::size_t entries : {10'000U, 100'000U, 1'000'000U, 9'000'000U})
        internal::measure_index(entries);
    for (int replicas : {12, 100, 317})
        internal::measure_placement(replicas);
    for (int workspaces : {5, 50, 270})
        internal::measure_share_manager(workspaces);
    for (int workspaces : {5, 50, 270})
        internal::measure_configuration(workspaces);
}

void run_membership() {
    internal::measure_membership(8, 3);
    internal::measure_membership(64, 6);
    internal::measure_membership(640, 12);
    internal::measure_detection(8, 3, 0);
    internal::measure_detection(8, 3, 0.1);
    internal::measure_detection(64, 6, 0.1);
    internal::measure_detection(640, 12, 0);
}

} // namespace azureyoke::bench
