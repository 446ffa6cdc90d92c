#pragma once

#include <string>

#include "standin/fleet.h"

namespace azureyoke::standin {

/// \brief Starts a fleet on loopback, runs the demonstration steps and prints each result.
///
/// With `keep`, all processes run until SIGINT or SIGTERM. The addresses of all processes are
/// written as JSON to `describe_file` unless its name is empty.
/// \returns 0 when every step succeeded, otherwise 1.
int run_demo(const fleet_options& options, bool keep, const std::string& describe_file);

} // namespace azureyoke::standin
