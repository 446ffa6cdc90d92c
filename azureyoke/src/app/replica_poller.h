#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/coordination/path_watch.h"
#include "azureyoke/src/coordination/replica_router.h"
#include "azureyoke/src/state/configuration.h"
#include "azureyoke/src/transport/http_client.h"

namespace azureyoke::app {

/// \brief Maintains the router's list of replicas and polls them for load reports and cache events.
/// The polls also show whether this instance reaches the replicas at all.
class replica_poller {
public:
    replica_poller(transport::event_loop& loop, transport::http_client& client,
                   coordination::replica_router& router, const event_log& log,
                   transport::duration period);

    void apply(const state::configuration& config);

private:
    struct target {
        transport::address at;
        coordination::replica_number replica = 0;
        bool report_pending = false;
        bool unresponsive = false;
        bool events_pending = false;
        std::uint64_t last_event_number = 0;
        std::string events_incarnation; ///< Incarnation that `last_event_number` refers to.
    };

    void poll();
    void log_ramps();
    void fetch_report(const std::string& name, target& it);
    /// Records whether a replica answered a poll.
    void watch_path(const std::string& name, bool answered);
    void fetch_events(const std::string& name, target& it);
    void on_events(const std::string& name, const std::string& body);

    transport::event_loop& loop_;
    transport::http_client& client_;
    coordination::replica_router& router_;
    const event_log& log_;
    transport::duration period_;
    std::map<std::string, target> targets_;
    transport::instant answered_at_; ///< When a replica last answered a poll.
    coordination::path_watch path_{coordination::path_settings()};
    std::string last_polled_; ///< The next poll starts after this name.
    std::unique_ptr<transport::timer> ticker_;
};

} // namespace azureyoke::app
