#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct rollout_settings {
    std::size_t max_changes = 2; ///< Replicas that change weights at the same time.
    /// Between notices of a drain to the instances.
    duration notice_interval = std::chrono::seconds(1);
    /// Least time from the first notice to the order.
    duration min_drain_time = std::chrono::seconds(3);
    /// A replica that has reported idle for this long counts as drained.
    duration idle_time = std::chrono::milliseconds(1500);
    /// Between orders, to respect the weight store's rate limit.
    duration order_interval = std::chrono::milliseconds(500);
    /// An order that has not taken effect is repeated after this time.
    duration order_timeout = std::chrono::seconds(30);

    friend bool operator==(const rollout_settings&, const rollout_settings&) = default;
};

/// \brief A replica as the rollout leader sees it.
struct rollout_replica {
    std::string name;
    std::string data_centre;
    std::vector<std::string> models;
    std::string desired; ///< Desired weights, from the document.
    std::string weights; ///< As reported; empty before the first report.
    bool serving = true; ///< The replica answers, is not leaving and is not ejected.
    bool idle = false;   ///< The last report shows nothing queued or running.

    friend bool operator==(const rollout_replica&, const rollout_replica&) = default;
};

enum class rollout_step {
    drain, ///< Tell every instance to send no new work for some time.
    order  ///< Order the replica to load `weights`.
};

struct rollout_action {
    rollout_step step = rollout_step::drain;
    std::string replica;
    std::string weights; ///< For an order.

    friend bool operator==(const rollout_action&, const rollout_action&) = default;
};

enum class rollout_phase { waiting, draining, ordered };

const char* name_of(rollout_phase phase);

/// \brief Progress of a replica whose weights differ from the desired ones.
struct rollout_item {
    std::string replica;
    std::string desired;
    rollout_phase phase = rollout_phase::waiting;
    std::string held_by; ///< The rule that keeps the replica waiting, if any.

    friend bool operator==(const rollout_item&, const rollout_item&) = default;
};

/// \brief Decides which replicas of one data centre change weights, and when.
///
/// A replica is drained first and ordered only after it has reported idle. At most `max_changes`
/// replicas change at the same time, and never the last serving replica of a model: another one
/// must serve in the data centre, or elsewhere if the data centre has only one. All decisions
/// derive from reports, so that a new rollout leader continues where its predecessor stopped. Pure.
/// Not thread safe.
class rollout_planner {
public:
    rollout_planner(const rollout_settings& settings, std::string data_centre);

    /// \returns whether a replica of the data centre has other weights than the desired ones, or a
    /// change is in progress.
    bool has_work(const std::vector<rollout_replica>& all) const;

    /// \returns the actions to take now. `leases_held` tells whether this instance holds the leases
    /// of the rollout leader.
    std::vector<rollout_action> tick(const std::vector<rollout_replica>& all, bool leases_held,
                                     instant now);
    /// \brief The replica or the weight store asked for the order to be repeated later.
    void on_order_refused(const std::string& replica, instant now);

    std::vector<rollout_item> items(const std::vector<rollout_replica>& all) const;

private:
    struct change {
        std::string desired;
        rollout_phase phase = rollout_phase::draining;
        instant drain_began_at;
        instant last_notice;
        instant last_busy_at;
        instant ordered_at;
    };

    bool needs_change(const rollout_replica& replica) const;
    void end_finished(const std::vector<rollout_replica>& all);
    void advance(const rollout_replica& replica, change& changing, instant now,
                 std::vector<rollout_action>& actions);
    bool may_order(const change& changing, instant now) const;
    std::string blocking_rule(const rollout_replica& candidate,
                              const std::vector<rollout_replica>& all) const;

    rollout_settings settings_;
    std::string data_centre_;
    std::map<std::string, change> changing_;
    instant last_order_;
};

} // namespace azureyoke::coordination
