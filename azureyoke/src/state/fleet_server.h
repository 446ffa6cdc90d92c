#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "azureyoke/src/state/record_version.h"

namespace azureyoke::state {

/// \brief A backend server's registration.
struct fleet_server {
    std::string id;
    std::string pool;
    std::string address; ///< IP:PORT
    std::string data_centre;
    /// Version of its software. Only servers of the same version can continue a stream.
    std::string software;
    bool leaving = false;        ///< Receives no new requests.
    int slots = 0;               ///< Requests that the server processes at once.
    std::int64_t warm_up_ms = 0; ///< Remaining warm-up time, during which the server is slower.
    /// Start of the server's run, Unix time in milliseconds. A different value means that the
    /// server restarted, a greater one that the registration is newer.
    std::int64_t started_ms = 0;
    std::int64_t registration = 0; ///< Counts the writes of the registration during one run.
    record_version written;        ///< Of the registration, in the registry; default if not known.
    std::map<std::string, std::int64_t> models; ///< Weights version by model name.

    friend bool operator==(const fleet_server&, const fleet_server&) = default;
};

/// \brief A part of a prompt that requests may have in common.
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

} // namespace azureyoke::state
