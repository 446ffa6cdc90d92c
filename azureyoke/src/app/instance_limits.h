#pragma once

#include <algorithm>
#include <chrono>

#include "azureyoke/src/app/descriptor_shares.h"
#include "azureyoke/src/app/machine_memory.h"
#include "azureyoke/src/app/settings.h"
#include "azureyoke/src/transport/front_server.h"
#include "azureyoke/src/transport/http_client.h"

// Limits of an instance's connections, from its settings.
namespace azureyoke::app::internal {

inline transport::http_client_limits client_limits(const instance_settings& settings) {
    transport::http_client_limits limits;
    limits.connect_timeout = std::chrono::milliseconds(settings.connect_timeout_ms);
    limits.first_byte_timeout = std::chrono::milliseconds(settings.first_byte_timeout_ms);
    limits.idle_timeout = std::chrono::milliseconds(settings.idle_timeout_ms);
    return limits;
}

/// Requests to the platform are small. A short timeout keeps a slow answer from delaying decisions.
inline transport::http_client_limits platform_limits() {
    transport::http_client_limits limits;
    limits.first_byte_timeout = std::chrono::seconds(3);
    limits.idle_timeout = std::chrono::seconds(3);
    return limits;
}

inline transport::front_limits server_limits(const instance_settings& settings,
                                             std::size_t max_descriptors) {
    transport::front_limits limits;
    auto budget = held_bytes_limit(machine_memory(settings.memory_mb));
    limits.max_connections = std::min(divide_descriptors(max_descriptors).callers,
                                      transport::max_connections_for(budget));
    limits.max_head_bytes = static_cast<std::size_t>(settings.max_header_bytes);
    limits.max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes);
    limits.head_timeout = std::chrono::milliseconds(settings.read_timeout_ms);
    limits.body_timeout = limits.head_timeout;
    limits.idle_timeout = limits.head_timeout;
    return limits;
}

/// Limits of the operators' address, whose requests have no body of use.
inline transport::front_limits page_limits() {
    transport::front_limits limits;
    limits.max_body_bytes = std::size_t{64} * 1024;
    return limits;
}

} // namespace azureyoke::app::internal
