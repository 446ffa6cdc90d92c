#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/log_rate_limiter.h"
#include "azureyoke/src/app/peer_section.h"
#include "azureyoke/src/coordination/server_pace.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Follows the servers that ramp up: begins ramps from registrations, reports what this
/// instance saw of them to its peers, and logs when they begin and end.
///
/// Only pools with overload control have ramps. Not thread safe.
class ramp_service : public peer_section {
public:
    ramp_service(transport::event_loop& loop, forward_state& state, const event_log& log,
                 log_rate_limiter& log_limiter);

    /// \brief To be called after the directory took over the server's registration.
    /// \param known whether the server was registered before; it restarted then.
    void on_server_started(const std::string& server, bool known);
    /// \brief To be called after the directory took over the registry's list.
    /// \param before the servers that it had; none: the list is the first.
    void on_servers(const std::map<std::string, state::fleet_server>& before);
    void on_server_removed(const std::string& server);
    /// \brief To be called each 100 ms.
    void tick();

    std::string name() const override { return "pace"; }

    std::vector<std::string> contents(report_scope scope) override;
    bool on_content(const section_sender& sender, std::string_view content) override;
    bool has_news() const override;

private:
    using counts = std::map<std::string, coordination::pace_evidence>;

    transport::event_loop& loop_;
    forward_state& state_;
    const event_log& log_;
    log_rate_limiter& log_limiter_;

    struct last_report {
        counts told;
        transport::instant at;
    };

    std::map<report_scope, last_report> reported_;
};

/// \returns the Prometheus text of the gauge of servers that ramp up.
std::string ramp_gauge(const forward_state& state);

} // namespace azureyoke::app
