#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "azureyoke/src/state/traffic_policy.h"
#include "azureyoke/src/transport/backend_pool.h"
#include "azureyoke/src/transport/front_server.h"

// Limits of a forwarding instance's connections, from the policy and its descriptors.
namespace azureyoke::app::internal {

inline transport::front_limits limits_of(std::size_t max_connections) {
    transport::front_limits result;
    result.max_connections = max_connections;
    return result;
}

/// \returns `connections`, or fewer if the budget has no guaranteed bytes for
/// that many.
inline std::size_t bounded(std::size_t connections, const transport::byte_budget& budget) {
    return std::min(connections, transport::max_connections_for(budget.limit()));
}

/// \returns the limits of an address that serves pages, whose requests have no
/// body of use.
inline transport::front_limits page_limits(std::size_t max_connections) {
    constexpr std::size_t max_page_body_bytes = std::size_t{64} * 1024;
    auto result = limits_of(max_connections);
    result.max_body_bytes = max_page_body_bytes;
    return result;
}

inline transport::front_limits limits_of(const state::caller_bounds& bounds,
                                         std::size_t max_connections) {
    auto result = limits_of(max_connections);
    result.max_head_bytes = static_cast<std::size_t>(bounds.max_head_bytes);
    result.max_body_bytes = static_cast<std::size_t>(bounds.max_body_bytes);
    result.head_timeout = std::chrono::milliseconds(bounds.head_timeout_ms);
    result.idle_timeout = std::chrono::milliseconds(bounds.idle_timeout_ms);
    return result;
}

inline transport::backend_pool_limits backend_limits(std::size_t max_connections) {
    transport::backend_pool_limits result;
    result.max_kept_connections = max_connections;
    return result;
}

} // namespace azureyoke::app::internal
