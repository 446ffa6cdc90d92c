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

// The own part at the end is never shared.
std::vector<std::uint64_t> fleet_router::chain_of(const placement_question& question,
                                                  std::int64_t weights) {
    std::vector<std::uint64_t> chain;
    auto link = internal::hash_of(question.model, static_cast<std::uint64_t>(weights));
    link = internal::hash_of(question.cache_wall, link);
    for (std::size_t i = 0; i + 1 < question.parts.size(); ++i) {
        link = internal::hash_of(question.parts[i].id, link);
        chain.push_back(link);
    }
    return chain;
}

bool fleet_router::sent_within(duration life, const std::string& server, std::uint64_t link,
                               instant now) const {
    auto found = cached_.find(internal::hash_of(server, link));
    return found != cached_.end() && now - found->second < life;
}

std::int64_t fleet_router::shared_tokens_to_read(const candidate& it,
                                                 const placement_question& question,
                                                 const std::vector<std::uint64_t>& chain,
                                                 instant now) const {
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        if (tokens > 0 || !sent_within(settings_.cache_life, it.server->id, chain[i], now))
            tokens += question.parts[i].tokens;
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
                                                              const placement_question& question,
                                                              instant now) {
    auto chain = chain_of(question, 0);
    auto affinity = chain.empty() ? static_cast<std::uint64_t>(question.number) : chain.back();
    std::vector<candidate> list;
    for (const auto* it : directory.usable(question.pool)) {
        if (std::find(question.excluded.begin(), question.excluded.end(), it->id) !=
            question.excluded.end())
            continue;
        const auto& view = views_[it->id];
        if (now < view.rests_until)
            continue;
        int connections = view.own.in_flight + view.peers.in_flight;
        if (question.most_connections > 0 && connections >= question.most_connections)
            continue; // one more would be reset
        candidate made;
        made.server = it;
        made.weights = question.model.empty() ? 0 : weights_of(directory, it->id, question.model);
        if (made.weights < question.oldest_weights)
            continue;
        made.rank = internal::hash_of(it->id, affinity);
        bool changes = view.change.model == question.model && made.weights < view.change.version;
        made.usable_from =
            changes ? std::max(view.suspended_until, view.change.until) : view.suspended_until;
        made.usable = made.usable_from <= now;
        list.push_back(made);
    }
    return list;
}

double fleet_router::reread_cost(std::int64_t shared_tokens) const {
    return static_cast<double>(shared_tokens) / settings_.tokens_per_ms * settings_.reread_weight;
}

void fleet_router::weigh(candidate& it, const placement_question& question,
                         const std::vector<std::uint64_t>& chain, instant now) {
    const auto& view = views_[it.server->id];
    auto shared = shared_tokens_to_read(it, question, chain, now);
    it.keeps = shared == 0;
    auto own = question.parts.empty() ? 0 : question.parts.back().tokens;
    it.new_tokens = shared + own;
    bool believed = now - view.reported_at < settings_.report_life;
    int sent = view.own.in_flight + view.peers.in_flight;
    int running = std::max(sent, believed ? view.running : 0);
    int waiting = believed ? view.waiting : 0;
    waiting += std::max(0, running - std::max(1, it.server->slots));
    auto unread = it.new_tokens + view.own.unread_tokens + view.peers.unread_tokens;
    double ms = static_cast<double>(unread) / settings_.tokens_per_ms +
                running * settings_.running_ms + waiting * settings_.waiting_ms;
    it.estimate_ms = std::max(ms, internal::least_estimate_ms) * view.slowness;
    it.cost = it.estimate_ms;
    it.cost += reread_cost(shared);
    if (it.server->data_centre != settings_.data_centre)
        it.cost += settings_.other_data_centre_ms;
    double errors = std::max(0.0, view.error_share - internal::plain_error_share);
    it.cost *= 1 + errors * internal::most_slowness;
    if (it.weights < question.newest_weights)
        it.cost += settings_.old_weights_ms;
}

// Where the chosen server can get shared parts that it lacks: from a server that was sent them, or,
// while none is known, from where they were saved.
void fleet_router::find_cache_source(fleet_choice& choice, const std::vector<candidate>& list,
                                     const std::vector<std::uint64_t>& chain, instant now) {
    if (chain.empty() || choice.weights == 0)
        return;
    auto last = chain.back();
    choice.fetch = !sent_within(settings_.sure_cache, choice.server, last, now);
    auto saved = saved_.find(last);
    choice.save = saved == saved_.end() || now - saved->second >= settings_.saved_life;
    if (!choice.fetch)
        return;
    for (const auto& it : list) {
        if (it.server->id != choice.server && it.weights == choice.weights && it.usable &&
            sent_within(settings_.sure_cache, it.server->id, last, now))
            choice.cache_holder = it.server->id;
    }
}

// What the reading of the shared parts counts against every server that lacks them.
double fleet_router::home_bonus(const placement_question& question) const {
    std::int64_t shared = 0;
    for (std::size_t i = 0; i + 1 < question.parts.size(); ++i)
        shared += question.parts[i].tokens;
    return reread_cost(shared);
}

std::optional<fleet_choice> fleet_router::choose(const fleet_directory& directory,
                                                 const placement_question& question, instant now) {
    auto list = candidates(directory, question, now);
    if (list.empty())
        return std::nullopt;
    auto by_home = [](const candidate& a, const candidate& b) {
        return std::pair(a.usable, a.rank) < std::pair(b.usable, b.rank);
    };
    std::map<std::int64_t, std::vector<std::uint64_t>> chains; // by weights, which few differ in
    for (auto& it : list) {
        auto [chain, fresh] = chains.try_emplace(it.weights);
        if (fresh)
            chain->second = chain_of(question, it.weights);
        weigh(it, question, chain->second, now);
    }
    bool known =
        std::any_of(list.begin(), list.end(), [](const auto& it) { return it.keeps && it.usable; });
    if (!known) {
        auto& home = *std::max_element(list.begin(), list.end(), by_home);
        home.cost = home.cost - home_bonus(question);
    }
    auto better = [](const candidate& a, const candidate& b) {
        if (a.usable != b.usable)
            return a.usable;
        return a.usable ? a.cost < b.cost : a.usable_from < b.usable_from;
    };
    const auto& best = *std::min_element(list.begin(), list.end(), better);
    fleet_choice made;
    made.server = best.server->id;
    made.new_tokens = best.new_tokens;
    made.first_answer_ms = best.estimate_ms;
    made.weights = best.weights;
    find_cache_source(made, list, chains[made.weights], now);
    return made;
}

void fleet_router::on_sent(const placement_question& question, const fleet_choice& choice,
                           instant now) {
    auto& view = views_[choice.server];
    ++view.own.in_flight;
    view.own.unread_tokens += choice.new_tokens;
    news_ = true;
    auto chain = chain_of(question, choice.weights);
    for (auto link : chain)
        cached_[internal::hash_of(choice.server, link)] = now;
    if (!chain.empty())
        placed_.push_back({choice.server, chain});
    if (choice.save && !chain.empty())
        saved_[chain.back()] = now;
    trim(cached_, settings_.cache_life, now);
    trim(saved_, settings_.saved_life, now);
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
        auto& sum = views_[id].peers;
        sum.in_flight += sign * work.in_flight;
        sum.unread_tokens += sign * work.unread_tokens;
    }
}

void fleet_router::on_peer_work(const std::string& peer,
                                const std::map<std::string, server_work>& work, instant now) {
    auto& view = peers_[peer];
    add_peer_work(view, -1);
    view = {work, now};
    add_peer_work(view, 1);
}

void fleet_router::on_peer_placed(const placed_prompt& placed, instant now) {
    for (auto link : placed.links)
        cached_[internal::hash_of(placed.server, link)] = now;
    trim(cached_, settings_.cache_life, now);
}

void fleet_router::expire_peers(instant now) {
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now - it->second.heard <= settings_.peer_silence) {
            ++it;
            continue;
        }
        add_peer_work(it->second, -1);
        it = peers_.erase(it);
    }
}

void fleet_router::trim(std::unordered_map<std::uint64_t, instant>& entries, duration life,
                        instant now) const {
    if (entries.size() <= settings_.most_cache_entries)
        return;
    std::erase_if(entries, [&](const auto& it) { return now - it.second >= life; });
    if (entries.size() > settings_.most_cache_entries)
        entries.clear();
}

void fleet_router::on_first_answer(const fleet_choice& choice, duration took, instant /*now*/) {
    auto& view = views_[choice.server];
    view.own.unread_tokens = std::max<std::int64_t>(0, view.own.unread_tokens - choice.new_tokens);
    news_ = true;
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
    view.own.in_flight = std::max(0, view.own.in_flight - 1);
    if (view.own.in_flight == 0)
        view.own.unread_tokens = 0;
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
    case call_end::unreached:
    case call_end::broken:
        ++view.failures;
        if (how == call_end::unreached || view.failures >= internal::failures_to_suspend) {
            view.suspension = std::clamp(view.suspension * 2, settings_.first_suspension,
                                         settings_.longest_suspension);
            view.suspended_until = now + view.suspension;
        }
        break;
    case call_end::cancelled:
        break;
    }
}

void fleet_router::on_rest(const std::string& server, double seconds, instant now) {
    auto wanted = from_seconds(std::min(seconds, to_seconds(settings_.longest_rest)));
    auto& view = views_[server];
    view.rests_until = std::max(view.rests_until, now + wanted);
}

std::optional<duration> fleet_router::rest_left(const fleet_directory& directory,
                                                const std::string& pool, instant now) const {
    std::optional<duration> least;
    for (const auto* it : directory.usable(pool)) {
        auto view = views_.find(it->id);
        if (view == views_.end() || view->second.rests_until <= now)
            continue;
        auto left = view->second.rests_until - now;
        least = least ? std::min(*least, left) : left;
    }
    return least;
}

void fleet_router::on_change_announced(const std::string& server, const std::string& model,
                                       std::int64_t version, instant now) {
    views_[server].change = {model, version, now + settings_.change_pause};
}

void fleet_router::on_change_ended(const std::string& server) {
    views_[server].change = {};
}

bool fleet_router::changing(const fleet_directory& directory, const std::string& server,
                            instant now) const {
    auto found = views_.find(server);
    if (found == views_.end())
        return false;
    const auto& change = found->second.change;
    return now < change.until && weights_of(directory, server, change.model) < change.version;
}

void fleet_router::on_weights(const std::string& server, const std::string& model,
                              std::int64_t version) {
    auto& view = views_[server];
    auto& known = view.weights[model];
    if (version <= known)
        return;
    known = version;
}

void fleet_router::forget(const std::string& server) {
    auto found = views_.find(server);
    if (found == views_.end())
        return;
    server_view fresh;
    fresh.own = found->second.own; // calls under way end later
    fresh.peers = found->second.peers;
    found->second = fresh;
}

int fleet_router::in_flight(const std::string& server) const {
    auto found = views_.find(server);
    return found == views_.end() ? 0 : found->second.own.in_flight;
}

} // namespace azureyoke::coordination
