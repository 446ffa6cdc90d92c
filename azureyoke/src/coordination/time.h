#pragma once

#include <chrono>

namespace azureyoke::coordination {

/// \brief Monotonic time. It is passed to each decision class, none of which reads a clock.
using instant = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
using duration = std::chrono::microseconds;

inline double to_seconds(duration wait) {
    return std::chrono::duration<double>(wait).count();
}

inline duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace azureyoke::coordination
