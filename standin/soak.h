#pragma once

#include <cstdint>

#include "standin/fleet.h"

namespace azureyoke::standin {

/// \brief Runs real processes under load with seeded random faults, then checks the recorded
/// history against the guarantees. Prints one JSON line and each violation.
///
/// Faults: engines crash, instances receive SIGKILL and SIGSTOP, links to the platform are cut, the
/// platform has outages or loses answers, the service's answers are lost, and concurrent operators
/// withdraw and grant keys. \returns 0 when no guarantee was violated, otherwise 1.
int run_soak(const fleet_options& options, std::uint64_t seed, double seconds);

} // namespace azureyoke::standin
