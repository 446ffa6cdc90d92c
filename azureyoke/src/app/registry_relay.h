#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/forward_ports.h"
#include "azureyoke/src/app/peer_directory.h"
#include "azureyoke/src/app/peer_section.h"

namespace azureyoke::app {

/// \returns the name of a role in logs and pages. Thread safe.
const char* name_of(coordination::relay_role role);

/// \brief Section of the reports in which readers of the registry tell the other instances of their
/// data centre which backend servers changed. Not thread safe.
class registry_relay : public peer_section {
public:
    registry_relay(const transport::event_loop& loop, const forward_settings& settings,
                   fleet_registry& registry, const peer_directory& peers, const event_log& log);

    /// \brief Chooses the role of this instance anew; none unless the relay is `wanted`. Call it a
    /// few times a second.
    void tick(bool wanted);

    coordination::relay_role role() const { return role_; }

    std::string name() const override { return "registry"; }

    std::vector<std::string> contents(report_scope scope) override;
    bool on_content(const section_sender& sender, std::string_view content) override;

    bool has_news() const override { return registry_.has_relayed_changes(); }

private:
    const transport::event_loop& loop_;
    const forward_settings& settings_;
    fleet_registry& registry_;
    const peer_directory& peers_;
    const event_log& log_;
    coordination::relay_role role_ = coordination::relay_role::none;
};

} // namespace azureyoke::app
