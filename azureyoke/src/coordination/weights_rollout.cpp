#include "azureyoke/src/coordination/weights_rollout.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace azureyoke::coordination {

weights_rollout::weights_rollout(const weights_rollout_settings& settings)
    : settings_(settings), limiter_(settings.limiter) {}

bool weights_rollout::in_progress(const change& changing, instant now) const {
    if (changing.accepted_at)
        return now - changing.last_answer_at < settings_.response_timeout;
    return now - changing.began_at < settings_.acceptance_timeout;
}

std::size_t weights_rollout::loading_count(instant now) const {
    return static_cast<std::size_t>(
        std::count_if(changes_.begin(), changes_.end(), [&](const auto& it) {
            return it.second.accepted_at && in_progress(it.second, now);
        }));
}

void weights_rollout::end_changes(const std::vector<rollout_server>& servers, instant now) {
    std::erase_if(changes_, [&](const auto& it) {
        auto found = std::find_if(servers.begin(), servers.end(),
                                  [&](const auto& s) { return s.id == it.first; });
        if (found == servers.end())
            return true;
        // The change also ends when the loaded weights have been replaced meanwhile: the server may
        // have to wait before it loads the next ones.
        const auto& changing = it.second;
        bool loaded = changing.accepted_at && found->weights >= changing.ordered_weights;
        if (loaded)
            limiter_.on_load_finished(now - *changing.accepted_at, changing.concurrent,
                                      servers.size());
        return loaded || found->weights >= found->desired;
    });
}

instant weights_rollout::change_due_at(const rollout_server& server, std::size_t not_newer,
                                       std::size_t limit, duration old_weights_limit) const {
    if (!server.time_as_newest)
        return server.replaced_at;
    // The newest weights are expected to stay the newest for as long as the server's were.
    auto worthwhile =
        from_seconds(to_seconds(limiter_.shortest_load()) / settings_.replaced_work_loss);
    if (*server.time_as_newest >= worthwhile)
        return server.replaced_at;
    auto rounds = static_cast<std::int64_t>((not_newer + limit - 1) / limit);
    auto latest_delay = old_weights_limit - rounds * limiter_.shortest_load();
    return server.replaced_at + std::clamp(latest_delay, duration(0), worthwhile);
}

void weights_rollout::begin_changes(const std::vector<const rollout_server*>& behind,
                                    std::size_t servers, duration old_weights_limit, instant now) {
    auto current = static_cast<std::size_t>(
        std::count_if(changes_.begin(), changes_.end(),
                      [&](const auto& it) { return in_progress(it.second, now); }));
    auto limit = limiter_.limit(servers);
    for (const auto* it : behind) {
        if (changes_.contains(it->id))
            continue;
        auto not_newer = static_cast<std::size_t>(
            std::count_if(behind.begin(), behind.end(),
                          [&](const auto* other) { return other->weights <= it->weights; }));
        // A server that another instance ordered is loading already, so the limit does not apply.
        bool begins =
            it->changing ||
            (current < limit && now >= change_due_at(*it, not_newer, limit, old_weights_limit));
        if (!begins)
            continue;
        change made;
        made.began_at = now;
        made.next_action_at = now;
        changes_.emplace(it->id, made);
        ++current;
    }
}

std::vector<weights_action> weights_rollout::tick(const std::vector<rollout_server>& servers,
                                                  duration old_weights_limit, instant now) {
    end_changes(servers, now);
    std::vector<const rollout_server*> behind;
    for (const auto& it : servers) {
        if (it.weights < it.desired)
            behind.push_back(&it);
    }
    std::stable_sort(behind.begin(), behind.end(), [](const auto* a, const auto* b) {
        return std::tuple(!a->changing, a->weights, a->load) <
               std::tuple(!b->changing, b->weights, b->load);
    });
    begin_changes(behind, servers.size(), old_weights_limit, now);
    std::vector<weights_action> actions;
    for (const auto* it : behind) {
        auto found = changes_.find(it->id);
        if (found == changes_.end())
            continue;
        auto& changing = found->second;
        bool waiting =
            changing.awaiting_answer && now - changing.asked_at < settings_.order_retry_delay;
        if (waiting || now < changing.next_action_at)
            continue;
        changing.awaiting_answer = true;
        changing.asked_at = now;
        bool order = !changing.awaiting_result && changing.orders >= 0;
        if (order)
            changing.ordered_weights = it->desired;
        actions.push_back({order ? weights_step::order : weights_step::observe, it->id, it->model,
                           it->desired, changing.orders});
    }
    return actions;
}

void weights_rollout::on_order(const std::string& server, order_outcome outcome, instant now) {
    auto found = changes_.find(server);
    if (found == changes_.end())
        return;
    auto& changing = found->second;
    changing.awaiting_answer = false;
    changing.next_action_at = now + settings_.observation_period;
    auto orders = std::exchange(changing.orders, -1); // the server's count may include this order
    if (outcome != order_outcome::unanswered)
        changing.last_answer_at = now;
    if (outcome == order_outcome::accepted) {
        changing.accepted_at = now;
        auto n = loading_count(now);
        for (auto& [id, it] : changes_)
            it.concurrent = it.accepted_at ? std::max(it.concurrent, n) : 0;
        changing.orders_before = orders;
    }
    switch (outcome) {
    case order_outcome::accepted:
    case order_outcome::already_in_place:
    case order_outcome::conflict:
    case order_outcome::unanswered:
        changing.awaiting_result = true; // an observation shows the result
        break;
    case order_outcome::refused:
        changing.next_action_at = now + settings_.order_retry_delay;
        break;
    }
}

void weights_rollout::on_observation(const std::string& server, std::int64_t orders, bool busy,
                                     instant now) {
    auto found = changes_.find(server);
    if (found == changes_.end())
        return;
    auto& changing = found->second;
    changing.awaiting_answer = false;
    changing.last_answer_at = now;
    bool stale = changing.accepted_at && orders <= changing.orders_before &&
                 now - *changing.accepted_at < settings_.oldest_report;
    if (stale) {
        changing.next_action_at = now + settings_.observation_period;
        return;
    }
    changing.orders = busy ? -1 : orders;
    changing.next_action_at = now + (busy ? settings_.observation_period : duration(0));
    // Weights that were named in the meantime need another order.
    if (!busy)
        changing.awaiting_result = false;
}

} // namespace azureyoke::coordination
