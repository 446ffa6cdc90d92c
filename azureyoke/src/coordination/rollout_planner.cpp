#include "azureyoke/src/coordination/rollout_planner.h"

#include <algorithm>

namespace azureyoke::coordination {

namespace internal {
namespace {

const rollout_replica* find_replica(const std::vector<rollout_replica>& all,
                                    const std::string& name) {
    auto it = std::find_if(all.begin(), all.end(), [&](const auto& r) { return r.name == name; });
    return it == all.end() ? nullptr : &*it;
}

bool serves(const rollout_replica& replica, const std::string& model) {
    return replica.serving &&
           std::find(replica.models.begin(), replica.models.end(), model) != replica.models.end();
}

} // namespace
} // namespace internal

const char* name_of(rollout_phase phase) {
    switch (phase) {
    case rollout_phase::draining:
        return "draining";
    case rollout_phase::ordered:
        return "ordered";
    case rollout_phase::waiting:
        break;
    }
    return "waiting";
}

rollout_planner::rollout_planner(const rollout_settings& settings, std::string data_centre)
    : settings_(settings), data_centre_(std::move(data_centre)) {}

bool rollout_planner::needs_change(const rollout_replica& replica) const {
    return replica.data_centre == data_centre_ && !replica.weights.empty() &&
           !replica.desired.empty() && replica.weights != replica.desired;
}

bool rollout_planner::has_work(const std::vector<rollout_replica>& all) const {
    return !changing_.empty() ||
           std::any_of(all.begin(), all.end(), [&](const auto& it) { return needs_change(it); });
}

std::string rollout_planner::blocking_rule(const rollout_replica& candidate,
                                           const std::vector<rollout_replica>& all) const {
    for (const auto& model : candidate.models) {
        int others_here = 0; // serving or not
        int remaining_here = 0;
        int remaining_elsewhere = 0;
        for (const auto& it : all) {
            bool other = it.name != candidate.name;
            bool remains = other && internal::serves(it, model) && !changing_.contains(it.name);
            bool here = it.data_centre == data_centre_;
            bool has_model =
                std::find(it.models.begin(), it.models.end(), model) != it.models.end();
            others_here += other && here && has_model ? 1 : 0;
            remaining_here += remains && here ? 1 : 0;
            remaining_elsewhere += remains && !here ? 1 : 0;
        }
        bool stays_served = remaining_here > 0 || (others_here == 0 && remaining_elsewhere > 0);
        if (!stays_served)
            return "model \"" + model + "\" must keep a serving replica";
    }
    return {};
}

bool rollout_planner::may_order(const change& changing, instant now) const {
    return now - changing.drain_began_at >= settings_.min_drain_time &&
           now - changing.last_busy_at >= settings_.idle_time &&
           now - last_order_ >= settings_.order_interval;
}

void rollout_planner::advance(const rollout_replica& replica, change& changing, instant now,
                              std::vector<rollout_action>& actions) {
    if (now - changing.last_notice >= settings_.notice_interval) {
        changing.last_notice = now;
        actions.push_back({rollout_step::drain, replica.name, {}});
    }
    if (!replica.idle)
        changing.last_busy_at = now;
    bool overdue = changing.phase == rollout_phase::ordered &&
                   now - changing.ordered_at >= settings_.order_timeout;
    if ((changing.phase != rollout_phase::draining && !overdue) || !may_order(changing, now))
        return;
    changing.phase = rollout_phase::ordered;
    changing.ordered_at = now;
    last_order_ = now;
    actions.push_back({rollout_step::order, replica.name, changing.desired});
}

void rollout_planner::end_finished(const std::vector<rollout_replica>& all) {
    std::erase_if(changing_, [&](const auto& changing) {
        const auto* it = internal::find_replica(all, changing.first);
        return it == nullptr || !needs_change(*it) || it->desired != changing.second.desired;
    });
}

std::vector<rollout_action> rollout_planner::tick(const std::vector<rollout_replica>& all,
                                                  bool leases_held, instant now) {
    std::vector<rollout_action> actions;
    if (!leases_held) {
        // Another rollout leader may be active. The instances follow its drain notices, and expire
        // the drains when the notices stop.
        changing_.clear();
        return actions;
    }
    end_finished(all);
    for (const auto& it : all) {
        bool starts = changing_.size() < settings_.max_changes && needs_change(it) &&
                      !changing_.contains(it.name) && blocking_rule(it, all).empty();
        if (starts)
            changing_[it.name] = {it.desired, rollout_phase::draining, now, {}, now, {}};
    }
    for (auto& [name, changing] : changing_)
        advance(*internal::find_replica(all, name), changing, now, actions);
    return actions;
}

void rollout_planner::on_order_refused(const std::string& replica, instant now) {
    auto it = changing_.find(replica);
    if (it == changing_.end())
        return;
    it->second.phase = rollout_phase::draining;
    last_order_ = now + settings_.order_interval;
}

std::vector<rollout_item> rollout_planner::items(const std::vector<rollout_replica>& all) const {
    std::vector<rollout_item> list;
    for (const auto& it : all) {
        if (!needs_change(it))
            continue;
        auto at = changing_.find(it.name);
        if (at == changing_.end())
            list.push_back({it.name, it.desired, rollout_phase::waiting, blocking_rule(it, all)});
        else
            list.push_back({it.name, it.desired, at->second.phase, {}});
    }
    return list;
}

} // namespace azureyoke::coordination
