#pragma once

#include "standin/fleet.h"

namespace azureyoke::standin {

/// \brief Measures real processes on loopback and prints JSON lines: latency added over direct
/// access to an engine, processor time per request, memory per stream, the effect of one workspace
/// that sends at a multiple of the others' rate, and a rolling restart under load.
///
/// Wall-clock results are printed with their baseline and are not checked, because they depend on
/// the machine. `only` selects one case; empty runs all. \returns 64 for an unknown case.
int run_process_bench(const fleet_options& options, const std::string& only);

} // namespace azureyoke::standin
