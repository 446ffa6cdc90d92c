#include <iostream>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "bench/cases.h"
#include "bench/routing_world.h"
#include "standin/quantile.h"

DEFINE_int32(recovery_seeds, 20, "seeds whose samples are pooled in each recovery case");

namespace azureyoke::bench {

namespace internal {
namespace {

constexpr int event_second = 50;
constexpr int run_seconds = 110;
constexpr int window_seconds = 5;
constexpr int baseline_seconds = 20;
/// Latency counts as recovered while its p99 is at most this multiple of the p99 before the event.
constexpr double max_recovered_ratio = 1.2;

enum class disturbance { crash, hot_set_shift, router_restart, router_restart_without_memory };

const char* name_of(disturbance kind) {
    switch (kind) {
    case disturbance::crash:
        return "crash";
    case disturbance::hot_set_shift:
        return "hot_set_shift";
    case disturbance::router_restart:
        return "router_restart";
    case disturbance::router_restart_without_memory:
        break;
    }
    return "router_restart_without_memory";
}

routing_events events_with(disturbance kind) {
    routing_events events;
    events.seconds = run_seconds;
    switch (kind) {
    case disturbance::crash:
        events.crash_at = event_second;
        break;
    case disturbance::hot_set_shift:
        events.shift_hot_set_at = event_second;
        break;
    case disturbance::router_restart_without_memory:
        events.restore_snapshot = false;
        [[fallthrough]];
    case disturbance::router_restart:
        events.restart_routers_at = event_second;
        break;
    }
    return events;
}

/// Times to the first token over all seeds, by the second in which the request arrived.
class pooled_samples {
public:
    void add(const routing_result& run) {
        for (const auto& [second, values] : run.first_tokens_by_second) {
            auto& pooled = by_second_[second];
            pooled.insert(pooled.end(), values.begin(), values.end());
        }
    }

    /// \returns the p99 of the requests that arrived in the `seconds` from second `first` on.
    double p99(int first, int seconds) const {
        std::vector<double> values;
        for (auto it = by_second_.lower_bound(first);
             it != by_second_.end() && it->first < first + seconds; ++it)
            values.insert(values.end(), it->second.begin(), it->second.end());
        return standin::quantile(values, 0.99);
    }

private:
    std::map<int, std::vector<double>> by_second_;
};

/// Prints the p99 of the worst window and the first second after the event from which the p99 of
/// every later window stays within `max_recovered_ratio` of the p99 before the event.
void print_recovery(const routing_workload& workload, disturbance kind, bench_policy policy) {
    pooled_samples samples;
    for (int seed = 1; seed <= FLAGS_recovery_seeds; ++seed) {
        routing_world world(workload, events_with(kind), policy, static_cast<std::uint64_t>(seed));
        samples.add(world.run());
    }
    auto before = samples.p99(event_second - baseline_seconds, baseline_seconds);
    double worst = 0;
    int recovery_seconds = 0;
    constexpr int last_offset = run_seconds - event_second - window_seconds;
    for (int offset = last_offset; offset >= 0; --offset) {
        auto p99 = samples.p99(event_second + offset, window_seconds);
        worst = std::max(worst, p99);
        if (p99 > max_recovered_ratio * before && recovery_seconds == 0)
            recovery_seconds = offset + 1;
    }
    nlohmann::json line = {{"case", "recovery"},
                           {"workload", workload.name},
                           {"event", name_of(kind)},
                           {"policy", bench::name_of(policy)},
                           {"p99_before_s", before},
                           {"worst_window_p99_s", worst},
                           {"seconds_until_recovered", recovery_seconds},
                           {"recovered_in_time", recovery_seconds <= last_offset}};
    std::cout << line.dump() << std::endl;
}

} // namespace
} // namespace internal

void run_recovery() {
    using internal::disturbance;
    for (const auto& workload : {kopi_kavi(), tafaul()}) {
        for (auto kind :
             {disturbance::crash, disturbance::hot_set_shift, disturbance::router_restart,
              disturbance::router_restart_without_memory}) {
            for (auto policy : {bench_policy::ours, bench_policy::least_loaded})
                internal::print_recovery(workload, kind, policy);
        }
    }
}

} // namespace azureyoke::bench
