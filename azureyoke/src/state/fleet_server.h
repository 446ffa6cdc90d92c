#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azureyoke::state {

/// \brief A backend server as it registers itself.
struct fleet_server {
    std::string id;
    std::string pool;
    std::string address; ///< IP:PORT
    std::string data_centre;
    bool leaving = false;
    int slots = 0;                              ///< Requests that it works on at once.
    std::int64_t cold_ms = 0;                   ///< How much longer it is slow after its start.
    std::int64_t born_ms = 0;                   ///< Unix milliseconds of its start.
    std::int64_t registration = 0;              ///< Number of its registrations since its start.
    std::map<std::string, std::int64_t> models; ///< Version of the weights of each model.

    friend bool operator==(const fleet_server&, const fleet_server&) = default;
};

/// \brief One piece of a prompt that requests may share.
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

} // namespace azureyoke::state
