#pragma once

#include <string>

#include "azureyoke/src/coordination/admission_control.h"
#include "azureyoke/src/coordination/fleet_directory.h"
#include "azureyoke/src/coordination/fleet_router.h"

namespace azureyoke::coordination {

/// \returns the load of the pool's usable servers, as the router knows it from the own requests,
/// the peers' reports and the servers' answers. `instances` send to the pool. Thread safe if its
/// arguments are.
inline pool_load load_of_pool(const fleet_directory& directory, const fleet_router& router,
                              const std::string& pool, int instances, instant now) {
    pool_load load;
    load.instances = instances;
    for (const auto* it : directory.usable(pool)) {
        load.slots += it->slots;
        load.in_flight += router.requests_at(it->id, now);
    }
    return load;
}

} // namespace azureyoke::coordination
