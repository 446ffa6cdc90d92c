#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/state/error.h"
#include "azureyoke/src/transport/address.h"

namespace azureyoke::app {

/// \brief Settings of one process, read once at start and described in docs/CONFIGURATION.md.
struct instance_settings {
    std::string instance;
    std::string fleet;
    std::string data_centre;
    transport::address callers;
    transport::address operators;
    transport::address peers;
    transport::address platform;
    std::vector<transport::address> seeds;
    std::int64_t max_body_bytes = 8 * 1024 * 1024;
    std::int64_t max_header_bytes = 64 * 1024;
    std::int64_t read_timeout_ms = 30'000;
    std::int64_t connect_timeout_ms = 500;
    std::int64_t first_byte_timeout_ms = 60'000;
    std::int64_t idle_timeout_ms = 20'000;
    std::int64_t request_timeout_ms = 600'000;
    std::int64_t stream_buffer_bytes = 256 * 1024;
    std::int64_t piece_bytes = 8000;
    std::int64_t index_entries = 1 << 20;
    std::int64_t platform_poll_ms = 1000;
    std::int64_t report_poll_ms = 500;
    std::int64_t memory_period_ms = 30'000;
    std::int64_t drain_grace_ms = 1000;
    std::int64_t drain_limit_ms = 600'000;
    std::int64_t memory_mb = 0; ///< Memory of the machine; 0: not known.

    friend bool operator==(const instance_settings&, const instance_settings&) = default;
};

/// \brief Parses and validates settings in JSON with comments.
/// \returns the settings, or all faults that were found.
tl::expected<instance_settings, std::vector<state::error>> parse_settings(std::string_view text);

} // namespace azureyoke::app
