#pragma once

#include <chrono>
#include <cstdint>

namespace azureyoke::app {

/// \returns the system clock's milliseconds since 1970, for logs and for data that other machines
/// read. Decisions use the monotonic clock of the event loop. Thread safe.
inline std::int64_t wall_clock_ms() {
    auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

} // namespace azureyoke::app
