#include "azureyoke/src/coordination/software_rollout.h"

#include <algorithm>
#include <utility>

namespace azureyoke::coordination {

namespace internal {
namespace {

constexpr duration second = std::chrono::seconds(1);
/// Time over which the request rate is measured.
constexpr duration rate_window = 2 * second;
/// The canary needs this time before the switch, even without requests.
constexpr duration least_canary = std::chrono::milliseconds(1500);
/// Requests of the load step: a fault in 35 of 100 gives some fourteen failures.
constexpr double load_requests = 40;
/// Time after which a request's answer is judged.
constexpr duration least_answer_delay = std::chrono::milliseconds(500);
constexpr duration longest_answer_delay = second;
constexpr duration least_load_step = std::chrono::milliseconds(500);
constexpr double longest_load_part = 0.25; ///< Of the order's length.
constexpr double load_budget_part = 0.45;  ///< Of the canary's exposure.
/// One server in so many is the canary, but at least two, so that no single machine stands for the
/// version.
constexpr int servers_per_canary = 12;
constexpr int least_canaries = 2;
/// Exposure that a doubtful version may get before the switch, as a part of the allowed one.
/// That part is given up to a doubtful version only in the last seconds; before, the canary's.
constexpr duration late_time = 2 * second;
constexpr double doubtful_part = 0.8;
/// Exposure that a doubtful version may get after the switch.
constexpr double most_switched_part = 0.9;
/// Until answers that were reported are judged.
constexpr duration judge_delay = std::chrono::milliseconds(200);
constexpr double most_canary_share = 0.25;   ///< Of all requests.
constexpr double most_doubtful_share = 0.5;  ///< Of all requests, while a version is doubtful.
constexpr double most_route_share = 0.5;     ///< Of the requests of one route.
constexpr double longest_switch_part = 0.25; ///< Of the order's length.
/// Log likelihood ratio above which a version is not switched to when no time is left: it rises
/// with the requests judged, since a fault among many would have shown in full.
constexpr double least_last_doubt = 4.8;
constexpr double most_last_doubt = 10;
/// Added to the threshold during an incident of the old version, whose size is not known exactly.
constexpr double incident_threshold = 3;
/// A version that is switched to was not doubtful: two failures by chance are no reason to revert.
constexpr double least_switched_doubt = 8;
/// For the answers under load, of which there are few.
constexpr double last_loaded_doubt = 9;
constexpr double last_doubt_base = 2.5;
constexpr double last_doubt_per_request = 0.04;

duration clamp_time(duration value, duration least, duration most) {
    return std::clamp(value, least, std::max(least, most));
}

duration part_of(duration whole, double part) {
    return from_seconds(to_seconds(whole) * part);
}

double positive(std::int64_t value) {
    return static_cast<double>(std::max<std::int64_t>(0, value));
}

} // namespace
} // namespace internal

software_rollout::software_rollout(rollout_order order, const software_rollout_settings& settings)
    : order_(std::move(order)), settings_(settings) {}

void software_rollout::adopt(rollout_state verdict, const std::string& why) {
    if (state_ == rollout_state::in_progress && verdict != rollout_state::in_progress)
        end(verdict, why);
}

void software_rollout::overrule(rollout_state verdict, const std::string& why) {
    if (state_ != verdict && verdict != rollout_state::in_progress)
        end(verdict, why);
}

void software_rollout::end(rollout_state state, const std::string& why) {
    state_ = state;
    reason_ = why;
    phase_ = phase::ended;
}

double software_rollout::allowed_exposure(instant now) const {
    double left = std::max(0.0, to_seconds(order_.deadline() - now));
    return settings_.exposure_share * (sent_ + rate_ * left) + settings_.exposure_slack;
}

void software_rollout::update(const software_evidence& merged, const rollout_servers& servers,
                              bool isolated, instant now) {
    if (state_ != rollout_state::in_progress)
        return;
    if (!first_update_)
        first_update_ = now;
    judge_.update(merged, phase_ == phase::switched, judges_load(now), now);
    auto threshold = settings_.threshold + (judge_.incident() ? internal::incident_threshold : 0);
    if (judge_.evidence() >= threshold)
        end(rollout_state::reverted, judge_.suspicion());
    if (state_ != rollout_state::in_progress || isolated)
        return;
    new_servers_ = servers.new_side;
    make_plan(servers, now);
    advance(merged, now);
}

bool software_rollout::is_last_doubt() const {
    return judge_.evidence() >= last_doubt() ||
           judge_.loaded_evidence() >= internal::last_loaded_doubt;
}

double software_rollout::last_doubt() const {
    using namespace internal;
    auto ended = judge_.judged_requests();
    return std::clamp(last_doubt_base + last_doubt_per_request * ended,
                      phase_ == phase::switched ? least_switched_doubt : least_last_doubt,
                      most_last_doubt);
}

void software_rollout::make_plan(const rollout_servers& servers, instant now) {
    using namespace internal;
    measure_rates(now);
    plan_.last_complete = order_.deadline() - settings_.doubtful_write;
    if (phase_ == phase::switched)
        return;
    bool doubtful = judge_.evidence() >= settings_.doubt;
    auto allowed = allowed_exposure(now);
    auto rate = std::max(rate_, 0.001);
    auto write = clamp_time(part_of(order_.length, settings_.write_part), settings_.least_write,
                            settings_.longest_write);
    if (doubtful) // there is time for more evidence
        write = std::min(write, settings_.doubtful_write);
    auto most_switch = part_of(order_.length, longest_switch_part);
    auto switch_time = clamp_time(
        from_seconds(std::min(1e6, settings_.switch_share * allowed / rate)) + settings_.rise / 2,
        settings_.rise, most_switch);
    plan_.complete_by = order_.deadline() - write;
    plan_.latest_switch = plan_.complete_by - settings_.rise;
    plan_.switch_time = switch_time;
    plan_.switch_at = plan_.complete_by - switch_time;
    auto budget = std::min(settings_.most_canary * allowed,
                           settings_.canary_share * allowed + settings_.canary_slack);
    int all = std::max({1, servers.old_side, servers.new_side});
    plan_.load_servers = std::max(1, servers.new_side / servers_per_canary);
    plan_.load_share = std::min(1.0, static_cast<double>(plan_.load_servers) / all);
    double load_rate = rate * plan_.load_share;
    auto load_time = clamp_time(from_seconds(load_requests / load_rate), least_load_step,
                                part_of(order_.length, longest_load_part));
    load_time = std::min(load_time, from_seconds(load_budget_part * budget / load_rate));
    plan_.load_time = load_time;
    if (phase_ <= phase::canary) {
        auto step = load_time + settings_.review;
        bool twice = canary_since_ && plan_.switch_at - 2 * step >= *canary_since_ + least_canary;
        plan_.load_from = plan_.switch_at - (twice ? 2 * step : step);
        plan_.load_until = plan_.load_from + load_time;
    }
    bool is_late = now >= plan_.latest_switch - late_time;
    plan_.most_share = doubtful && is_late ? most_doubtful_share : most_canary_share;
    if (doubtful)
        budget = (is_late ? doubtful_part : settings_.most_canary) * allowed;
    double load_cost = phase_ <= phase::canary ? load_rate * to_seconds(load_time) : 0;
    // What was sent since the last evidence is not in the counters yet.
    double unseen = plan_.canary_rate * to_seconds(settings_.evidence_delay);
    // Evidence of what is sent later comes too late.
    auto until = plan_.switch_at;
    if (doubtful)
        until = plan_.latest_switch - settings_.evidence_delay - judge_delay;
    auto left = to_seconds(until - now) - (phase_ <= phase::canary ? to_seconds(load_time) : 0);
    plan_.canary_rate =
        std::max(0.0, budget - load_cost - sent_new_ - unseen) / std::max(left, 0.5);
}

void software_rollout::measure_rates(instant now) {
    using namespace internal;
    const auto& newest = judge_.moments().back();
    sent_ = positive(total_of(newest.old_side).sent) + positive(total_of(newest.new_side).sent);
    sent_new_ = positive(total_of(newest.new_side).sent);
    for (const auto& it : judge_.moments()) {
        if (now - it.at > rate_window)
            continue;
        double time = std::max(0.2, to_seconds(now - it.at));
        rate_ = 0;
        route_rates_.clear();
        for (const auto* side : {&newest.old_side, &newest.new_side}) {
            const auto& earlier = side == &newest.old_side ? it.old_side : it.new_side;
            for (const auto& [route, counts] : side->routes) {
                auto sent = static_cast<double>(difference(counts, counts_of(earlier, route)).sent);
                route_rates_[route] += sent / time;
                rate_ += sent / time;
            }
        }
        return;
    }
}

void software_rollout::advance(const software_evidence& merged, instant now) {
    using namespace internal;
    if (phase_ == phase::waiting && new_servers_ > 0 && now - *first_update_ >= second) {
        phase_ = phase::canary;
        canary_since_ = now;
    }
    load_step_unclear_ = load_step_unclear_ || (judges_load(now) && judge_.incident());
    bool may_wait = (judge_.evidence() >= settings_.doubt || judge_.incident()) &&
                    now < plan_.switch_at - plan_.load_time - settings_.review;
    if (phase_ == phase::canary && now >= plan_.load_from && !may_wait) {
        phase_ = phase::load_step;
        ++load_steps_;
        plan_.load_from = now;
        plan_.load_until = now + plan_.load_time;
    }
    if (phase_ == phase::load_step && now >= plan_.load_until)
        phase_ = phase::review;
    if (phase_ == phase::review && load_again(now)) {
        phase_ = phase::load_step;
        ++load_steps_;
        load_step_unclear_ = false;
        plan_.load_from = now;
        plan_.load_until = now + plan_.load_time;
    }
    bool known = total_of(merged.new_side).ended > 0 || sent_ == 0;
    bool has_time = canary_since_ && now - *canary_since_ >= least_canary;
    if (phase_ == phase::review && now >= plan_.switch_at && new_servers_ > 0) {
        bool last_moment = now >= plan_.latest_switch;
        if (last_moment && is_last_doubt()) {
            end(rollout_state::reverted, "doubtful when no time was left: " + judge_.suspicion());
            return;
        }
        if (known && has_time && (last_moment || judge_.evidence() < settings_.doubt)) {
            phase_ = phase::switched;
            switched_at_ = now;
            auto least = std::min(now + settings_.rise, plan_.last_complete);
            plan_.complete_by =
                std::max(least, std::min(plan_.complete_by, now + plan_.switch_time));
        }
    }
    if (phase_ == phase::switched) {
        bool idle = merged.old_side.running == 0 &&
                    now - *switched_at_ >= settings_.rise + settings_.evidence_delay;
        if (now < plan_.complete_by && !idle)
            return;
        bool doubtful = is_last_doubt();
        double unseen = rate_ * to_seconds(settings_.evidence_delay);
        if (doubtful && now < plan_.last_complete &&
            sent_new_ + unseen <= most_switched_part * allowed_exposure(now))
            return; // more evidence comes within the bound
        if (doubtful)
            end(rollout_state::reverted, "doubtful when no time was left: " + judge_.suspicion());
        else
            end(rollout_state::completed, idle ? "the old servers have no running requests"
                                               : "no time is left for running requests");
        return;
    }
    if (now >= order_.deadline())
        end(rollout_state::reverted, new_servers_ > 0 ? "no verdict by the deadline"
                                                      : "no server of the version by the deadline");
}

bool software_rollout::judges_load(instant now) const {
    using namespace internal;
    return load_steps_ > 0 && now >= plan_.load_from + least_answer_delay &&
           now <= plan_.load_until + longest_answer_delay;
}

bool software_rollout::load_again(instant now) const {
    using namespace internal;
    bool has_time = now >= plan_.load_until + settings_.review &&
                    now + plan_.load_time + settings_.review <= plan_.latest_switch;
    bool unclear = load_step_unclear_ || judge_.evidence() >= settings_.doubt;
    if (load_steps_ > 1 || !has_time || !unclear)
        return false;
    double cost = rate_ * plan_.load_share * to_seconds(plan_.load_time);
    return sent_new_ + cost <= doubtful_part * allowed_exposure(now);
}

software_rollout::placement_share software_rollout::current(instant now) const {
    using namespace internal;
    switch (phase_) {
    case phase::waiting:
        return {};
    case phase::canary:
    case phase::review:
        return {rate_ > 0 ? std::min(plan_.most_share, plan_.canary_rate / rate_) : 0,
                std::max(least_canaries, new_servers_ / servers_per_canary), false};
    case phase::load_step:
        return {plan_.load_share, plan_.load_servers, false};
    case phase::switched: {
        auto risen = to_seconds(now - *switched_at_) / to_seconds(settings_.rise);
        return {std::clamp(risen, 0.0, 1.0), 0, risen >= 1};
    }
    case phase::ended:
        break;
    }
    bool completed = state_ == rollout_state::completed;
    return {completed ? 1.0 : 0.0, 0, completed};
}

double software_rollout::share_of(const std::string& route, instant now) const {
    auto share = current(now).share;
    bool spread = phase_ == phase::canary || phase_ == phase::review;
    auto found = route_rates_.find(route);
    if (!spread || found == route_rates_.end() || found->second <= 0)
        return share;
    auto each = share * rate_ / static_cast<double>(route_rates_.size());
    return std::min(internal::most_route_share, each / found->second);
}

} // namespace azureyoke::coordination
