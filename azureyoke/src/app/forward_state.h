#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/forward_ports.h"
#include "azureyoke/src/app/forward_settings.h"
#include "azureyoke/src/app/line_budget.h"
#include "azureyoke/src/app/metrics.h"
#include "azureyoke/src/app/request_history.h"
#include "azureyoke/src/coordination/fleet_directory.h"
#include "azureyoke/src/coordination/fleet_limit.h"
#include "azureyoke/src/coordination/fleet_router.h"
#include "azureyoke/src/coordination/named_weights.h"
#include "azureyoke/src/coordination/service_retry_budget.h"
#include "azureyoke/src/transport/backend_pool.h"

namespace azureyoke::app {

/// \brief What an instance believes of policy, fleet and limits. Not thread safe.
struct forward_state {
    explicit forward_state(const forward_settings& settings);

    /// \returns whether the policy is newer than the one in force, and now is in force itself.
    bool set_policy(const policy_copy& copy, transport::instant now);
    coordination::service_retry_budget& retries(const std::string& pool);
    /// \brief Changes the bounds of repeats; what was counted stays.
    void set_retries(const forward_settings& settings);
    /// \returns the limit of a workspace, or null when it has none.
    coordination::fleet_limit* limit(const std::string& workspace);
    void set_members(int all, int silent, transport::instant now);
    const coordination::named_weights* wanted(const std::string& model) const;

    policy_copy policy;
    /// The registry and all peers have been silent for long: what is not known may exist.
    bool policy_may_be_old = false;
    coordination::fleet_directory directory;
    coordination::fleet_router router;
    std::map<std::string, coordination::fleet_limit> limits;
    std::map<std::string, coordination::named_weights> weights; ///< By model.
    int instances = 1;
    int silent_instances = 0;

private:
    coordination::fleet_limit_settings limit_settings_;
    coordination::service_retry_settings retry_settings_;
    std::map<std::string, coordination::service_retry_budget> retries_;
};

/// \brief What the forwarding of requests depends on. All outlive every request.
struct forward_services {
    const forward_settings& settings;
    transport::event_loop& loop;
    transport::backend_pool& backends;
    const forward_dialect& dialect;
    forward_state& state;
    const event_log& log;
    line_budget& lines;
    metrics& measures;
    request_history& history;
    bool refuse_all = false; ///< The instance is about to end.
};

} // namespace azureyoke::app
