#pragma once

#include <cstddef>
#include <cstdint>

namespace azureyoke::app {

/// \returns the memory that this process may use, in bytes: `setting_mb` MiB,
/// or if that is 0 the limit of its control group or the memory of the system,
/// whichever is smaller. Thread safe.
std::size_t machine_memory(std::int64_t setting_mb);

/// \returns the bytes that a process may hold for its callers and servers on a
/// machine with `memory` bytes. Thread safe.
std::size_t held_bytes_limit(std::size_t memory);

/// \brief Makes the allocator return large blocks to the system as soon as they
/// are freed. By default it raises the size from which it does so with each
/// large block, and keeps what a crowd of large requests took. Call once,
/// before the process handles requests.
void return_large_blocks();

} // namespace azureyoke::app
