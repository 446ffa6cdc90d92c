#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/server_ramps.h"
#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/prefix_index.h"

namespace azureyoke::coordination {

using state::replica_number;

/// \brief Identity of one dispatched request within an instance.
using call_number = std::uint64_t;

/// \brief The configuration of a replica.
struct replica_info {
    std::string name;
    std::string data_centre;
    std::vector<std::string> models;
    bool leaving = false;

    friend bool operator==(const replica_info&, const replica_info&) = default;
};

/// \brief Load as a replica reported it.
struct load_report {
    std::string incarnation;
    std::string weights;
    std::int64_t queued_tokens = 0;
    std::int64_t running = 0;

    friend bool operator==(const load_report&, const load_report&) = default;
};

struct tracker_settings {
    double initial_speed = 8000; ///< Prompt tokens per second before anything is learned.
    double report_weight = 0.3;  ///< Weight of a report against the mean of the reports.
    duration longest_call = std::chrono::minutes(10);
    int failures_to_eject = 3;
    duration first_ejection = std::chrono::seconds(1);
    duration longest_ejection = std::chrono::seconds(30);
    pace_settings pace;       ///< Of a replica that comes back after an ejection or a restart.
    double max_ejected = 0.5; ///< Largest fraction of a model's replicas that may be ejected.

    friend bool operator==(const tracker_settings&, const tracker_settings&) = default;
};

/// \brief Tracks the queue, speed and health of every replica.
///
/// The queue consists of the calls that this instance and its peers sent and that have no first
/// token yet. Reports lag, so a reported queue is smoothed towards its mean and can only raise this
/// figure. Pure: time is passed in with each call. Not thread safe.
class replica_tracker {
public:
    explicit replica_tracker(const tracker_settings& settings);

    /// \brief Adds or updates the replica called `info.name`. \returns its number.
    replica_number upsert(const replica_info& info);
    void remove(const std::string& name);
    /// \returns the number of the replica called `name`; nothing when it is not present.
    std::optional<replica_number> number_of(const std::string& name) const;

    const replica_info& info(replica_number replica) const { return at(replica).info; }

    std::size_t size() const { return replicas_.size(); }

    bool present(replica_number replica) const;

    /// \brief Processes a load report.
    /// \returns true when the replica restarted or changed weights, so that its cache is lost.
    bool on_report(replica_number replica, const load_report& report, instant now);
    /// \brief The replica gets no new work until `until`, or until it reports other weights.
    void set_draining(replica_number replica, instant until);
    bool draining(replica_number replica, instant now) const;
    /// \returns whether the last report shows no work and no call is open.
    bool idle(replica_number replica) const;
    void on_dispatch(replica_number replica, call_number call, std::int64_t uncached_tokens,
                     instant now);
    void on_first_token(replica_number replica, call_number call, instant now);
    /// \brief The answer reported that `uncached_tokens` were actually computed for the call.
    void on_computed(replica_number replica, call_number call, std::int64_t uncached_tokens);
    void on_success(replica_number replica, instant now);
    /// \returns true when this failure ejects the replica.
    bool on_failure(replica_number replica, instant now);
    /// \brief This instance reaches the replicas again: failures while it did not were its own, so
    /// that they eject no replica and slow down none that comes back.
    void on_path_restored(instant now);
    /// \brief The call ended, whatever its outcome.
    void on_end(replica_number replica, call_number call);

    /// \returns the replicas of `model` that may get new work, ordered by number.
    ///
    /// Ejected replicas are left out unless too few would remain; draining ones unless no other
    /// replica is present.
    std::vector<replica_number> serving(const std::string& model, instant now) const;

    /// \returns the estimated time that a new request waits before its computation starts.
    duration backlog(replica_number replica, instant now) const;

    /// \returns the learned speed in prompt tokens per second.
    double speed(replica_number replica) const { return at(replica).speed; }

    std::size_t in_flight(replica_number replica) const { return at(replica).calls.size(); }

    bool ejected(replica_number replica, instant now) const;
    /// \returns whether the replica has come back lately and has as much work as it may at its
    /// pace.
    bool beyond_pace(replica_number replica) const;

    /// \brief Ends the ramps whose time is over. To be called at least each second.
    /// \returns the ramps that began or ended since the last call; `server` is the replica's name.
    std::vector<ramp_change> take_ramp_changes(instant now) { return ramps_.take_changes(now); }

    /// \returns the window of each replica that ramps up, by name, in requests without a first
    /// token.
    std::map<std::string, double> ramp_windows() const { return ramps_.windows(); }

    /// \brief Sets a speed that was learned before this instance started.
    void restore_speed(replica_number replica, double speed) { at(replica).speed = speed; }

    const std::string& weights(replica_number replica) const { return at(replica).weights; }

    const std::string& incarnation(replica_number replica) const { return at(replica).incarnation; }

private:
    struct open_call {
        call_number call = 0;
        std::int64_t uncached_tokens = 0;
        instant sent;
        instant overdue_at;  ///< Left out of the queue from then on.
        bool waiting = true; ///< No first token yet.
        duration first_token{};
        duration predicted{}; ///< Time to first token at the learned speed.
        /// Nothing was queued at dispatch: only then does the time to first token show the speed.
        bool queue_was_empty = true;
    };

    struct replica_record {
        replica_info info;
        bool present = true;
        double speed = 0;
        double reported_queue = 0;
        double mean_queue = 0;
        std::string incarnation;
        std::string weights;
        std::deque<open_call> calls;
        bool reported_idle = false;
        instant draining_until;
        int failures = 0;
        int ejections = 0;
        instant ejected_until;
    };

    const replica_record& at(replica_number replica) const { return replicas_.at(replica); }

    replica_record& at(replica_number replica) { return replicas_.at(replica); }

    static double queued_tokens(const replica_record& record, instant now);
    static void learn_speed(replica_record& record, double sample);

    /// \returns what is in flight at the replica, from all instances.
    static pace_load load_of(const replica_record& record);
    bool has_others(const replica_record& record) const;

    tracker_settings settings_;
    /// Notices tell of the calls of peers at once, so they count like own ones.
    server_ramps ramps_;
    std::vector<replica_record> replicas_;
    std::map<std::string, replica_number> numbers_;
};

} // namespace azureyoke::coordination
