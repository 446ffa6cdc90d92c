#pragma once

#include <ctime>

#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::transport {

/// \brief Time since boot, which goes on while the machine is suspended; the loop's clock does
/// not. For leases, which others may take over meanwhile. Thread safe.
inline instant boot_now() {
    timespec at{};
    (void)clock_gettime(CLOCK_BOOTTIME, &at);
    return instant(std::chrono::seconds(at.tv_sec) +
                   std::chrono::duration_cast<duration>(std::chrono::nanoseconds(at.tv_nsec)));
}

} // namespace azureyoke::transport
