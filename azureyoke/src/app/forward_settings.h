#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/state/error.h"
#include "azureyoke/src/transport/address.h"

namespace azureyoke::app {

/// \brief Settings of an instance that forwards requests to a registered fleet.
/// See docs/CONFIGURATION.md.
struct forward_settings {
    std::string instance;
    std::string data_centre;
    transport::address callers;
    transport::address readiness;
    transport::address operators;
    transport::address peers;              ///< UDP address for reports between instances.
    transport::address registry;           ///< The platform's metadata store.
    std::vector<transport::address> seeds; ///< Operator addresses of other instances.
    std::int64_t drain_limit_ms = 7500;
    double retry_share = 0.2;
    double retry_reserve = 50;
    std::int64_t retry_window_ms = 10'000;
    std::int64_t log_lines_per_second = 50; ///< Per kind of request event.
    double limit_window_s = 0;              ///< Window of the workspaces' limits; 0: token bucket.
    std::int64_t weights_limit_ms = 6000;   ///< Time limit to load desired weights.
    /// Instances of a data centre that read the list of servers for the others; 0: each reads it.
    std::int64_t registry_readers = 0;
    /// Servers hear the rank of requests as their urgency, in pools with overload control.
    bool server_urgency = false;
    /// Servers that have just started get work at the pace of their answers, in pools with overload
    /// control.
    bool server_pace = false;
    std::int64_t memory_mb = 0; ///< Memory of the machine; 0: not known.
    /// Optional behaviour that the deployment asks for; names that are not known are ignored.
    std::vector<std::string> features;

    /// \returns whether all pools get overload control, not only those whose servers tell how slow
    /// they are at the moment. Thread safe.
    bool overload_control() const;

    friend bool operator==(const forward_settings&, const forward_settings&) = default;
};

/// \brief Parses and checks settings written in JSON with comments.
/// \returns the settings, or all errors found.
tl::expected<forward_settings, std::vector<state::error>>
parse_forward_settings(std::string_view text);

} // namespace azureyoke::app
