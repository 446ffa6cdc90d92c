#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/state/traffic_policy.h"

namespace azureyoke::state {

/// \returns the cache salt of all workspaces that are not isolated. It names the set of those that
/// are: what a workspace left in a shared cache before it was isolated lies under another salt.
/// Follows from the policy alone, so that all instances agree without a message. Thread safe.
std::string shared_cache_salt(const std::vector<forward_workspace>& workspaces);

/// \returns the cache salt of one workspace alone. Differs from that of every other name and from
/// every shared salt. Thread safe.
std::string own_cache_salt(std::string_view workspace);

} // namespace azureyoke::state
