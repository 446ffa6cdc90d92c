#include "azureyoke/src/coordination/part_suspicions.h"

#include <algorithm>
#include <tuple>

namespace azureyoke::coordination {

namespace internal {
namespace {

/// More crashes of one part change no decision.
constexpr std::size_t max_marks = 8;

bool contains(const std::vector<crash_mark>& list, std::uint64_t id) {
    return std::any_of(list.begin(), list.end(), [&](const auto& mark) { return mark.id == id; });
}

bool is_refuted(const crash_mark& mark, const answer_times& answered_at) {
    for (std::size_t step = 0; step < answered_at.size(); ++step) {
        if (answer_progress::at_step(step).is_beyond(mark.reached) &&
            mark.at <= answered_at.at(step))
            return true;
    }
    return false;
}

/// \returns whether the failed trials of `culprit` explain the crashes that it shares with `other`.
/// Of two parts that were in the crashes of each other's trials, neither explains the other's.
/// A part with fewer crashes may have been there by chance, and explains none of one with more.
bool explains(const part_evidence& culprit, const part_evidence& other) {
    return (culprit.failed_trials > other.failed_trials &&
            culprit.crashes.size() >= other.crashes.size()) ||
           (culprit.failed_trials == other.failed_trials &&
            !contains(other.crashes, culprit.trial_crash.id));
}

} // namespace
} // namespace internal

bool part_suspicions::is_explained(const std::string& part, const record& it,
                                   std::uint64_t crash) const {
    return std::any_of(blocked_.begin(), blocked_.end(), [&](const auto& culprit) {
        const auto& known = records_.at(culprit).known;
        return culprit != part && internal::explains(known, it.known) &&
               internal::contains(known.crashes, crash);
    });
}

part_suspicions::weighed part_suspicions::weigh(const std::string& part, const record& it) const {
    weighed made;
    instant counted;
    for (const auto& mark : it.known.crashes) {
        bool same_cause = made.charges > 0 && mark.at - counted < settings_.same_cause;
        if (same_cause || is_explained(part, it, mark.id))
            continue;
        counted = mark.at;
        ++made.charges;
    }
    if (it.known.failed_trials > 0 && !is_explained(part, it, it.known.trial_crash.id))
        made.failed_trials = it.known.failed_trials;
    return made;
}

bool part_suspicions::is_suspected(const weighed& it) const {
    return it.failed_trials > 0 || it.charges >= settings_.crashes_to_suspect;
}

bool part_suspicions::is_suspected(const std::string& part) const {
    auto found = records_.find(part);
    return found != records_.end() && is_suspected(weigh(part, found->second));
}

std::vector<std::string> part_suspicions::suspected() const {
    std::vector<std::string> list;
    for (const auto& [part, it] : records_) {
        if (is_suspected(weigh(part, it)))
            list.push_back(part);
    }
    return list;
}

const suspicion_block& part_suspicions::block_of(const std::string& part) const {
    return part.starts_with(request_name_prefix) ? settings_.request : settings_.part;
}

instant part_suspicions::blocked_until(const std::string& part, const record& it) const {
    auto failed_trials = weigh(part, it).failed_trials;
    if (failed_trials == 0)
        return {};
    const auto& block = block_of(part);
    auto time = block.first;
    for (int i = 1; i < failed_trials && time < block.longest; ++i)
        time *= block.factor;
    return it.known.trial_crash.at + std::min(time, block.longest);
}

bool part_suspicions::apply_answer(record& it, answer_progress reached, instant at) {
    auto& known = it.known;
    auto answered_at = known.answered_at;
    auto& latest = answered_at.at(reached.step());
    if (at <= latest)
        return false;
    latest = at;
    auto refuted = std::erase_if(
        known.crashes, [&](const auto& mark) { return internal::is_refuted(mark, answered_at); });
    bool trial_refuted =
        known.failed_trials > 0 && internal::is_refuted(known.trial_crash, answered_at);
    if (refuted == 0 && !trial_refuted)
        return false;
    if (trial_refuted)
        known.failed_trials = 0;
    known.answered_at = answered_at;
    return true;
}

// Several requests with a part may be lost in one crash. Those that had got less far are no
// evidence, since the others had passed that point.
bool part_suspicions::add_crash(record& it, const crash_mark& mark) {
    auto& list = it.known.crashes;
    if (mark.reached == answer_progress::complete() ||
        internal::is_refuted(mark, it.known.answered_at))
        return false;
    auto same = std::find_if(list.begin(), list.end(),
                             [&](const auto& other) { return other.id == mark.id; });
    if (same != list.end()) {
        if (mark.reached <= same->reached)
            return false;
        same->reached = mark.reached;
        return true;
    }
    auto before = [](const auto& a, const auto& b) { return a.at < b.at; };
    list.insert(std::upper_bound(list.begin(), list.end(), mark, before), mark);
    if (list.size() > internal::max_marks)
        list.erase(list.begin());
    return true;
}

bool part_suspicions::add_failed_trials(const std::string& part, int failed,
                                        const crash_mark& crash) {
    auto& known = records_[part].known;
    auto order = [](int trials, const crash_mark& last) {
        return std::tuple(trials, last.id, last.reached);
    };
    if (order(failed, crash) <= order(known.failed_trials, known.trial_crash) || failed == 0 ||
        internal::is_refuted(crash, known.answered_at))
        return false;
    known.failed_trials = failed;
    known.trial_crash = crash;
    records_[part].trial_until = {};
    update_blocked(part);
    return true;
}

bool part_suspicions::has_charges(const record& it) {
    return !it.known.crashes.empty() || it.known.failed_trials > 0;
}

void part_suspicions::on_crash(const std::vector<std::string>& parts, const crash_mark& crash) {
    for (const auto& part : parts) {
        if (add_crash(records_[part], crash))
            changed_.insert(part);
    }
    make_room();
}

void part_suspicions::on_answer(const std::vector<std::string>& parts, answer_progress reached,
                                instant now) {
    for (const auto& part : parts) {
        auto found = records_.find(part);
        if (found == records_.end() || !apply_answer(found->second, reached, now))
            continue;
        update_blocked(part);
        end_trial_if_cleared(part);
        if (found->second.shared || has_charges(found->second))
            changed_.insert(part);
        else
            forget(part);
    }
}

void part_suspicions::update_blocked(const std::string& part) {
    if (records_.at(part).known.failed_trials > 0)
        blocked_.insert(part);
    else
        blocked_.erase(part);
}

void part_suspicions::end_trial_if_cleared(const std::string& part) {
    auto& it = records_.at(part);
    if (!is_suspected(weigh(part, it)))
        it.trial_until = {};
}

void part_suspicions::forget(const std::string& part) {
    changed_.erase(part);
    blocked_.erase(part);
    records_.erase(part);
}

void part_suspicions::on_trial_failed(const std::string& part, const crash_mark& crash) {
    if (add_failed_trials(part, records_[part].known.failed_trials + 1, crash))
        changed_.insert(part);
}

part_assessment part_suspicions::assess(const std::vector<std::string>& parts, instant now) const {
    part_assessment made;
    std::size_t most = 0;
    for (const auto& part : parts) {
        auto found = records_.find(part);
        if (found == records_.end())
            continue;
        auto weight = weigh(part, found->second);
        if (!is_suspected(weight))
            continue;
        auto until = std::max(blocked_until(part, found->second), found->second.trial_until);
        if (until > now)
            return {part_assessment::verdict::blocked, part, until};
        if (made.result == part_assessment::verdict::trial && weight.charges < most)
            continue;
        most = weight.charges;
        made = {part_assessment::verdict::trial, part, {}};
    }
    return made;
}

bool part_suspicions::try_start_trial(const std::string& part, instant now) {
    if (!is_suspected(part))
        return true;
    if (next_trial(part, now) > now)
        return false;
    records_.at(part).trial_until = now + settings_.trial_timeout;
    return true;
}

instant part_suspicions::next_trial(const std::string& part, instant now) const {
    auto found = records_.find(part);
    if (found == records_.end())
        return now;
    return std::max({now, blocked_until(part, found->second), found->second.trial_until});
}

void part_suspicions::merge(const std::string& part, const part_evidence& reported, instant now) {
    bool tells_crashes = !reported.crashes.empty() || reported.failed_trials > 0;
    if (!tells_crashes && !records_.contains(part))
        return;
    records_[part].shared = true;
    bool changed = false;
    for (std::size_t step = 0; step < reported.answered_at.size(); ++step)
        changed = apply_answer(records_[part], answer_progress::at_step(step),
                               std::min(reported.answered_at.at(step), now)) ||
                  changed;
    for (const auto& mark : reported.crashes)
        changed = add_crash(records_[part], mark) || changed;
    changed = add_failed_trials(part, reported.failed_trials, reported.trial_crash) || changed;
    update_blocked(part);
    end_trial_if_cleared(part);
    if (changed)
        changed_.insert(part);
    make_room();
}

std::vector<std::string> part_suspicions::by_charges(std::vector<std::string> parts,
                                                     std::size_t max) const {
    std::stable_sort(parts.begin(), parts.end(), [&](const auto& a, const auto& b) {
        const auto& known_a = records_.at(a).known;
        const auto& known_b = records_.at(b).known;
        return std::pair(known_a.failed_trials, known_a.crashes.size()) >
               std::pair(known_b.failed_trials, known_b.crashes.size());
    });
    if (parts.size() > max)
        parts.resize(max);
    return parts;
}

std::vector<std::string> part_suspicions::take_changed(std::size_t max) {
    auto list = by_charges({changed_.begin(), changed_.end()}, max);
    for (const auto& part : list) {
        changed_.erase(part);
        records_.at(part).shared = true;
    }
    return list;
}

std::vector<std::string> part_suspicions::active(std::size_t max) const {
    std::vector<std::string> list;
    for (const auto& [part, it] : records_) {
        if (it.shared)
            list.push_back(part);
    }
    return by_charges(std::move(list), max);
}

part_evidence part_suspicions::evidence(const std::string& part) const {
    auto found = records_.find(part);
    return found == records_.end() ? part_evidence() : found->second.known;
}

bool part_suspicions::too_old(const std::string& part, const record& it, instant now) const {
    const auto& block = block_of(part);
    if (it.known.failed_trials > 0)
        return now - it.known.trial_crash.at >= 2 * block.longest;
    if (it.known.crashes.empty()) {
        const auto& answers = it.known.answered_at;
        return now - *std::max_element(answers.begin(), answers.end()) >=
               settings_.answer_retention;
    }
    return now - it.known.crashes.back().at >= block.crash_retention;
}

void part_suspicions::expire(instant now) {
    std::vector<std::string> old;
    for (const auto& [part, it] : records_) {
        if (too_old(part, it, now))
            old.push_back(part);
    }
    for (const auto& part : old)
        forget(part);
}

// A flood of crashes must not push out the parts that are suspected.
void part_suspicions::make_room() {
    while (records_.size() > settings_.max_parts) {
        auto weight = [&](const record& it) {
            auto last = it.known.crashes.empty() ? instant() : it.known.crashes.back().at;
            return std::tuple(it.known.failed_trials, it.known.crashes.size(), last);
        };
        auto least =
            std::min_element(records_.begin(), records_.end(), [&](const auto& a, const auto& b) {
                return weight(a.second) < weight(b.second);
            });
        forget(std::string(least->first));
    }
}

} // namespace azureyoke::coordination
