#include "azureyoke/src/coordination/weights_rollout.h"

#include <algorithm>

namespace azureyoke::coordination {

weights_rollout::weights_rollout(const weights_rollout_settings& settings) : settings_(settings) {}

std::vector<weights_action> weights_rollout::tick(const std::vector<rollout_server>& servers,
                                                  instant now) {
    std::erase_if(changes_, [&](const auto& it) {
        auto found = std::find_if(servers.begin(), servers.end(),
                                  [&](const auto& s) { return s.id == it.first; });
        return found == servers.end() || found->weights >= found->wanted;
    });
    std::vector<const rollout_server*> behind;
    for (const auto& it : servers) {
        if (it.weights < it.wanted)
            behind.push_back(&it);
    }
    std::stable_sort(behind.begin(), behind.end(), [](const auto* a, const auto* b) {
        return std::pair(a->weights, a->load) < std::pair(b->weights, b->load);
    });
    auto current = static_cast<std::size_t>(
        std::count_if(changes_.begin(), changes_.end(),
                      [&](const auto& it) { return now - it.second.began < settings_.overdue; }));
    for (const auto* it : behind) {
        if (current >= settings_.most_changes)
            break;
        if (changes_.contains(it->id))
            continue;
        change made;
        made.began = now;
        made.next = now;
        changes_.emplace(it->id, made);
        ++current;
    }
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
    changing.orders = -1; // it may have counted this one
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
    changing.orders = busy ? -1 : orders;
    changing.next = now + (busy ? settings_.look_period : duration(0));
    // Weights that were named meanwhile need an order of their own.
    if (!busy)
        changing.under_way = false;
}

} // namespace azureyoke::coordination
