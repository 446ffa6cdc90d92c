#pragma once

#include <algorithm>
#include <cstddef>

namespace azureyoke::app {

/// \brief How an instance divides the descriptors of its process, so that no part of it can use up
/// what the others need.
struct descriptor_shares {
    std::size_t callers = 0;  ///< Connections of callers.
    std::size_t helped = 0;   ///< Connections of instances that hand requests on.
    std::size_t backends = 0; ///< Connections to backend servers and others, idle ones included.
    /// Connections to each of the instance's other servers, such as its readiness.
    std::size_t other_servers = 0;

    friend bool operator==(const descriptor_shares&, const descriptor_shares&) = default;
};

/// \returns the shares of `limit` descriptors. Each request under way needs a connection of its
/// caller and one to a backend server, so that these get equal shares. Thread safe.
inline descriptor_shares divide_descriptors(std::size_t limit) {
    constexpr std::size_t others = 16;   // connections to one of the other servers
    constexpr std::size_t reserved = 64; // others of two servers, files, listeners, own calls
    constexpr std::size_t fewest = 8;    // below this limit nothing is left to divide
    auto half = limit > reserved + 2 * fewest ? (limit - reserved) / 2 : fewest;
    auto helped = half / 4;
    return {half - helped, helped, half, others};
}

} // namespace azureyoke::app
