// The two workloads of the project's brief and the names of the policies.
#include "bench/routing_world.h"

namespace azureyoke::bench {

routing_workload kopi_kavi() {
    routing_workload it;
    it.name = "kopi-kavi";
    it.replica_speeds = {24'000, 24'000, 24'000, 24'000, 24'000, 24'000,
                         9'000,  9'000,  9'000,  9'000,  9'000,  9'000};
    it.workspace_shares = {0.45, 0.3, 0.15, 0.06, 0.04};
    it.requests_per_second = 24;
    it.cache_pieces = 160;
    it.sections = 24;
    it.dossiers = 12;
    it.zipf_exponent = 1.0;
    it.remote_seconds = 0.0005;
    return it;
}

routing_workload tafaul() {
    routing_workload it;
    it.name = "tafaul";
    it.replica_speeds = {20'000, 20'000, 20'000, 20'000, 8'000, 8'000, 8'000, 8'000, 8'000};
    it.workspace_shares = {0.35, 0.3, 0.2, 0.1, 0.05};
    it.requests_per_second = 8;
    it.cache_pieces = 400;
    it.sections = 12;
    it.dossiers = 40;
    it.zipf_exponent = 0.9;
    it.root_pieces = 3;
    it.section_pieces = 2;
    it.dossier_pieces = 5;
    it.max_tail_tokens = 600;
    it.max_output_tokens = 80;
    it.remote_seconds = 0.0015;
    return it;
}

const char* name_of(bench_policy policy) {
    switch (policy) {
    case bench_policy::round_robin:
        return "round_robin";
    case bench_policy::least_loaded:
        return "least_loaded";
    case bench_policy::prefix_hash:
        return "prefix_hash";
    case bench_policy::longest_match:
        return "longest_match";
    case bench_policy::ours:
        return "ours";
    case bench_policy::oracle:
        return "oracle";
    }
    return "";
}

} // namespace azureyoke::bench
