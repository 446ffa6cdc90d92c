#include "azureyoke/src/coordination/replica_router.h"

#include <algorithm>
#include <set>

namespace azureyoke::coordination {

namespace internal {
namespace {

constexpr double tick_seconds = 0.1;
constexpr double milliseconds_per_second = 1000;
constexpr double eviction_gain = 0.1;
constexpr double shortest_eviction_seconds = 1;
/// Entries are dropped at this multiple of the mean age at eviction.
constexpr double horizon_factor = 2;
/// Recent placements of pieces that are kept, including repeated ones.
constexpr std::size_t recent_capacity = 16'384;
/// Pieces in a snapshot; each takes about 30 bytes as text.
constexpr std::size_t snapshot_capacity = 4096;

} // namespace
} // namespace internal

replica_router::replica_router(const router_settings& settings)
    : settings_(settings), tracker_(settings.tracker), index_(settings.index_entries),
      popularity_(settings.sketch_width, settings.popularity_half_life),
      policy_(make_policy(settings)), last_call_(settings.first_call) {}

std::unique_ptr<placement_policy>
replica_router::make_policy(const router_settings& settings) const {
    switch (settings.kind) {
    case placement_kind::round_robin:
        return std::make_unique<round_robin_policy>();
    case placement_kind::least_loaded:
        return std::make_unique<least_loaded_policy>(tracker_);
    case placement_kind::prefix_hash:
        return std::make_unique<prefix_hash_policy>(tracker_);
    case placement_kind::longest_match:
        return std::make_unique<longest_match_policy>(tracker_, index_);
    case placement_kind::first_token:
        break;
    }
    return std::make_unique<first_token_policy>(settings.first_token, tracker_, index_,
                                                popularity_);
}

state::index_tick replica_router::tick_of(instant now) {
    return static_cast<state::index_tick>(to_seconds(now.time_since_epoch()) /
                                          internal::tick_seconds);
}

void replica_router::set_replicas(const std::vector<replica_info>& list) {
    std::set<std::string> names;
    for (const auto& it : list) {
        tracker_.upsert(it);
        names.insert(it.name);
    }
    for (std::size_t i = 0; i < tracker_.size(); ++i) {
        const auto& info = tracker_.info(static_cast<replica_number>(i));
        if (!names.contains(info.name))
            tracker_.remove(info.name);
    }
}

std::optional<placement> replica_router::choose(const routed_request& request, instant now) {
    placement_request query;
    query.prefix_hashes = request.prefix_hashes;
    query.prompt_tokens = request.prompt_tokens;
    query.piece_tokens = settings_.piece_tokens;
    query.candidates = tracker_.serving(request.model, now);
    std::erase_if(query.candidates, [&](auto it) {
        bool failed = std::find(request.excluded.begin(), request.excluded.end(), it) !=
                      request.excluded.end();
        const auto& loaded = tracker_.weights(it);
        return failed || (!request.weights.empty() && !loaded.empty() && loaded != request.weights);
    });
    if (query.candidates.empty())
        return std::nullopt;
    auto made = policy_->choose(query, now);
    set_expected_age(request, made, now);
    return made;
}

void replica_router::set_expected_age(const routed_request& request, placement& made,
                                      instant now) const {
    auto pieces = static_cast<std::uint32_t>(made.expected_cached_tokens / settings_.piece_tokens);
    if (pieces == 0)
        return;
    auto oldest = index_.oldest_stamp(request.prefix_hashes, pieces, made.replica);
    made.oldest_expected_seconds =
        internal::tick_seconds * static_cast<double>(tick_of(now) - oldest);
}

void replica_router::on_dispatch(const routed_request& request, const placement& made,
                                 instant now) {
    auto uncached = request.prompt_tokens - made.expected_cached_tokens;
    tracker_.on_dispatch(made.replica, request.call, uncached, now);
    expect_cached(made.replica, request.prefix_hashes, now);
    add_notice(notice_kind::dispatched, request, made.replica, uncached);
}

void replica_router::add_notice(notice_kind kind, const routed_request& request,
                                replica_number replica, std::int64_t uncached_tokens) {
    dispatch_notice notice{kind, tracker_.info(replica).name, request.call, uncached_tokens, {}};
    if (kind == notice_kind::dispatched)
        notice.prefix_hashes = request.prefix_hashes;
    notices_.push_back(std::move(notice));
}

// The prompt will be cached at the replica once it is computed. Recording it now sends requests
// that arrive in the meantime to the same replica, so that the prompt is not computed elsewhere as
// well.
void replica_router::expect_cached(replica_number replica,
                                   const std::vector<state::piece_hash>& prefix_hashes,
                                   instant now) {
    for (auto piece : prefix_hashes) {
        popularity_.add(piece, now);
        index_.insert(piece, replica, tick_of(now));
        recent_.push_front({piece, replica});
    }
    while (recent_.size() > internal::recent_capacity)
        recent_.pop_back();
}

state::router_snapshot replica_router::save_snapshot(instant now) const {
    state::router_snapshot snapshot;
    std::map<replica_number, std::size_t> positions;
    for (std::size_t i = 0; i < tracker_.size(); ++i) {
        auto replica = static_cast<replica_number>(i);
        if (!tracker_.present(replica) || tracker_.incarnation(replica).empty())
            continue;
        auto evicted = evictions_.find(replica);
        positions[replica] = snapshot.replicas.size();
        snapshot.replicas.push_back({tracker_.info(replica).name,
                                     tracker_.incarnation(replica),
                                     tracker_.weights(replica),
                                     tracker_.speed(replica),
                                     evicted == evictions_.end() ? 0 : evicted->second.age_seconds,
                                     {}});
    }
    std::set<std::pair<state::piece_hash, replica_number>> seen;
    for (const auto& it : recent_) {
        if (seen.size() == internal::snapshot_capacity)
            break;
        auto position = positions.find(it.replica);
        auto stamp = index_.find_stamp(it.piece, it.replica);
        if (position == positions.end() || !stamp || !seen.emplace(it.piece, it.replica).second)
            continue;
        auto age = internal::tick_seconds * static_cast<double>(tick_of(now) - *stamp);
        snapshot.replicas[position->second].pieces.push_back(
            {it.piece, static_cast<std::int64_t>(age * internal::milliseconds_per_second)});
    }
    return snapshot;
}

void replica_router::restore_snapshot(const state::router_snapshot& snapshot, duration age,
                                      instant now) {
    for (const auto& it : snapshot.replicas) {
        auto replica = tracker_.number_of(it.name);
        if (!replica)
            continue;
        if (it.speed > 0)
            tracker_.restore_speed(*replica, it.speed);
        if (it.eviction_seconds > 0)
            evictions_[*replica].age_seconds = it.eviction_seconds;
        pending_snapshots_.insert_or_assign(
            *replica, snapshot_pieces{it.incarnation, it.weights, it.pieces, now - age});
    }
}

void replica_router::restore_pieces(replica_number replica, const load_report& report) {
    auto node = pending_snapshots_.extract(replica);
    if (node.empty())
        return;
    const auto& it = node.mapped();
    if (it.incarnation != report.incarnation || it.weights != report.weights)
        return;
    for (const auto& piece : it.pieces) {
        auto cached_at = it.at - std::chrono::milliseconds(piece.age_ms);
        if (index_.find_stamp(piece.piece, replica))
            continue;
        index_.insert(piece.piece, replica, tick_of(cached_at));
        recent_.push_back({piece.piece, replica});
    }
}

void replica_router::on_drain_notice(const state::drain_notice& notice, instant now) {
    if (auto replica = tracker_.number_of(notice.replica))
        tracker_.set_draining(*replica, now + std::chrono::milliseconds(notice.valid_ms));
}

void replica_router::on_peer_notice(const dispatch_notice& notice, instant now) {
    auto replica = tracker_.number_of(notice.replica);
    if (!replica)
        return;
    switch (notice.kind) {
    case notice_kind::dispatched:
        tracker_.on_dispatch(*replica, notice.call, notice.uncached_tokens, now);
        expect_cached(*replica, notice.prefix_hashes, now);
        return;
    case notice_kind::first_token:
        tracker_.on_first_token(*replica, notice.call, now);
        return;
    case notice_kind::ended:
        tracker_.on_computed(*replica, notice.call, notice.uncached_tokens);
        tracker_.on_end(*replica, notice.call);
        return;
    }
}

void replica_router::on_first_token(const routed_request& request, const placement& made,
                                    instant now) {
    tracker_.on_first_token(made.replica, request.call, now);
    add_notice(notice_kind::first_token, request, made.replica, 0);
}

void replica_router::on_usage(const routed_request& request, const placement& made,
                              std::int64_t cached_tokens, instant now) {
    auto uncached = request.prompt_tokens - cached_tokens;
    tracker_.on_computed(made.replica, request.call, uncached);
    add_notice(notice_kind::ended, request, made.replica, uncached);
    bool evicted = cached_tokens < made.expected_cached_tokens;
    if (evicted || made.oldest_expected_seconds > eviction_age(made.replica))
        learn_eviction(made.replica, made.oldest_expected_seconds, now);
    // The replica now has the whole prompt cached, whatever was cached before.
    for (auto piece : request.prefix_hashes)
        index_.insert(piece, made.replica, tick_of(now));
}

void replica_router::on_success(const routed_request& request, replica_number replica,
                                instant now) {
    tracker_.on_success(replica, now);
    tracker_.on_end(replica, request.call);
}

bool replica_router::on_failure(const routed_request& request, replica_number replica,
                                instant now) {
    bool ejected = tracker_.on_failure(replica, now);
    tracker_.on_end(replica, request.call);
    add_notice(notice_kind::ended, request, replica, 0);
    for (auto piece : request.prefix_hashes)
        index_.erase(piece, replica);
    return ejected;
}

void replica_router::on_cancel(const routed_request& request, replica_number replica) {
    tracker_.on_end(replica, request.call);
    add_notice(notice_kind::ended, request, replica, 0);
}

bool replica_router::on_report(replica_number replica, const load_report& report, instant now) {
    bool restarted = tracker_.on_report(replica, report, now);
    if (restarted)
        drop_cache_state(replica);
    restore_pieces(replica, report);
    return restarted;
}

void replica_router::drop_cache_state(replica_number replica) {
    index_.begin_generation(replica);
    evictions_.erase(replica);
}

double replica_router::eviction_age(replica_number replica) const {
    auto it = evictions_.find(replica);
    return it == evictions_.end() ? to_seconds(settings_.first_eviction_age)
                                  : it->second.age_seconds;
}

void replica_router::learn_eviction(replica_number replica, double age_seconds, instant now) {
    auto age = eviction_age(replica);
    age += internal::eviction_gain * (age_seconds - age);
    age = std::max(age, internal::shortest_eviction_seconds);
    evictions_[replica].age_seconds = age;
    auto horizon = now - from_seconds(internal::horizon_factor * age);
    index_.set_horizon(replica, tick_of(horizon));
}

void replica_router::on_cache_event(replica_number replica, const cache_event& event, instant now) {
    auto& feed = feeds_[replica];
    if (feed.incarnation != event.incarnation) {
        if (!feed.incarnation.empty())
            drop_cache_state(replica);
        feed = {event.incarnation, event.number};
    } else if (event.number <= feed.last_number) {
        return; // a repeated event
    } else {
        // Events lost in a gap are corrected by later answers, which report what was actually
        // cached.
        feed.last_number = event.number;
    }
    for (auto piece : event.stored)
        index_.insert(piece, replica, tick_of(now));
    for (auto piece : event.removed) {
        if (auto stamp = index_.find_stamp(piece, replica))
            learn_eviction(
                replica, internal::tick_seconds * static_cast<double>(tick_of(now) - *stamp), now);
        index_.erase(piece, replica);
    }
}

} // namespace azureyoke::coordination
