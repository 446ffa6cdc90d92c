#include "azureyoke/src/coordination/placement_policy.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Weighted rendezvous: -w / ln(u) with u uniform in (0, 1). Source: Schindelhauer and
/// Schomaker, "Weighted distributed hash tables", 2005.
double weighted_score(std::uint64_t key, const std::string& name, double weight) {
    constexpr double range = 18446744073709551616.0; // 2^64
    double u = (static_cast<double>(state::rendezvous_score(key, name)) + 1) / (range + 2);
    return -weight / std::log(u);
}

} // namespace
} // namespace internal

placement round_robin_policy::choose(const placement_request& request, instant /*now*/) {
    return {request.candidates[next_++ % request.candidates.size()], 0, 0, {}};
}

placement least_loaded_policy::choose(const placement_request& request, instant now) {
    auto it =
        std::min_element(request.candidates.begin(), request.candidates.end(), [&](auto a, auto b) {
            return tracker_.backlog(a, now) < tracker_.backlog(b, now);
        });
    return {*it, 0, 0, {}};
}

placement prefix_hash_policy::choose(const placement_request& request, instant /*now*/) {
    auto key = request.prefix_hashes.empty() ? 0 : request.prefix_hashes.front();
    auto it =
        std::max_element(request.candidates.begin(), request.candidates.end(), [&](auto a, auto b) {
            return state::rendezvous_score(key, tracker_.info(a).name) <
                   state::rendezvous_score(key, tracker_.info(b).name);
        });
    return {*it, 0, 0, {}};
}

placement longest_match_policy::choose(const placement_request& request, instant now) {
    auto better = [&](auto a, auto b) {
        auto cached_a = index_.match_length(request.prefix_hashes, a);
        auto cached_b = index_.match_length(request.prefix_hashes, b);
        if (cached_a != cached_b)
            return cached_a > cached_b;
        return tracker_.backlog(a, now) < tracker_.backlog(b, now);
    };
    auto it = std::min_element(request.candidates.begin(), request.candidates.end(), better);
    return {*it, index_.match_length(request.prefix_hashes, *it) * request.piece_tokens, 0, {}};
}

first_token_policy::first_token_policy(const first_token_settings& settings,
                                       const replica_tracker& tracker,
                                       const state::prefix_index& index,
                                       const popularity_sketch& popularity)
    : settings_(settings), tracker_(tracker), index_(index), popularity_(popularity) {}

std::size_t
first_token_policy::shared_pieces(std::span<const state::piece_hash> prefix_hashes) const {
    std::size_t depth = 0;
    while (depth < prefix_hashes.size() &&
           popularity_.count(prefix_hashes[depth]) >= settings_.shared_use_threshold)
        ++depth;
    return depth;
}

std::vector<replica_number>
first_token_policy::within_pace(const std::vector<replica_number>& candidates, instant now) const {
    std::vector<replica_number> kept;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(kept),
                 [&](auto it) { return !tracker_.beyond_pace(it); });
    bool have_room = std::any_of(kept.begin(), kept.end(), [&](auto it) {
        return tracker_.backlog(it, now) <= settings_.room_backlog;
    });
    bool most_kept = 2 * kept.size() >= candidates.size();
    return have_room && most_kept ? kept : candidates;
}

replica_number first_token_policy::preferred_replica(const std::vector<replica_number>& candidates,
                                                     state::piece_hash key) const {
    return *std::max_element(candidates.begin(), candidates.end(), [&](auto a, auto b) {
        return internal::weighted_score(key, tracker_.info(a).name, tracker_.speed(a)) <
               internal::weighted_score(key, tracker_.info(b).name, tracker_.speed(b));
    });
}

placement first_token_policy::choose(const placement_request& request, instant now) {
    auto shared = shared_pieces(request.prefix_hashes);
    auto key = shared == 0 ? 0 : request.prefix_hashes[shared - 1];
    // A prompt without a shared prefix is placed by the hash of its first piece.
    if (shared == 0 && !request.prefix_hashes.empty())
        key = request.prefix_hashes.front();
    auto candidates = within_pace(request.candidates, now);
    auto preferred = preferred_replica(candidates, key);
    placement made;
    for (auto it : candidates) {
        placement_estimate estimate;
        estimate.replica = it;
        auto cached_pieces =
            static_cast<std::int64_t>(index_.match_length(request.prefix_hashes, it));
        auto cached = static_cast<double>(cached_pieces * request.piece_tokens);
        if (it == preferred && cached_pieces < static_cast<std::int64_t>(shared))
            cached += settings_.preferred_hit_probability *
                      static_cast<double>((static_cast<std::int64_t>(shared) - cached_pieces) *
                                          request.piece_tokens);
        estimate.cached_tokens = cached_pieces * request.piece_tokens;
        double uncached = std::max(0.0, static_cast<double>(request.prompt_tokens) - cached);
        bool own = tracker_.info(it).data_centre == settings_.data_centre;
        estimate.distance_seconds = own ? 0 : settings_.remote_seconds;
        estimate.queue_seconds = to_seconds(tracker_.backlog(it, now));
        estimate.compute_seconds = uncached / tracker_.speed(it);
        estimate.score = estimate.distance_seconds + estimate.queue_seconds +
                         (1 + settings_.recompute_weight) * estimate.compute_seconds;
        made.estimates.push_back(estimate);
    }
    auto best = std::min_element(made.estimates.begin(), made.estimates.end(),
                                 [](const auto& a, const auto& b) { return a.score < b.score; });
    made.replica = best->replica;
    made.expected_cached_tokens = best->cached_tokens;
    return made;
}

} // namespace azureyoke::coordination
