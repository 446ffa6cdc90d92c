#include "bench/cases.h"

namespace azureyoke::bench {

std::vector<named_case> all_cases() {
    return {
        {"routing", "routing measures by policy, for two workloads", run_routing},
        {"recovery", "seconds until tail latency recovers after an event", run_recovery},
        {"shares", "shares against a static split and a central counter", run_shares},
        {"fairness", "queue waits while one workspace offers five times its rate", run_fairness},
        {"membership", "network bytes and failure detection time by fleet size", run_membership},
        {"costs", "wall-clock time of each decision by problem size", run_costs}};
}

} // namespace azureyoke::bench
