#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/coordination/software_rollout.h"

namespace azureyoke::app {

/// \brief What an instance tells its peers about one rollout. Counters are absolute since the
/// sender took up the order; a message may have those of some routes only.
struct software_message {
    std::string service;
    std::string to;
    std::int64_t age_ms = 0; ///< Since the order was written.
    coordination::rollout_state state = coordination::rollout_state::in_progress;
    std::string reason;
    coordination::software_evidence evidence;
    /// Otherwise the age counts from when the sender read the order, which may be late.
    bool begin_known = false;

    friend bool operator==(const software_message&, const software_message&) = default;
};

/// \returns messages of at most `max_bytes` each. Routes whose entry alone is larger are left out.
/// Thread safe.
std::vector<std::string> to_contents(const software_message& message, std::size_t max_bytes);
/// \returns nothing when the bytes are no valid message. Thread safe.
std::optional<software_message> parse_software_message(std::string_view bytes);

} // namespace azureyoke::app
