#pragma once

#include <algorithm>
#include <cstddef>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief How one table of the registry is followed.
struct feed_pace {
    duration gather{}; ///< Between changes and the next question, so that more come at once.
    /// How long the registry holds a question without news; what a silent registry or link hides
    /// is noticed only after this.
    duration wait = std::chrono::milliseconds(2500);

    friend bool operator==(const feed_pace&, const feed_pace&) = default;
};

struct registry_pace {
    feed_pace servers;
    feed_pace policy;

    friend bool operator==(const registry_pace&, const registry_pace&) = default;
};

struct registry_pace_settings {
    /// Changes of servers are gathered for this long for each instance in the fleet, up to less
    /// than half of the two seconds for which a leaving server goes on serving.
    duration gather_an_instance = std::chrono::milliseconds(10);
    duration longest_gather = std::chrono::milliseconds(800);
    /// So many instances look at the policy often and tell their peers; the others rely on them.
    std::ptrdiff_t watchers = 4;
    int fleet_with_watchers = 16; ///< In a smaller fleet all instances watch.
    duration relying_wait = std::chrono::seconds(10);

    friend bool operator==(const registry_pace_settings&, const registry_pace_settings&) = default;
};

/// \brief How an instance follows the registry, by the size of the fleet and its place in it.
///
/// Load pattern: each change of a server ends the question of every instance at once, so that the
/// registry's calls grow with changes times instances; a quiet table is asked by every instance all
/// the same. A larger fleet gathers changes, and its policy is watched by a few. Pure. Thread safe.
inline registry_pace pace_of(int instances, std::ptrdiff_t place,
                             const registry_pace_settings& settings = {}) {
    registry_pace made;
    made.servers.gather =
        std::min(settings.longest_gather, settings.gather_an_instance * std::max(0, instances));
    if (instances > settings.fleet_with_watchers && place >= settings.watchers)
        made.policy.wait = settings.relying_wait;
    return made;
}

} // namespace azureyoke::coordination
