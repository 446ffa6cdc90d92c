#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief Why a server ramps up.
enum class ramp_cause {
    added,         ///< It was registered beside other servers.
    restarted,     ///< It started anew under the same name.
    recovered,     ///< Its suspension or ejection after failures ended.
    weights_loaded ///< It has just loaded weights.
};

/// \brief Why a ramp ended.
enum class ramp_end {
    as_predicted, ///< Its answers came in the time that a warm server takes.
    time_limit,   ///< It was still slow, or hardly used: the latency estimate takes over.
    removed,      ///< The server is gone.
    path_restored ///< This instance had lost its path to the servers: the failures were its own.
};

const char* name_of(ramp_cause cause);
const char* name_of(ramp_end end);

struct pace_settings {
    /// Requests without a first answer that a server may have at the start, over all instances:
    /// half of its slots if that is more. With a quarter, a server that is warm at once had 0.6 of
    /// an equal share in its second second at 84 instances.
    int first_window = 2;
    double window_per_slot = 0.5;
    /// A first answer is in time within `slow_ratio` times the prediction + `slow_slack`. Sound
    /// servers differ by up to 1.8 times from the mean of a pool with hardware speeds 0.6, 1 and
    /// 1.6. The slack is a fifth of the shortest latency target.
    double slow_ratio = 2;
    duration slow_slack = std::chrono::milliseconds(50);
    /// Answers in time that end the ramp. A slow answer halves their count, so that a server whose
    /// answers are now and then slow ends its ramp too.
    int answers_to_end = 8;
    int most_answers_to_end = 32;
    duration longest_ramp = std::chrono::seconds(8);
    /// Refusals and crashes bound the requests in flight. The bound doubles after each such time
    /// without another one, and the ramp goes on until it reaches the slots, or up to
    /// `longest_bounded`.
    duration bound_period = std::chrono::seconds(2);
    duration longest_bounded = std::chrono::seconds(30);
    int assumed_slots = 16;                          ///< Of a server that does not tell them.
    duration flap_memory = std::chrono::seconds(30); ///< After the start of the last ramp.
    /// Longest time between two reports of a peer. Without reports the free window is used up over
    /// this time, so that what is sent before a report can come fits into it.
    duration report_delay = std::chrono::milliseconds(500);
    /// Shortest time between two reports of a peer. The free window is used up over the mean age of
    /// the peers' reports and this time, if that is less than `report_delay`.
    duration report_period = std::chrono::milliseconds(100);

    friend bool operator==(const pace_settings&, const pace_settings&) = default;
};

/// \brief What is in flight at a server, from one instance or several.
struct pace_load {
    int in_flight = 0;
    int waiting = 0; ///< Of these, without a first answer.

    friend bool operator==(const pace_load&, const pace_load&) = default;
};

/// \brief Answers of a server since the start of its ramp, as one instance counted them.
struct pace_evidence {
    std::int64_t in_time = 0;
    std::int64_t slow = 0;
    std::int64_t refused = 0; ///< For want of room.
    std::int64_t failed = 0;  ///< Crashed or not reached.

    friend bool operator==(const pace_evidence&, const pace_evidence&) = default;
};

/// \brief Determines how much work one server may have while it ramps up, over all instances, and
/// whether this instance may add to it.
///
/// Load patterns: a server that starts is cold for some seconds, is warm at once, takes far fewer
/// requests at a time than it has slots, or fails again and again; one to several hundred
/// instances find it idle at the same moment, and each sees only a few of its answers. The window
/// of requests without a first answer grows with answers in time and shrinks with slow ones, so
/// that the server gets work at the rate at which it answers. Before the first ramp everything is
/// allowed. Pure. Not thread safe.
class server_pace {
public:
    explicit server_pace(const pace_settings& settings) : settings_(settings) {}

    /// \brief Starts a ramp at `from`, which may be in the future. During a ramp without any first
    /// answer so far it only moves the beginning: several calls that end with the same crash, or a
    /// refused connection before the new run registers, are one restart. What failed before the new
    /// run registers does not bound it, unless the former run had begun with a ramp as well.
    /// \param slots requests that the server runs at once; 0: unknown.
    /// \param phase of this instance among all, from 0 to below 1.
    void begin(ramp_cause cause, instant from, int slots, double phase);
    void end(ramp_end why);

    /// \brief Ends the ramp when its time is over.
    void tick(instant now);

    bool ramping() const { return ramping_; }

    ramp_cause cause() const { return cause_; }

    /// \returns why the last ramp ended. \pre a ramp has ended.
    ramp_end end_reason() const { return end_reason_; }

    instant began() const { return began_; }

    /// \returns how many more requests the server may get at this moment, over all instances.
    /// Requires `ramping()`.
    double room(const pace_load& own, const pace_load& peers) const;

    /// \returns whether this instance may send the server a request. Always true after the ramp.
    /// \param report_age mean age of the last reports of all peers; by default none has reported.
    bool allows(const pace_load& own, const pace_load& peers, int instances, instant now,
                duration report_age = duration::max());

    /// \brief Spends the credit of one request. Call when a request was sent.
    void on_sent(instant now);

    /// \brief Records that this instance received a first answer. It counts in `evidence()` also
    /// after the ramp, until `reports(now)` ends.
    /// \param predicted of a warm server. \param took as measured.
    void on_first_answer(duration predicted, duration took, instant now);
    /// \brief The server refused a request for want of room. \param in_flight over all instances,
    /// without that request.
    void on_refused(int in_flight, instant now);
    /// \brief The server crashed or was not reached. Failures before the beginning are those of
    /// earlier requests and don't count. \param in_flight as in `on_refused`.
    void on_failed(int in_flight, instant now);
    /// \brief Adds what is new in a peer's counters, which are absolute. A lower counter than the
    /// last one starts a new count. \param in_flight over all instances.
    void on_peer_evidence(const std::string& peer, const pace_evidence& seen, int in_flight,
                          instant now);

    /// \returns whether peers may still ramp up the server and wait for this instance's counters.
    bool reports(instant now) const {
        return began_before_ && now - began_ < settings_.longest_ramp;
    }

    /// \returns this instance's counters since the start of the ramp.
    const pace_evidence& evidence() const { return own_; }

    /// \returns the requests without a first answer that the server may have. Requires `ramping()`.
    double window() const { return window_; }

private:
    void add_in_time(std::int64_t n, instant now);

    bool bounded() const { return most_in_flight_ > 0 && most_in_flight_ < slots_; }

    void add_slow(instant sent, instant now);
    void add_refused(int in_flight, instant now);
    /// \returns the time over which the instances use up the free window together.
    duration spread(duration report_age) const;
    void accrue(double room, int instances, duration report_age, instant now);
    void restore_first_window();

    pace_settings settings_;
    bool ramping_ = false;
    ramp_cause cause_ = ramp_cause::added;
    bool run_began_ = false; ///< A new run of the server began in this ramp.
    bool answered_ = false;  ///< A first answer was counted since the beginning.
    ramp_end end_reason_ = ramp_end::as_predicted;
    instant began_;
    bool began_before_ = false;
    int slots_ = 0;
    int flaps_ = 0;
    double window_ = 0;
    double most_in_flight_ = 0; ///< Known from refusals and crashes; 0: no such bound.
    bool had_bad_answer_ = false;
    instant last_decrease_;
    instant bound_changed_;
    int in_time_ = 0; ///< Answers in time; fewer after bad ones.
    int answers_to_end_ = 0;
    double credit_ = 0; ///< Requests that this instance may send, at most one.
    instant credited_at_;
    pace_evidence own_;
    std::map<std::string, pace_evidence> peers_;
};

} // namespace azureyoke::coordination
