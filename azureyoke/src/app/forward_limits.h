#pragma once

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
