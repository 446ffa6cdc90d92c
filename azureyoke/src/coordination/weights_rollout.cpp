#include "azureyoke/src/coordination/weights_rollout.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace azureyoke::coordination {

weights_rollout::weights_rollout(const weights_rollout_settings& settings)
    : settings_(settings), pace_(settings.pace) {}

bool weights_rollout::under_way(const change& it, instant now) const {
    if (it.loads_since)
        return now - it.heard < settings_.silence;
    return now - it.began < settings_.overdue;
}

std::size_t weights_rollout::loads(instant now) const {
    return static_cast<std::size_t>(
        std::count_if(changes_.begin(), changes_.end(), [&](const auto& it) {
            return it.second.loads_since && under_way(it.second, now);
        }));
}

void weights_rollout::end_changes(const std::vector<rollout_server>& servers, instant now) {
    std::erase_if(changes_, [&](const auto& it) {
        auto found = std::find_if(servers.begin(), servers.end(),
                                  [&](const auto& s) { return s.id == it.first; });
        if (found == servers.end())
            return true;
        // A server that took weights which were replaced since may wait before the next ones.
        const auto& changing = it.second;
        bool loaded = changing.loads_since && found->weights >= changing.ordered;
        if (loaded)
            pace_.on_load(now - *changing.loads_since, changing.beside, servers.size());
        return loaded || found->weights >= found->wanted;
    });
}

instant weights_rollout::due(const rollout_server& server, std::size_t behind, std::size_t at_once,
                             duration allowed) const {
    if (!server.life)
        return server.replaced_at;
    // The newest weights are expected to live as long as these did.
    auto worthwhile = from_seconds(to_seconds(pace_.load_time()) / settings_.replaced_loss);
    if (*server.life >= worthwhile)
        return server.replaced_at;
    auto rounds = static_cast<std::int64_t>((behind + at_once - 1) / at_once);
    auto latest = allowed - rounds * pace_.load_time();
    return server.replaced_at + std::clamp(latest, duration(0), worthwhile);
}

void weights_rollout::begin_changes(const std::vector<const rollout_server*>& behind,
                                    std::size_t servers, duration allowed, instant now) {
    auto current = static_cast<std::size_t>(
        std::count_if(changes_.begin(), changes_.end(),
                      [&](const auto& it) { return under_way(it.second, now); }));
    auto at_once = pace_.at_once(servers);
    for (const auto* it : behind) {
        if (changes_.contains(it->id))
            continue;
        auto as_old = static_cast<std::size_t>(
            std::count_if(behind.begin(), behind.end(),
                          [&](const auto* other) { return other->weights <= it->weights; }));
        // A server that another instance ordered loads already, whether there is room or not.
        bool begins =
            it->changing || (current < at_once && now >= due(*it, as_old, at_once, allowed));
        if (!begins)
            continue;
        change made;
        made.began = now;
        made.next = now;
        changes_.emplace(it->id, made);
        ++current;
    }
}

std::vector<weights_action> weights_rollout::tick(const std::vector<rollout_server>& servers,
                                                  duration allowed, instant now) {
    end_changes(servers, now);
    std::vector<const rollout_server*> behind;
    for (const auto& it : servers) {
        if (it.weights < it.wanted)
            behind.push_back(&it);
    }
    std::stable_sort(behind.begin(), behind.end(), [](const auto* a, const auto* b) {
        return std::tuple(!a->changing, a->weights, a->load) <
               std::tuple(!b->changing, b->weights, b->load);
    });
    begin_changes(behind, servers.size(), allowed, now);
    std::vector<weights_action> actions;
    for (const auto* it : behind) {
        auto found = changes_.find(it->id);
        if (found == changes_.end())
            continue;
        auto& changing = found->second;
        bool waiting = changing.asked && now - changing.asked_at < settings_.again;
        if (waiting || now < changing.next)
            continue;
        changing.asked = true;
        changing.asked_at = now;
        bool order = !changing.under_way && changing.orders >= 0;
        if (order)
            changing.ordered = it->wanted;
        actions.push_back({order ? weights_step::order : weights_step::look, it->id, it->model,
                           it->wanted, changing.orders});
    }
    return actions;
}

void weights_rollout::on_order(const std::string& server, order_outcome outcome, instant now) {
    auto found = changes_.find(server);
    if (found == changes_.end())
        return;
    auto& changing = found->second;
    changing.asked = false;
    changing.next = now + settings_.look_period;
    auto orders = std::exchange(changing.orders, -1); // it may have counted this one
    if (outcome != order_outcome::unanswered)
        changing.heard = now;
    if (outcome == order_outcome::accepted) {
        changing.loads_since = now;
        auto n = loads(now);
        for (auto& [id, it] : changes_)
            it.beside = it.loads_since ? std::max(it.beside, n) : 0;
        changing.accepted_after = orders;
    }
    switch (outcome) {
    case order_outcome::accepted:
    case order_outcome::in_place:
    case order_outcome::conflict:
    case order_outcome::unanswered:
        changing.under_way = true; // a look tells what became of it
        break;
    case order_outcome::refused:
        changing.next = now + settings_.again;
        break;
    }
}

void weights_rollout::on_look(const std::string& server, std::int64_t orders, bool busy,
                              instant now) {
    auto found = changes_.find(server);
    if (found == changes_.end())
        return;
    auto& changing = found->second;
    changing.asked = false;
    changing.heard = now;
    bool older = changing.loads_since && orders <= changing.accepted_after &&
                 now - *changing.loads_since < settings_.report_lag;
    if (older) {
        changing.next = now + settings_.look_period;
        return;
    }
    changing.orders = busy ? -1 : orders;
    changing.next = now + (busy ? settings_.look_period : duration(0));
    // Weights that were named meanwhile need an order of their own.
    if (!busy)
        changing.under_way = false;
}

} // namespace azureyoke::coordination
