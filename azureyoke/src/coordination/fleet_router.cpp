#include "azureyoke/src/coordination/fleet_router.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

#include "azureyoke/src/coordination/placement_cost.h"

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Error share up to which a server is not penalised.
constexpr double tolerated_error_share = 0.25;
/// Cost of a server whose requests all fail, as a multiple.
constexpr double max_error_factor = 10;
/// Estimates of `server_speed` are right within a factor of about two. Servers whose costs differ
/// by less are chosen among by the request's number, since instances that all know the same would
/// otherwise send their requests to the same few servers until the next reports: with 84 instances
/// 0.90 of short requests were on time then, and 0.96 with this.
constexpr double cost_spread = 1;

std::uint64_t hash_of(std::string_view text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

} // namespace
} // namespace internal

fleet_router::fleet_router(const fleet_router_settings& settings)
    : settings_(settings), ramps_(settings.pace, settings.instance) {}

// The last part belongs to the request alone and is never shared, so it has no prefix hash.
std::vector<std::uint64_t> fleet_router::prefix_hashes_of(const placement_query& query,
                                                          std::int64_t weights) {
    std::vector<std::uint64_t> hashes;
    auto hash = internal::hash_of(query.model, static_cast<std::uint64_t>(weights));
    hash = internal::hash_of(query.cache_salt, hash);
    for (std::size_t i = 0; i + 1 < query.parts.size(); ++i) {
        hash = internal::hash_of(query.parts[i].id, hash);
        hashes.push_back(hash);
    }
    return hashes;
}

bool fleet_router::sent_within(duration life, const std::string& server, std::uint64_t hash,
                               instant now) const {
    auto found = cached_.find(internal::hash_of(server, hash));
    return found != cached_.end() && now - found->second < life;
}

std::int64_t fleet_router::uncached_shared_tokens(const candidate& option,
                                                  const placement_query& query,
                                                  const std::vector<std::uint64_t>& hashes,
                                                  instant now) const {
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        if (tokens > 0 ||
            !sent_within(settings_.likely_cached_ttl, option.server->id, hashes[i], now))
            tokens += query.parts[i].tokens;
    }
    return tokens;
}

std::int64_t fleet_router::weights_of(const fleet_directory& directory, const std::string& server,
                                      const std::string& model) const {
    std::int64_t version = 0;
    if (const auto* entry = directory.find(server)) {
        auto found = entry->models.find(model);
        if (found != entry->models.end())
            version = found->second;
    }
    auto view = views_.find(server);
    if (view != views_.end()) {
        auto found = view->second.weights.find(model);
        if (found != view->second.weights.end())
            version = std::max(version, found->second);
    }
    return version;
}

std::vector<fleet_router::candidate> fleet_router::candidates(const fleet_directory& directory,
                                                              const placement_query& query,
                                                              instant now) {
    auto hashes = prefix_hashes_of(query, 0);
    auto affinity = hashes.empty() ? static_cast<std::uint64_t>(query.number) : hashes.back();
    std::vector<candidate> list;
    for (const auto* it : directory.usable(query.pool)) {
        if (std::find(query.excluded.begin(), query.excluded.end(), it->id) != query.excluded.end())
            continue;
        if (!query.software.empty() && it->software != query.software)
            continue;
        if (query.left_out != nullptr && query.left_out->contains(it->id))
            continue;
        const auto& view = views_[it->id];
        if (now < view.backoff_until || now < view.limited_until ||
            (query.unlimited_only && view.limits_rate))
            continue;
        int connections = view.own.in_flight + view.peers.in_flight;
        if (query.max_connections > 0 && connections >= query.max_connections)
            continue; // the server would reset a further connection
        candidate made;
        made.server = it;
        made.weights = query.model.empty() ? 0 : weights_of(directory, it->id, query.model);
        if (made.weights < query.oldest_weights)
            continue;
        made.preference = internal::hash_of(it->id, affinity);
        bool changes = view.change.model == query.model && made.weights < view.change.version;
        made.usable_from =
            changes ? std::max(view.suspended_until, view.change.until) : view.suspended_until;
        made.usable = made.usable_from <= now;
        if (query.unsuspended_only && !made.usable)
            continue;
        list.push_back(made);
    }
    return list;
}

double fleet_router::recompute_cost(std::int64_t shared_tokens) const {
    return static_cast<double>(shared_tokens) / settings_.tokens_per_ms *
           settings_.recompute_penalty;
}

void fleet_router::estimate_cost(candidate& option, const placement_query& query,
                                 const std::vector<std::uint64_t>& hashes, instant now) {
    const auto& view = views_[option.server->id];
    auto shared = uncached_shared_tokens(option, query, hashes, now);
    option.has_shared_prefix = shared == 0;
    auto own = query.parts.empty() ? 0 : query.parts.back().tokens;
    option.uncached_tokens = shared + own;
    bool report_valid = now - view.reported_at < settings_.load_report_ttl;
    int sent = view.own.in_flight + view.peers.in_flight;
    int running = std::max(sent, report_valid ? view.running : 0);
    int waiting = report_valid ? view.waiting : 0;
    waiting += std::max(0, running - std::max(1, option.server->slots));
    auto pending_tokens =
        option.uncached_tokens + view.own.unprocessed_tokens + view.peers.unprocessed_tokens;
    double ms = static_cast<double>(pending_tokens) / settings_.tokens_per_ms +
                running * settings_.running_request_ms + waiting * settings_.queued_request_ms;
    option.nominal_ms = std::max(ms, min_estimate_ms);
    option.estimate_ms = view.latency.predict(option.nominal_ms, now);
    option.cost = option.nominal_ms * view.latency_ratio;
    if (query.uneven) {
        option.estimate_ms =
            speeds_.estimate_ms(query.pool, option.server->id, option.nominal_ms, now);
        constexpr std::uint64_t steps = 1 << 16;
        auto step =
            internal::hash_of(option.server->id, static_cast<std::uint64_t>(query.number)) % steps;
        option.cost =
            option.estimate_ms * (1 + internal::cost_spread * static_cast<double>(step) / steps);
    }
    option.cost += recompute_cost(shared);
    bool has_target = query.uneven && query.target_ms > 0;
    if (has_target) // makes cached parts give way to free capacity before they cost the target
        option.cost += query.target_ms * late_share(option.estimate_ms, query.target_ms);
    if (option.server->data_centre != settings_.data_centre)
        option.cost += settings_.remote_penalty_ms +
                       (has_target ? remote_cost_ms(query.target_ms, query.bytes) : 0);
    double errors = std::max(0.0, view.error_share - internal::tolerated_error_share);
    option.cost *= 1 + errors * internal::max_error_factor;
    if (option.weights < query.newest_weights)
        option.cost += settings_.old_weights_penalty_ms;
}

// Finds where the chosen server can fetch shared parts that it lacks: from a server that received
// them recently, or, when no such server is known, from the store where they were saved.
void fleet_router::find_cache_source(server_choice& choice, const std::vector<candidate>& list,
                                     const std::vector<std::uint64_t>& hashes, instant now) {
    if (hashes.empty() || choice.weights == 0)
        return;
    auto last = hashes.back();
    choice.fetch = !sent_within(settings_.certainly_cached_ttl, choice.server, last, now);
    auto saved = saved_.find(last);
    choice.save = saved == saved_.end() || now - saved->second >= settings_.save_interval;
    if (!choice.fetch)
        return;
    for (const auto& it : list) {
        if (it.server->id != choice.server && it.weights == choice.weights && it.usable &&
            sent_within(settings_.certainly_cached_ttl, it.server->id, last, now))
            choice.cache_source = it.server->id;
    }
}

// Equals the recompute cost that every server without the shared parts is charged.
double fleet_router::preferred_server_bonus(const placement_query& query) const {
    std::int64_t shared = 0;
    for (std::size_t i = 0; i + 1 < query.parts.size(); ++i)
        shared += query.parts[i].tokens;
    return recompute_cost(shared);
}

std::optional<server_choice> fleet_router::choose(const fleet_directory& directory,
                                                  const placement_query& query, instant now) {
    auto list = candidates(directory, query, now);
    if (list.empty())
        return std::nullopt;
    auto by_preference = [](const candidate& a, const candidate& b) {
        return std::tuple(a.usable, !a.held_back, a.preference) <
               std::tuple(b.usable, !b.held_back, b.preference);
    };
    // Few servers differ in their weights, so the hashes are computed once per version.
    std::map<std::int64_t, std::vector<std::uint64_t>> hashes_by_weights;
    for (auto& it : list) {
        auto [entry, inserted] = hashes_by_weights.try_emplace(it.weights);
        if (inserted)
            entry->second = prefix_hashes_of(query, it.weights);
        estimate_cost(it, query, entry->second, now);
    }
    if (query.paced && !query.beyond_pace && !ramps_.empty())
        hold_back_ramping(list, now);
    bool cached_somewhere = std::any_of(
        list.begin(), list.end(), [](const auto& it) { return it.has_shared_prefix && it.usable; });
    if (!cached_somewhere) {
        auto& preferred = *std::max_element(list.begin(), list.end(), by_preference);
        preferred.cost = preferred.cost - preferred_server_bonus(query);
    }
    auto better = [&](const candidate& a, const candidate& b) {
        if (a.usable != b.usable)
            return a.usable;
        if (a.held_back != b.held_back)
            return b.held_back;
        if (!a.usable)
            return a.usable_from < b.usable_from;
        return query.quickest ? a.estimate_ms < b.estimate_ms : a.cost < b.cost;
    };
    const auto& best = *std::min_element(list.begin(), list.end(), better);
    server_choice made;
    made.server = best.server->id;
    made.uncached_tokens = best.uncached_tokens;
    made.nominal_first_answer_ms = best.nominal_ms;
    made.estimated_first_answer_ms = best.estimate_ms;
    made.weights = best.weights;
    made.pool = query.pool;
    made.uneven = query.uneven;
    made.slots = best.server->slots;
    made.paced = query.paced;
    find_cache_source(made, list, hashes_by_weights[made.weights], now);
    return made;
}

void fleet_router::on_sent(const placement_query& query, const server_choice& choice, instant now) {
    auto& view = views_[choice.server];
    ++view.own.in_flight;
    ++view.unanswered;
    ramps_.on_sent(choice.server, now);
    view.own.unprocessed_tokens += choice.uncached_tokens;
    has_unreported_work_ = true;
    auto hashes = prefix_hashes_of(query, choice.weights);
    for (auto hash : hashes)
        cached_[internal::hash_of(choice.server, hash)] = now;
    if (!hashes.empty())
        placed_.push_back({choice.server, hashes});
    if (choice.save && !hashes.empty())
        saved_[hashes.back()] = now;
    evict_expired(cached_, settings_.likely_cached_ttl, now);
    evict_expired(saved_, settings_.save_interval, now);
}

std::map<std::string, server_work> fleet_router::own_work() const {
    std::map<std::string, server_work> work;
    for (const auto& [id, it] : views_) {
        if (it.own != server_work())
            work.emplace(id, it.own);
    }
    return work;
}

void fleet_router::add_peer_work(const peer_view& view, int sign) {
    for (const auto& [id, work] : view.work) {
        auto& sum_view = views_[id];
        auto& sum = sum_view.peers;
        sum.in_flight += sign * work.in_flight;
        sum.unprocessed_tokens += sign * work.unprocessed_tokens;
        // Which of its requests wait is not reported.
        sum_view.peers_unanswered += work.unprocessed_tokens > 0 ? sign * work.in_flight : 0;
    }
}

void fleet_router::on_peer_work(const std::string& peer,
                                const std::map<std::string, server_work>& work, instant now) {
    auto& view = peers_[peer];
    add_peer_work(view, -1);
    reports_received_ += now - view.received_at; // the default of a new peer is 0
    view = {work, now};
    add_peer_work(view, 1);
}

void fleet_router::on_peer_placed(const placed_prompt& placed, instant now) {
    for (auto hash : placed.prefix_hashes)
        cached_[internal::hash_of(placed.server, hash)] = now;
    evict_expired(cached_, settings_.likely_cached_ttl, now);
}

void fleet_router::expire_peers(instant now) {
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now - it->second.received_at <= settings_.peer_timeout) {
            ++it;
            continue;
        }
        add_peer_work(it->second, -1);
        reports_received_ -= it->second.received_at.time_since_epoch();
        it = peers_.erase(it);
    }
}

void fleet_router::evict_expired(std::unordered_map<std::uint64_t, instant>& entries, duration life,
                                 instant now) const {
    if (entries.size() <= settings_.max_cache_entries)
        return;
    std::erase_if(entries, [&](const auto& it) { return now - it.second >= life; });
    if (entries.size() > settings_.max_cache_entries)
        entries.clear();
}

} // namespace azureyoke::coordination
