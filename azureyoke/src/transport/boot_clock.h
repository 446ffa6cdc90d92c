#pragma once

#include <ctime>

#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::transport {

/// \brief Time since boot, including time in which the machine is suspended; the event loop's
/// clock stops then. Used for leases, which other instances may take over during a suspension.
/// Thread safe.
inline instant boot_time_now() {
    timespec at{};
    (void)clock_gettime(CLOCK_BOOTTIME, &at);
    return instant(std::chrono::seconds(at.tv_sec) +
                   std::chrono::duration_cast<duration>(std::chrono::nanoseconds(at.tv_nsec)));
}

} // namespace azureyoke::transport
