#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "azureyoke/src/coordination/placement_policy.h"
#include "azureyoke/src/coordination/popularity_sketch.h"
#include "azureyoke/src/coordination/replica_tracker.h"
#include "azureyoke/src/state/dispatch_notice.h"
#include "azureyoke/src/state/drain_notice.h"
#include "azureyoke/src/state/prefix_index.h"
#include "azureyoke/src/state/router_snapshot.h"

namespace azureyoke::coordination {

/// \brief The placement policy of the router.
enum class placement_kind { round_robin, least_loaded, prefix_hash, longest_match, first_token };

struct router_settings {
    placement_kind kind = placement_kind::first_token;
    std::size_t index_entries = 1U << 20U;
    std::int64_t piece_tokens = 2000;
    std::size_t sketch_width = 1U << 14U;
    duration popularity_half_life = std::chrono::seconds(20);
    /// Assumed until an eviction is observed.
    duration first_eviction_age = std::chrono::seconds(60);
    tracker_settings tracker;
    first_token_settings first_token;
    call_number first_call = 0; ///< First dispatch number; the ranges of peers are disjoint.

    friend bool operator==(const router_settings&, const router_settings&) = default;
};

/// \brief A request that the router places. Its prefix hashes depend on workspace and weights.
struct routed_request {
    call_number call = 0;
    std::string model;
    std::vector<state::piece_hash> prefix_hashes;
    std::int64_t prompt_tokens = 0;
    std::vector<replica_number> excluded; ///< Replicas that already failed this request.
    std::string weights; ///< When set, only replicas with these or unknown weights may serve.
};

/// \brief A replica's cache event: the pieces that were stored or removed.
struct cache_event {
    std::uint64_t number = 0; ///< Consecutive within an incarnation.
    std::string incarnation;
    std::vector<state::piece_hash> stored;
    std::vector<state::piece_hash> removed;

    friend bool operator==(const cache_event&, const cache_event&) = default;
};

using state::dispatch_notice;
using state::notice_kind;

/// \brief Chooses the replica of each request and learns from the outcomes.
///
/// Pure: time is passed in with each call. Not thread safe.
class replica_router {
public:
    explicit replica_router(const router_settings& settings);

    /// \brief Replaces the set of replicas with `list`.
    void set_replicas(const std::vector<replica_info>& list);

    /// \returns the replica for `request`; nothing when no replica may serve it.
    std::optional<placement> choose(const routed_request& request, instant now);

    void on_dispatch(const routed_request& request, const placement& made, instant now);
    void on_first_token(const routed_request& request, const placement& made, instant now);
    /// \brief The answer reported how many prompt tokens were cached. The estimate of the age
    /// at eviction is updated when fewer than expected were cached, since the missing pieces had
    /// been evicted, or when the oldest expected piece exceeds the estimate.
    void on_usage(const routed_request& request, const placement& made, std::int64_t cached_tokens,
                  instant now);
    void on_success(const routed_request& request, replica_number replica, instant now);
    /// \returns true when this failure ejects the replica.
    bool on_failure(const routed_request& request, replica_number replica, instant now);
    /// \brief The caller disconnected: this counts as neither a success nor a failure.
    void on_cancel(const routed_request& request, replica_number replica);

    /// \returns a snapshot of the learned state, for a router that restarts.
    state::router_snapshot save_snapshot(instant now) const;
    /// \brief Restores a snapshot that a router saved `age` ago. Its pieces are used only once
    /// their replica has reported the incarnation and weights that they belong to.
    void restore_snapshot(const state::router_snapshot& snapshot, duration age, instant now);

    void on_drain_notice(const state::drain_notice& notice, instant now);
    void on_peer_notice(const dispatch_notice& notice, instant now);

    /// \returns the notices for the peers since the last call.
    std::vector<dispatch_notice> take_notices() { return std::exchange(notices_, {}); }

    /// \returns true when the replica restarted or changed weights.
    bool on_report(replica_number replica, const load_report& report, instant now);
    /// \brief Processes an event. Events may be late, lost or repeated; the usage figures in
    /// answers correct the errors that this causes.
    void on_cache_event(replica_number replica, const cache_event& event, instant now);

    /// \returns a number that is unique among the dispatches of this instance.
    call_number next_call() { return ++last_call_; }

    std::optional<replica_number> number_of(const std::string& name) const {
        return tracker_.number_of(name);
    }

    const replica_tracker& tracker() const { return tracker_; }

    /// \brief As in `replica_tracker`.
    void on_path_restored(instant now) { tracker_.on_path_restored(now); }

    /// \brief As in `replica_tracker`.
    std::vector<ramp_change> take_ramp_changes(instant now) {
        return tracker_.take_ramp_changes(now);
    }

    const state::prefix_index& index() const { return index_; }

    std::size_t memory_bytes() const { return index_.memory_bytes(); }

private:
    struct event_feed {
        std::string incarnation;
        std::uint64_t last_number = 0;
    };

    struct eviction_estimate {
        double age_seconds = 0;
    };

    struct recent_piece {
        state::piece_hash piece = 0;
        replica_number replica = 0;
    };

    struct snapshot_pieces {
        std::string incarnation;
        std::string weights;
        std::vector<state::snapshot_piece> pieces;
        instant at; ///< When the ages were recorded.
    };

    void restore_pieces(replica_number replica, const load_report& report);
    void expect_cached(replica_number replica, const std::vector<state::piece_hash>& prefix_hashes,
                       instant now);
    void add_notice(notice_kind kind, const routed_request& request, replica_number replica,
                    std::int64_t uncached_tokens);
    void set_expected_age(const routed_request& request, placement& made, instant now) const;
    static state::index_tick tick_of(instant now);
    double eviction_age(replica_number replica) const;
    void learn_eviction(replica_number replica, double age_seconds, instant now);
    void drop_cache_state(replica_number replica);
    std::unique_ptr<placement_policy> make_policy(const router_settings& settings) const;

    router_settings settings_;
    replica_tracker tracker_;
    state::prefix_index index_;
    popularity_sketch popularity_;
    std::unique_ptr<placement_policy> policy_;
    call_number last_call_;
    std::vector<dispatch_notice> notices_;
    std::map<replica_number, event_feed> feeds_;
    std::map<replica_number, eviction_estimate> evictions_;
    std::deque<recent_piece> recent_; ///< Newest first.
    std::map<replica_number, snapshot_pieces> pending_snapshots_;
};

} // namespace azureyoke::coordination
