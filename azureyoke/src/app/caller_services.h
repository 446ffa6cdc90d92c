#pragma once

#include <functional>
#include <memory>
#include <string>

#include "azureyoke/src/app/dispatch_queue.h"
#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/metrics.h"
#include "azureyoke/src/app/request_history.h"
#include "azureyoke/src/app/settings.h"
#include "azureyoke/src/app/share_service.h"
#include "azureyoke/src/coordination/configuration_manager.h"
#include "azureyoke/src/coordination/replica_router.h"
#include "azureyoke/src/coordination/retry_budget.h"
#include "azureyoke/src/protocol/table_service.h"
#include "azureyoke/src/transport/http_client.h"

namespace azureyoke::app {

/// \brief The dependencies of request handling. Each must outlive every request.
struct caller_services {
    const instance_settings& settings;
    transport::event_loop& loop;
    transport::http_client& client;
    protocol::table_service& table;
    coordination::configuration_manager& configuration;
    coordination::replica_router& router;
    coordination::retry_budget& retries;
    share_service& shares;
    dispatch_queue& queue;
    const event_log& log;
    metrics& measures;
    request_history& history;
    std::function<std::string()> make_id; ///< Returns an id that no instance uses twice.
    std::function<void()> send_notices;   ///< Sends the pending notices of the router to the peers.
};

} // namespace azureyoke::app
