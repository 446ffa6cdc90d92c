#include "azureyoke/src/coordination/fleet_router.h"

#include <algorithm>

#include <xxhash.h>

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Weight of the newest observation in learned averages.
constexpr double learning_rate = 0.15;
constexpr double least_slowness = 0.3;
constexpr double most_slowness = 10;
constexpr double least_estimate_ms = 5;
/// Share of errors up to which a server is not held to be worse than others.
constexpr double plain_error_share = 0.25;
constexpr int failures_to_suspend = 2;

std::uint64_t hash_of(std::string_view text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

} // namespace
} // namespace internal

fleet_router::fleet_router(const fleet_router_settings& settings) : settings_(settings) {}

// Hashes of the prompt's shared prefixes; the own part at the end is never shared.
std::vector<std::uint64_t> fleet_router::chain_of(const placement_question& question) const {
    std::vector<std::uint64_t> chain;
    if (question.parts.size() < 2)
        return chain;
    auto link = internal::hash_of(question.model, internal::hash_of(question.cache_wall, 0));
    for (std::size_t i = 0; i + 1 < question.parts.size(); ++i) {
        link = internal::hash_of(question.parts[i].id, link);
        chain.push_back(link);
    }
    return chain;
}

bool fleet_router::keeps(const std::string& server, std::uint64_t link, instant now) const {
    auto found = cached_.find(internal::hash_of(server, link));
    return found != cached_.end() && now - found->second < settings_.cache_life;
}

std::int64_t fleet_router::tokens_to_read(const std::string& server,
                                          const placement_question& question,
                                          const std::vector<std::uint64_t>& chain, bool home,
                                          instant now) const {
    std::int64_t tokens = 0;
    bool cached = true;
    for (std::size_t i = 0; i < question.parts.size(); ++i) {
        cached = cached && i < chain.size() && (home || keeps(server, chain[i], now));
        tokens += cached ? 0 : question.parts[i].tokens;
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

fleet_router::scored fleet_router::score(const fleet_directory& directory,
                                         const state::fleet_server& server,
                                         const placement_question& question,
                                         const std::vector<std::uint64_t>& chain, bool home,
                                         instant now) {
    const auto& view = views_[server.id];
    scored made;
    made.server = &server;
    made.new_tokens = tokens_to_read(server.id, question, chain, home, now);
    bool believed = now - view.reported_at < settings_.report_life;
    int running = std::max(view.in_flight, believed ? view.running : 0);
    int waiting = believed ? view.waiting : 0;
    waiting += std::max(0, running - std::max(1, server.slots));
    double ms = static_cast<double>(made.new_tokens + view.unread_tokens) / settings_.tokens_per_ms;
    ms += running * settings_.running_ms + waiting * settings_.waiting_ms;
    ms = std::max(ms, internal::least_estimate_ms) * view.slowness;
    made.cost = ms;
    if (server.data_centre != settings_.data_centre)
        made.cost += settings_.other_data_centre_ms;
    double errors = std::max(0.0, view.error_share - internal::plain_error_share);
    made.cost *= 1 + errors * internal::most_slowness;
    if (!question.model.empty() && question.newest_weights > 0 &&
        weights_of(directory, server.id, question.model) < question.newest_weights) {
        made.cost += settings_.old_weights_ms;
        made.usable = !question.newest_only;
    }
    made.usable_from = std::max(view.suspended_until, view.changing_until);
    made.usable = made.usable && made.usable_from <= now;
    return made;
}

std::string fleet_router::holder_of(const std::vector<const state::fleet_server*>& list,
                                    const std::vector<std::uint64_t>& chain,
                                    const std::string& except, instant now) const {
    for (const auto* it : list) {
        if (it->id != except && !chain.empty() && keeps(it->id, chain.back(), now))
            return it->id;
    }
    return {};
}

std::optional<fleet_choice> fleet_router::choose(const fleet_directory& directory,
                                                 const placement_question& question, instant now) {
    auto list = directory.usable(question.pool);
    auto chain = chain_of(question);
    auto affinity = chain.empty() ? static_cast<std::uint64_t>(question.number) : chain.back();
    const state::fleet_server* home = nullptr;
    std::uint64_t highest = 0;
    for (const auto* it : list) {
        auto rank = internal::hash_of(it->id, affinity);
        if (home == nullptr || rank > highest) {
            home = it;
            highest = rank;
        }
    }
    std::optional<scored> best;
    for (const auto* it : list) {
        bool excluded = std::find(question.excluded.begin(), question.excluded.end(), it->id) !=
                        question.excluded.end();
        if (excluded)
            continue;
        auto made = score(directory, *it, question, chain, it == home, now);
        bool better = !best || (made.usable && !best->usable) ||
                      (made.usable == best->usable &&
                       (made.usable ? made.cost < best->cost
                                    : made.usable_from < best->usable_from));
        if (better)
            best = made;
    }
    if (!best)
        return std::nullopt;
    if (question.newest_only && !best->usable &&
        weights_of(directory, best->server->id, question.model) < question.newest_weights)
        return std::nullopt;
    fleet_choice made{best->server->id, best->new_tokens, best->cost, {}};
    auto own = question.parts.empty() ? 0 : question.parts.back().tokens;
    if (made.new_tokens > own || !keeps(made.server, chain.empty() ? 0 : chain.back(), now))
        made.cache_holder = holder_of(list, chain, made.server, now);
    return made;
}

void fleet_router::on_sent(const placement_question& question, const fleet_choice& choice,
                           instant now) {
    auto& view = views_[choice.server];
    ++view.in_flight;
    view.unread_tokens += choice.new_tokens;
    for (auto link : chain_of(question))
        cached_[internal::hash_of(choice.server, link)] = now;
    if (cached_.size() > settings_.most_cache_entries)
        trim_caches(now);
}

void fleet_router::trim_caches(instant now) {
    std::erase_if(cached_, [&](const auto& it) { return now - it.second >= settings_.cache_life; });
    if (cached_.size() > settings_.most_cache_entries)
        cached_.clear();
}

void fleet_router::on_first_answer(const fleet_choice& choice, duration took, instant /*now*/) {
    auto& view = views_[choice.server];
    view.unread_tokens = std::max<std::int64_t>(0, view.unread_tokens - choice.new_tokens);
    double expected = std::max(choice.first_answer_ms / view.slowness, internal::least_estimate_ms);
    double ratio = to_seconds(took) * 1000 / expected;
    ratio = std::clamp(ratio, internal::least_slowness, internal::most_slowness);
    view.slowness += internal::learning_rate * (ratio - view.slowness);
}

void fleet_router::on_load(const std::string& server, int running, int waiting, instant now) {
    auto& view = views_[server];
    view.running = running;
    view.waiting = waiting;
    view.reported_at = now;
}

void fleet_router::on_end(const fleet_choice& choice, call_end how, instant now) {
    auto& view = views_[choice.server];
    view.in_flight = std::max(0, view.in_flight - 1);
    if (view.in_flight == 0)
        view.unread_tokens = 0;
    bool failed = how == call_end::error || how == call_end::broken;
    if (how == call_end::answered || failed)
        view.error_share += internal::learning_rate * ((failed ? 1 : 0) - view.error_share);
    switch (how) {
    case call_end::answered:
    case call_end::error:
        view.failures = 0;
        view.suspension = {};
        break;
    case call_end::shed:
        view.suspended_until = std::max(view.suspended_until, now + settings_.shed_pause);
        break;
    case call_end::broken:
        if (++view.failures >= internal::failures_to_suspend) {
            view.suspension = std::clamp(view.suspension * 2, settings_.first_suspension,
                                         settings_.longest_suspension);
            view.suspended_until = now + view.suspension;
        }
        break;
    case call_end::cancelled:
        break;
    }
}

void fleet_router::on_change_announced(const std::string& server, instant now) {
    views_[server].changing_until = now + settings_.change_pause;
}

void fleet_router::on_weights(const std::string& server, const std::string& model,
                              std::int64_t version) {
    auto& view = views_[server];
    auto& known = view.weights[model];
    if (version <= known)
        return;
    known = version;
    view.changing_until = {};
}

void fleet_router::forget(const std::string& server) {
    views_.erase(server);
}

int fleet_router::in_flight(const std::string& server) const {
    auto found = views_.find(server);
    return found == views_.end() ? 0 : found->second.in_flight;
}

} // namespace azureyoke::coordination
