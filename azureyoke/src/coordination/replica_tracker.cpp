#include "azureyoke/src/coordination/replica_tracker.h"

#include <algorithm>

namespace azureyoke::coordination {

namespace internal {
namespace {

// A speed sample is never above the true speed, since queueing can only lower it. A higher sample
// therefore raises the estimate at once; a lower one lowers it slowly, and only when no other call
// was known to be queued.
constexpr double speed_decrease_gain = 0.02;
constexpr double queue_mean_gain = 0.1;
// An overdue call is left out of the queue, since the notice of its end was probably lost.
constexpr double overdue_factor = 2;
constexpr duration overdue_grace = std::chrono::milliseconds(500);
constexpr std::int64_t fewest_tokens_to_learn = 500;

} // namespace
} // namespace internal

replica_tracker::replica_tracker(const tracker_settings& settings)
    : settings_(settings), ramps_(settings.pace, {}) {}

replica_number replica_tracker::upsert(const replica_info& info) {
    auto it = numbers_.find(info.name);
    if (it != numbers_.end()) {
        at(it->second).info = info;
        at(it->second).present = true;
        return it->second;
    }
    auto number = static_cast<replica_number>(replicas_.size());
    replica_record record;
    record.info = info;
    record.speed = settings_.initial_speed;
    replicas_.push_back(std::move(record));
    numbers_.emplace(info.name, number);
    return number;
}

void replica_tracker::remove(const std::string& name) {
    auto it = numbers_.find(name);
    if (it == numbers_.end())
        return;
    at(it->second).present = false;
    ramps_.remove(name, instant());
}

std::optional<replica_number> replica_tracker::number_of(const std::string& name) const {
    auto it = numbers_.find(name);
    if (it == numbers_.end() || !at(it->second).present)
        return std::nullopt;
    return it->second;
}

bool replica_tracker::present(replica_number replica) const {
    return replica < replicas_.size() && at(replica).present;
}

bool replica_tracker::on_report(replica_number replica, const load_report& report, instant now) {
    auto& record = at(replica);
    bool known = !record.incarnation.empty();
    bool restarted =
        known && (report.incarnation != record.incarnation || report.weights != record.weights);
    if (restarted && has_others(record))
        ramps_.begin(record.info.name, {}, 0,
                     report.incarnation != record.incarnation ? ramp_cause::restarted
                                                              : ramp_cause::weights_loaded,
                     now);
    if (report.weights != record.weights)
        record.draining_until = instant();
    record.incarnation = report.incarnation;
    record.weights = report.weights;
    // Notices that a peer's call ended may be lost.
    std::erase_if(record.calls,
                  [&](const auto& it) { return now - it.sent > settings_.longest_call; });
    record.reported_idle = report.queued_tokens == 0 && report.running == 0;
    auto queued = static_cast<double>(report.queued_tokens);
    record.mean_queue += internal::queue_mean_gain * (queued - record.mean_queue);
    record.reported_queue =
        record.mean_queue + settings_.report_weight * (queued - record.mean_queue);
    return restarted;
}

void replica_tracker::set_draining(replica_number replica, instant until) {
    at(replica).draining_until = until;
}

bool replica_tracker::draining(replica_number replica, instant now) const {
    return now < at(replica).draining_until;
}

bool replica_tracker::idle(replica_number replica) const {
    const auto& record = at(replica);
    return record.reported_idle && record.calls.empty();
}

void replica_tracker::on_dispatch(replica_number replica, call_number call,
                                  std::int64_t uncached_tokens, instant now) {
    auto& record = at(replica);
    auto ahead = queued_tokens(record, now);
    bool queue_empty = ahead < static_cast<double>(internal::fewest_tokens_to_learn);
    auto expected = (ahead + static_cast<double>(uncached_tokens)) / record.speed;
    auto overdue_at =
        now + from_seconds(internal::overdue_factor * expected) + internal::overdue_grace;
    record.calls.push_back(
        {call, uncached_tokens, now, overdue_at, true, {}, from_seconds(expected), queue_empty});
}

double replica_tracker::queued_tokens(const replica_record& record, instant now) {
    double known = 0;
    for (const auto& it : record.calls) {
        if (it.waiting && now < it.overdue_at)
            known += static_cast<double>(it.uncached_tokens);
    }
    // The report also counts calls of which no notice arrived.
    return std::max(known, record.reported_queue);
}

void replica_tracker::learn_speed(replica_record& record, double sample) {
    record.speed =
        std::max(sample, record.speed + internal::speed_decrease_gain * (sample - record.speed));
}

void replica_tracker::on_first_token(replica_number replica, call_number call, instant now) {
    auto& record = at(replica);
    auto it = std::find_if(record.calls.begin(), record.calls.end(),
                           [&](const auto& c) { return c.call == call; });
    if (it == record.calls.end() || !it->waiting)
        return;
    it->waiting = false;
    it->first_token = now - it->sent;
    ramps_.on_answer(record.info.name, it->predicted, it->first_token, now);
}

void replica_tracker::on_computed(replica_number replica, call_number call,
                                  std::int64_t uncached_tokens) {
    auto& record = at(replica);
    auto it = std::find_if(record.calls.begin(), record.calls.end(),
                           [&](const auto& c) { return c.call == call; });
    if (it == record.calls.end() || it->waiting)
        return;
    auto took = to_seconds(it->first_token);
    if (uncached_tokens < internal::fewest_tokens_to_learn || took <= 0)
        return;
    auto sample = static_cast<double>(uncached_tokens) / took;
    if (it->queue_was_empty || sample > record.speed)
        learn_speed(record, sample);
}

void replica_tracker::on_success(replica_number replica, instant /*now*/) {
    auto& record = at(replica);
    record.failures = 0;
    record.ejections = 0;
}

bool replica_tracker::on_failure(replica_number replica, instant now) {
    auto& record = at(replica);
    ramps_.on_failed(record.info.name, load_of(record).in_flight - 1, now);
    if (now < record.ejected_until || ++record.failures < settings_.failures_to_eject)
        return false;
    record.failures = 0;
    auto wait = settings_.first_ejection * (INT64_C(1) << std::min(record.ejections, 10));
    ++record.ejections;
    record.ejected_until = now + std::min<duration>(wait, settings_.longest_ejection);
    ramps_.begin(record.info.name, {}, 0, ramp_cause::recovered, record.ejected_until);
    return true;
}

void replica_tracker::on_path_restored(instant now) {
    ramps_.on_path_restored(now);
    for (auto& it : replicas_) {
        it.failures = 0;
        it.ejections = 0;
        it.ejected_until = {};
    }
}

void replica_tracker::on_end(replica_number replica, call_number call) {
    auto& calls = at(replica).calls;
    std::erase_if(calls, [&](const auto& it) { return it.call == call; });
}

bool replica_tracker::ejected(replica_number replica, instant now) const {
    return now < at(replica).ejected_until;
}

pace_load replica_tracker::load_of(const replica_record& record) {
    auto waiting = std::count_if(record.calls.begin(), record.calls.end(),
                                 [](const auto& it) { return it.waiting; });
    return {static_cast<int>(record.calls.size()), static_cast<int>(waiting)};
}

bool replica_tracker::has_others(const replica_record& record) const {
    return std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& it) {
        return it.present && it.info.name != record.info.name;
    });
}

bool replica_tracker::beyond_pace(replica_number replica) const {
    const auto& record = at(replica);
    return !ramps_.has_room(record.info.name, load_of(record), {});
}

duration replica_tracker::backlog(replica_number replica, instant now) const {
    const auto& record = at(replica);
    return from_seconds(queued_tokens(record, now) / record.speed);
}

std::vector<replica_number> replica_tracker::serving(const std::string& model, instant now) const {
    std::vector<replica_number> available;
    std::vector<replica_number> ejected_replicas;
    std::vector<replica_number> draining_replicas;
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
        const auto& record = replicas_[i];
        const auto& models = record.info.models;
        if (!record.present || record.info.leaving ||
            std::find(models.begin(), models.end(), model) == models.end())
            continue;
        auto number = static_cast<replica_number>(i);
        if (draining(number, now))
            draining_replicas.push_back(number);
        else
            (ejected(number, now) ? ejected_replicas : available).push_back(number);
    }
    if (available.empty() && ejected_replicas.empty())
        return draining_replicas;
    auto max_excluded = static_cast<std::size_t>(
        settings_.max_ejected * static_cast<double>(available.size() + ejected_replicas.size()));
    // The replicas whose ejection ends first are readmitted until few enough are excluded.
    std::sort(ejected_replicas.begin(), ejected_replicas.end(),
              [&](auto a, auto b) { return at(a).ejected_until < at(b).ejected_until; });
    auto readmitted =
        ejected_replicas.size() > max_excluded ? ejected_replicas.size() - max_excluded : 0;
    available.insert(available.end(), ejected_replicas.begin(),
                     ejected_replicas.begin() + static_cast<std::ptrdiff_t>(readmitted));
    std::sort(available.begin(), available.end());
    return available;
}

} // namespace azureyoke::coordination
