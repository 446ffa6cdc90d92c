#pragma once

#include <vector>

#include "azureyoke/src/check/finding.h"
#include "azureyoke/src/state/traffic_policy.h"

namespace azureyoke::check {

/// \brief Looks for parts of a valid policy that no request can match, and for limits that
/// contradict each other. Rules of matching and limits are those of `traffic_policy::find_route`,
/// `app::select_pool` and `coordination::fleet_limit`.
/// \param longest_request_ms time limit of routes that have none.
/// \returns warnings only, in the order of the policy. Thread safe.
std::vector<finding> check_policy(const state::traffic_policy& policy,
                                  std::int64_t longest_request_ms);

} // namespace azureyoke::check
