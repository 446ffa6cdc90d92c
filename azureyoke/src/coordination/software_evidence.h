#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace azureyoke::coordination {

/// \brief Counters of one route at servers of one side of a rollout, since the order was taken up.
struct route_counts {
    std::int64_t sent = 0;     ///< Attempts.
    std::int64_t ended = 0;    ///< Attempts with an answer, or with a failed one.
    std::int64_t failed = 0;   ///< Of `ended`: status 500 and above.
    std::int64_t rejected = 0; ///< Of `ended`: status 400 to 499.
    std::int64_t judged = 0;   ///< Attempts whose speed is known.
    std::int64_t slow = 0;     ///< Of `judged`: far slower than predicted.

    route_counts& operator+=(const route_counts& other) {
        sent += other.sent;
        ended += other.ended;
        failed += other.failed;
        rejected += other.rejected;
        judged += other.judged;
        slow += other.slow;
        return *this;
    }

    friend bool operator==(const route_counts&, const route_counts&) = default;
};

/// \brief Calls to one server that ended without an answer.
struct server_counts {
    std::int64_t lost = 0; ///< The connection ended before the answer was complete.

    friend bool operator==(const server_counts&, const server_counts&) = default;
};

/// \brief The servers of the ordered version, or all others of the service.
struct side_counts {
    std::map<std::string, route_counts> routes;
    std::map<std::string, server_counts> servers;
    std::int64_t running = 0; ///< Attempts under way.

    side_counts& operator+=(const side_counts& other) {
        for (const auto& [route, counts] : other.routes)
            routes[route] += counts;
        for (const auto& [server, counts] : other.servers) {
            servers[server].lost += counts.lost;
        }
        running += other.running;
        return *this;
    }

    friend bool operator==(const side_counts&, const side_counts&) = default;
};

/// \brief What one instance, or all of them together, saw of a rollout. Absolute counters.
struct software_evidence {
    side_counts old_side;
    side_counts new_side;

    software_evidence& operator+=(const software_evidence& other) {
        old_side += other.old_side;
        new_side += other.new_side;
        return *this;
    }

    friend bool operator==(const software_evidence&, const software_evidence&) = default;
};

/// \returns what was counted since `earlier`; 0 where a counter fell because a peer was lost.
inline route_counts difference(const route_counts& later, const route_counts& earlier) {
    auto less = [](std::int64_t x, std::int64_t y) { return std::max<std::int64_t>(0, x - y); };
    return {less(later.sent, earlier.sent),     less(later.ended, earlier.ended),
            less(later.failed, earlier.failed), less(later.rejected, earlier.rejected),
            less(later.judged, earlier.judged), less(later.slow, earlier.slow)};
}

inline route_counts counts_of(const side_counts& side, const std::string& route) {
    auto found = side.routes.find(route);
    return found == side.routes.end() ? route_counts() : found->second;
}

inline route_counts total_of(const side_counts& side) {
    route_counts sum;
    for (const auto& [route, counts] : side.routes)
        sum += counts;
    return sum;
}

} // namespace azureyoke::coordination
