#include <iostream>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "bench/cases.h"
#include "bench/routing_world.h"

DEFINE_int32(seeds, 10, "seeds of each routing case");
DEFINE_double(rate_scale, 1, "factor on the request rate of the routing cases");

namespace azureyoke::bench {

namespace internal {
namespace {

constexpr bench_policy policies[] = {bench_policy::round_robin, bench_policy::least_loaded,
                                     bench_policy::prefix_hash, bench_policy::longest_match,
                                     bench_policy::ours,        bench_policy::oracle};

/// Sums over the seeds, from which the printed means follow.
struct result_sums {
    double p50 = 0;
    double p99 = 0;
    double hit_rate = 0;
    double recomputed_tokens = 0;
    double worst_over_median = 0;
    std::int64_t requests = 0;

    void add(const routing_result& it) {
        p50 += it.first_token_p50;
        p99 += it.first_token_p99;
        hit_rate += it.hit_rate;
        recomputed_tokens += it.recomputed_tokens;
        worst_over_median += it.worst_workspace_p99 / it.median_workspace_p99;
        requests += it.requests;
    }
};

nlohmann::json to_json(const std::string& workload, bench_policy policy, const result_sums& it) {
    auto n = static_cast<double>(FLAGS_seeds);
    return {{"case", "routing"},
            {"workload", workload},
            {"policy", name_of(policy)},
            {"first_token_p50_s", it.p50 / n},
            {"first_token_p99_s", it.p99 / n},
            {"hit_rate", it.hit_rate / n},
            {"recomputed_tokens", it.recomputed_tokens / n},
            {"worst_over_median_p99", it.worst_over_median / n},
            {"requests", it.requests}};
}

/// Compares `ours` with the baseline of the lowest first-token p99, the measure that matters most
/// to users.
nlohmann::json compare_with_fastest_baseline(const std::string& workload,
                                             const std::map<bench_policy, result_sums>& all) {
    const result_sums* best = nullptr;
    for (const auto& [policy, it] : all) {
        bool baseline = policy != bench_policy::ours && policy != bench_policy::oracle;
        if (baseline && (best == nullptr || it.p99 < best->p99))
            best = &it;
    }
    const auto& ours = all.at(bench_policy::ours);
    return {{"case", "routing_ratio"},
            {"workload", workload},
            {"against", "best_first_token"},
            {"first_token_p99_ratio", ours.p99 / best->p99},
            {"recomputed_ratio", ours.recomputed_tokens / best->recomputed_tokens},
            {"hit_rate_difference", (ours.hit_rate - best->hit_rate) / FLAGS_seeds},
            {"worst_over_median_p99", ours.worst_over_median / FLAGS_seeds}};
}

/// Compares `ours` with the best baseline of each measure separately.
nlohmann::json compare_with_best_per_measure(const std::string& workload,
                                             const std::map<bench_policy, result_sums>& all) {
    double recomputed_tokens = 1e18;
    double hit_rate = 0;
    for (const auto& [policy, it] : all) {
        if (policy == bench_policy::ours || policy == bench_policy::oracle)
            continue;
        recomputed_tokens = std::min(recomputed_tokens, it.recomputed_tokens);
        hit_rate = std::max(hit_rate, it.hit_rate);
    }
    const auto& ours = all.at(bench_policy::ours);
    return {{"case", "routing_ratio"},
            {"workload", workload},
            {"against", "best_of_each"},
            {"recomputed_ratio", ours.recomputed_tokens / recomputed_tokens},
            {"hit_rate_difference", (ours.hit_rate - hit_rate) / FLAGS_seeds}};
}

} // namespace
} // namespace internal

void run_routing() {
    for (auto workload : {kopi_kavi(), tafaul()}) {
        workload.requests_per_second *= FLAGS_rate_scale;
        std::map<bench_policy, internal::result_sums> all;
        for (auto policy : internal::policies) {
            auto& sum = all[policy];
            for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
                routing_events events;
                events.shift_hot_set_at = 35;
                events.crash_at = 45;
                routing_world world(workload, events, policy, static_cast<std::uint64_t>(seed));
                sum.add(world.run());
            }
            std::cout << internal::to_json(workload.name, policy, sum).dump() << std::endl;
        }
        std::cout << internal::compare_with_fastest_baseline(workload.name, all).dump()
                  << std::endl;
        std::cout << internal::compare_with_best_per_measure(workload.name, all).dump()
                  << std::endl;
    }
}

} // namespace azureyoke::bench
