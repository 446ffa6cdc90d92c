#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/forward_ports.h"
#include "azureyoke/src/app/forward_settings.h"
#include "azureyoke/src/app/log_rate_limiter.h"
#include "azureyoke/src/app/metrics.h"
#include "azureyoke/src/app/part_guard.h"
#include "azureyoke/src/app/permit_source.h"
#include "azureyoke/src/app/request_history.h"
#include "azureyoke/src/app/run_watcher.h"
#include "azureyoke/src/app/server_path.h"
#include "azureyoke/src/app/software_gate.h"
#include "azureyoke/src/app/stream_registry.h"
#include "azureyoke/src/coordination/admission_control.h"
#include "azureyoke/src/coordination/desired_weights.h"
#include "azureyoke/src/coordination/fleet_directory.h"
#include "azureyoke/src/coordination/fleet_limit.h"
#include "azureyoke/src/coordination/fleet_router.h"
#include "azureyoke/src/coordination/server_limits.h"
#include "azureyoke/src/coordination/service_retry_budget.h"
#include "azureyoke/src/transport/backend_pool.h"
#include "azureyoke/src/transport/byte_budget.h"

namespace azureyoke::app {

/// \brief An instance's view of the policy, the fleet and the limits. Not thread safe.
struct forward_state {
    explicit forward_state(const forward_settings& settings);

    /// \brief Puts the policy in force if it is newer than the current one.
    /// \returns whether it was newer.
    bool set_policy(const policy_copy& copy, transport::instant now);
    coordination::service_retry_budget& retry_budget(const std::string& pool);
    /// \brief Changes the bounds of all retry budgets; their counts are kept.
    void set_retry_settings(const forward_settings& settings);
    /// \returns the limit of a workspace, or null when it has none.
    coordination::fleet_limit* find_limit(const std::string& workspace);
    /// \brief Sets the number of instances that share limits, and how many are unresponsive.
    void set_members(int all, int unresponsive, transport::instant now);
    /// \brief The server has taken its weights: it ramps up if a change was announced.
    void on_weights_change_ended(const std::string& server, transport::instant now);
    /// \returns the desired weights of a model, or null when none are known.
    const coordination::desired_weights* find_desired_weights(const std::string& model) const;

    /// \brief A server told, here or to a peer, how slow its machine is at the moment.
    void on_slowdown_told(const std::string& server, transport::instant now);
    /// \returns whether overload control applies to the pool: to all pools if the deployment asks
    /// for it, else while one of the pool's servers has told its slowdown lately.
    bool overload_control(const std::string& pool, transport::instant now) const;

    /// \returns whether servers of the pool that have just started get work at the pace of their
    /// answers.
    bool paced(const std::string& pool, transport::instant now) const {
        return server_pace_ && overload_control(pool, now);
    }

    /// \returns whether one of the pool's servers has told its slowdown lately. Only then are the
    /// pool's servers taken to be uneven: where none tells, estimates by learned speeds cost 0.01
    /// of the requests on time on a quiet day (docs/DECISIONS.md).
    bool tells_slowdown(const std::string& pool, transport::instant now) const;

    /// \returns whether a route or key that the policy lacks may exist all the same.
    bool may_lack_entries() const { return policy_may_be_old || newer_policy_exists; }

    policy_copy policy;
    /// Neither the registry nor a peer that reaches it has responded within the timeout: an unknown
    /// route or key may exist in a newer policy.
    bool policy_may_be_old = false;
    /// A responsive peer has a newer policy, in which an unknown route or key may exist.
    bool newer_policy_exists = false;
    coordination::fleet_directory directory;
    coordination::fleet_router router;
    coordination::server_limits server_limits;
    coordination::admission_control admission;
    std::map<std::string, coordination::fleet_limit> limits;
    std::map<std::string, coordination::desired_weights> desired_weights; ///< By model.
    int instances = 1;
    int unresponsive_instances = 0;

private:
    bool all_pools_controlled_;
    bool server_pace_;
    std::map<std::string, transport::instant> slowdown_told_at_; ///< By pool.
    coordination::fleet_limit_settings limit_settings_;
    coordination::service_retry_settings retry_settings_;
    std::map<std::string, coordination::service_retry_budget> retry_budgets_;
};

/// \brief The dependencies of forward_session. All outlive every request.
struct forward_services {
    const forward_settings& settings;
    transport::event_loop& loop;
    transport::backend_pool& backends;
    const forward_dialect& dialect;
    forward_state& state;
    const event_log& log;
    log_rate_limiter& log_limiter;
    metrics& measures;
    request_history& history;
    permit_source& permits;
    part_guard& parts;
    stream_registry& streams;
    run_watcher& runs;
    server_path& paths;
    transport::byte_budget& answer_bytes; ///< Held by all sessions.
    bool refuse_all = false;              ///< The instance is about to exit.
    std::size_t max_helped = 64;          ///< Requests of other instances that may be under way.
    std::size_t helped = 0;               ///< Requests of other instances that are under way.
    software_gate* software = nullptr;    ///< Rollouts; null: none.
};

} // namespace azureyoke::app
