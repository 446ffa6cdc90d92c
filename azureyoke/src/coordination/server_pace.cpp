#include "azureyoke/src/coordination/server_pace.h"

namespace azureyoke::coordination {

namespace internal {
namespace {

constexpr double min_window = 1;
constexpr double decrease_factor = 0.5;
/// Each answer in time makes room for itself and this many further requests, until the first bad
/// answer; from then on for one.
constexpr double first_growth = 4;
constexpr double later_growth = 1;
constexpr double bound_growth = 2;
constexpr int most_doublings = 2; ///< Of the answers that end the ramp of a flapping server.

} // namespace
} // namespace internal

const char* name_of(ramp_cause cause) {
    switch (cause) {
    case ramp_cause::added:
        return "added";
    case ramp_cause::restarted:
        return "restarted";
    case ramp_cause::recovered:
        return "recovered";
    case ramp_cause::weights_loaded:
        return "weights_loaded";
    }
    return "";
}

const char* name_of(ramp_end end) {
    switch (end) {
    case ramp_end::as_predicted:
        return "as_predicted";
    case ramp_end::time_limit:
        return "time_limit";
    case ramp_end::removed:
        return "removed";
    case ramp_end::path_restored:
        return "path_restored";
    }
    return "";
}

void server_pace::begin(ramp_cause cause, instant from, int slots, double phase) {
    bool moves = ramping_ && !answered_;
    bool flaps = began_before_ && from - began_ < settings_.flap_memory;
    bool new_run = cause != ramp_cause::recovered;
    // What bounds the requests is kept while it may be the fault of the same run.
    bool keeps_bound = moves && (!new_run || run_began_);
    run_began_ = new_run || (moves && run_began_);
    cause_ = cause;
    began_ = from;
    last_decrease_ = from;
    credited_at_ = from;
    if (slots > 0 || !moves)
        slots_ = slots > 0 ? slots : settings_.assumed_slots;
    if (keeps_bound)
        return;
    if (!moves)
        flaps_ = flaps ? std::min(flaps_ + 1, internal::most_doublings) : 0;
    ramping_ = true;
    began_before_ = true;
    answered_ = false;
    restore_first_window();
    bound_changed_ = from;
    in_time_ = 0;
    answers_to_end_ =
        std::min(settings_.answers_to_end * (1 << flaps_), settings_.most_answers_to_end);
    credit_ = phase;
    own_ = {};
    // A peer that has not begun this ramp yet still reports its counts of the last one, so these
    // are kept to compare with.
}

void server_pace::restore_first_window() {
    window_ = std::max<double>(settings_.first_window, settings_.window_per_slot * slots_);
    most_in_flight_ = 0;
    had_bad_answer_ = false;
    if (flaps_ > 0) {
        window_ = internal::min_window;
        most_in_flight_ = 1;
        had_bad_answer_ = true;
    }
}

void server_pace::end(ramp_end why) {
    ramping_ = false;
    end_reason_ = why;
}

void server_pace::tick(instant now) {
    if (!ramping_ || now - began_ < settings_.longest_ramp)
        return;
    if (!bounded() || now - began_ >= settings_.longest_bounded)
        end(ramp_end::time_limit);
}

double server_pace::room(const pace_load& own, const pace_load& peers) const {
    double room = window_ - own.waiting - peers.waiting;
    if (most_in_flight_ > 0)
        room = std::min(room, most_in_flight_ - own.in_flight - peers.in_flight);
    return room;
}

// What peers sent since their last reports is unknown. At a rate of `room / (age + period)` over
// all instances, what is unknown and what is sent in the next period together fill the room.
duration server_pace::spread(duration report_age) const {
    auto most = settings_.report_delay - settings_.report_period;
    return std::clamp(report_age, duration(), most) + settings_.report_period;
}

void server_pace::accrue(double room, int instances, duration report_age, instant now) {
    double periods =
        to_seconds(std::max(duration(), now - credited_at_)) / to_seconds(spread(report_age));
    credited_at_ = std::max(credited_at_, now);
    credit_ = std::min(1.0, credit_ + periods * std::max(0.0, room) / instances);
}

bool server_pace::allows(const pace_load& own, const pace_load& peers, int instances, instant now,
                         duration report_age) {
    tick(now);
    if (!ramping_)
        return true;
    double left = room(own, peers);
    if (instances <= 1)
        return left >= 1;
    accrue(left, instances, report_age, now);
    return left >= 1 && credit_ >= 1;
}

void server_pace::on_sent(instant /*now*/) {
    // A request that was sent beyond the pace delays the next one within it.
    credit_ = std::max(-1.0, credit_ - 1);
}

void server_pace::add_in_time(std::int64_t n, instant now) {
    if (n > 0 && bounded() && now - bound_changed_ >= settings_.bound_period) {
        most_in_flight_ *= internal::bound_growth;
        bound_changed_ = now;
    }
    for (std::int64_t i = 0; i < n && ramping_; ++i) {
        window_ += had_bad_answer_ ? internal::later_growth : internal::first_growth;
        if (++in_time_ >= answers_to_end_ && !bounded())
            end(ramp_end::as_predicted);
    }
}

void server_pace::add_slow(instant sent, instant now) {
    in_time_ /= 2;
    had_bad_answer_ = true;
    if (sent < last_decrease_)
        return; // the server got it before the window was made smaller
    last_decrease_ = now;
    window_ = std::max(internal::min_window, window_ * internal::decrease_factor);
}

void server_pace::add_refused(int in_flight, instant now) {
    in_time_ = 0;
    had_bad_answer_ = true;
    bound_changed_ = now;
    last_decrease_ = now;
    window_ = std::max(internal::min_window, window_ * internal::decrease_factor);
    double most = std::max(1, in_flight);
    most_in_flight_ = most_in_flight_ > 0 ? std::min(most_in_flight_, most) : most;
}

void server_pace::on_first_answer(duration predicted, duration took, instant now) {
    answered_ = answered_ || now >= began_;
    auto limit = from_seconds(settings_.slow_ratio * to_seconds(predicted)) + settings_.slow_slack;
    if (took <= limit) {
        ++own_.in_time;
        add_in_time(1, now);
    } else {
        ++own_.slow;
        if (ramping_)
            add_slow(now - took, now);
    }
}

void server_pace::on_refused(int in_flight, instant now) {
    if (!ramping_)
        return;
    ++own_.refused;
    add_refused(in_flight, now);
}

void server_pace::on_failed(int in_flight, instant now) {
    if (!ramping_ || now < began_)
        return;
    ++own_.failed;
    add_refused(in_flight / 2, now);
}

void server_pace::on_peer_evidence(const std::string& peer, const pace_evidence& seen,
                                   int in_flight, instant now) {
    if (!ramping_)
        return;
    auto& last = peers_[peer];
    bool new_count = seen.in_time < last.in_time || seen.slow < last.slow ||
                     seen.refused < last.refused || seen.failed < last.failed;
    auto known = new_count ? pace_evidence() : last;
    last = seen;
    answered_ = answered_ || seen.in_time > known.in_time || seen.slow > known.slow;
    if (seen.failed > known.failed)
        add_refused(in_flight / 2, now);
    else if (seen.refused > known.refused)
        add_refused(in_flight, now);
    else if (seen.slow > known.slow)
        add_slow(now - settings_.report_delay, now);
    add_in_time(seen.in_time - known.in_time, now);
}

} // namespace azureyoke::coordination
