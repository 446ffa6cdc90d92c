#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "azureyoke/src/coordination/replica_router.h"
#include "standin/virtual_time.h"

namespace azureyoke::bench {

/// \brief A workload of the project's brief, with the sizes given there.
struct routing_workload {
    std::string name;
    int data_centres = 3;
    int instances = 7;
    std::vector<double> replica_speeds; ///< Prompt tokens per second; at least two kinds.
    std::vector<double> workspace_shares;
    double requests_per_second = 0;
    std::size_t cache_pieces = 0; ///< Cache capacity of each replica.
    int sections = 0;             ///< Second-level prefixes of each workspace.
    int dossiers = 0;             ///< Third-level prefixes of each section.
    double zipf_exponent = 1.0;
    int root_pieces = 4;
    int section_pieces = 3;
    int dossier_pieces = 2;
    int max_tail_tokens = 1500;
    int max_output_tokens = 200;
    double remote_seconds = 0.0005; ///< Added delay to another data centre.
};

routing_workload kopi_kavi();
routing_workload tafaul();

/// \brief Length, faults and message delays of a run. An event at -1 does not happen.
struct routing_events {
    double seconds = 60;
    double warm_up_seconds = 15; ///< Requests that arrive earlier are not measured.
    double shift_hot_set_at = -1;
    double crash_at = -1; ///< A fast replica crashes and returns with an empty cache.
    double restart_routers_at = -1;
    bool restore_snapshot = true; ///< A restarted router restores the last snapshot.
    double event_loss_probability = 0.2;
    double report_delay_seconds = 1;
    bool notices = true; ///< Routers send one another notices of their dispatches.
    double notice_loss_probability = 0.05;
    double notice_delay_seconds = 0.001;
};

/// \brief Placement policies that are compared: `ours`, its baselines, and `oracle`, which reads
/// the actual caches and queues.
enum class bench_policy { round_robin, least_loaded, prefix_hash, longest_match, ours, oracle };

const char* name_of(bench_policy policy);

/// \brief Measures of one run; times in seconds.
struct routing_result {
    double first_token_p50 = 0;
    double first_token_p99 = 0;
    double hit_rate = 0;          ///< Cached prompt tokens over prompt tokens.
    double recomputed_tokens = 0; ///< Computed again after a replica had computed them.
    double worst_workspace_p99 = 0;
    double median_workspace_p99 = 0;
    std::int64_t requests = 0;
    /// Times to the first token, by the second in which the request arrived.
    std::map<int, std::vector<double>> first_tokens_by_second;
};

/// \brief Simulates replicas with limited caches behind the product's routers, in virtual time.
class routing_world {
public:
    routing_world(const routing_workload& workload, const routing_events& events,
                  bench_policy policy, std::uint64_t seed);
    ~routing_world();
    routing_world(const routing_world&) = delete;
    routing_world& operator=(const routing_world&) = delete;
    routing_world(routing_world&&) = delete;
    routing_world& operator=(routing_world&&) = delete;

    routing_result run();

private:
    struct replica;
    struct request;

    void make_routers();
    void add_arrival();
    std::shared_ptr<request> draw_request();
    void place_request(const std::shared_ptr<request>& it);
    coordination::placement oracle_choice(const request& it);
    void begin_prefill(replica& r);
    void end_prefill(replica& r, std::uint64_t incarnation);
    void finish_request(replica& r, const std::shared_ptr<request>& it);
    void crash_replica(replica& r);
    void send_events(replica& r, std::vector<state::piece_hash> stored,
                     std::vector<state::piece_hash> removed);
    void send_notices(std::size_t from);
    void send_report(std::size_t index);
    void save_snapshot();
    void restart_routers();
    int draw_zipf(int n);
    double now_seconds() const;

    routing_workload workload_;
    routing_events events_;
    bench_policy policy_;
    std::mt19937_64 random_;
    standin::virtual_time time_;
    coordination::instant start_;
    std::vector<std::unique_ptr<replica>> replicas_;
    std::vector<std::unique_ptr<coordination::replica_router>> routers_;
    std::unordered_set<state::piece_hash> computed_pieces_;
    int hot_shift_ = 0;
    state::router_snapshot snapshot_;
    coordination::instant snapshot_time_;

    struct sample {
        double at = 0; ///< Seconds from the start to the first token.
        int workspace = 0;
        double first_token_seconds = 0; ///< Time to the first token.
    };

    std::vector<sample> samples_;
    double prompt_tokens_ = 0;
    double cached_tokens_ = 0;
    double recomputed_tokens_ = 0;
};

} // namespace azureyoke::bench
