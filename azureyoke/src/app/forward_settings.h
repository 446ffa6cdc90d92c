#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/state/error.h"
#include "azureyoke/src/transport/address.h"

namespace azureyoke::app {

/// \brief Settings of an instance that forwards for a registered fleet.
/// See docs/CONFIGURATION.md.
struct forward_settings {
    std::string instance;
    std::string data_centre;
    transport::address callers;
    transport::address readiness;
    transport::address operators;
    transport::address peers;              ///< UDP between instances.
    transport::address registry;           ///< The platform's metadata store.
    std::vector<transport::address> seeds; ///< Operator addresses of other instances.
    std::int64_t drain_limit_ms = 7500;
    double retry_share = 0.2;
    double retry_reserve = 50;
    std::int64_t retry_window_ms = 10'000;
    std::int64_t log_lines_per_second = 50; ///< Of each kind of event about requests.
    double limit_window_s = 0;              ///< Workspaces' limits are judged over this; 0: none.
    std::int64_t weights_limit_ms = 6000;   ///< Named weights are in place within this.

    friend bool operator==(const forward_settings&, const forward_settings&) = default;
};

/// \brief Parses and checks settings written in JSON with comments.
/// \returns every fault found.
tl::expected<forward_settings, std::vector<state::error>>
parse_forward_settings(std::string_view text);

} // namespace azureyoke::app
