#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azureyoke::state {

/// \brief What may be repeated of a request that a route carries.
enum class run_rule {
    repeatable, ///< May run more than once.
    once,       ///< May run at most once.
    stream      ///< A stream of events; runs at most once unless it may be resumed.
};

/// \brief Where a route sends a share of its requests.
struct route_target {
    std::string pool;
    double weight = 1;

    friend bool operator==(const route_target&, const route_target&) = default;
};

/// \brief A route of a forwarding instance, selected by host and longest path prefix.
struct forward_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    run_rule rule = run_rule::once;
    std::int64_t timeout_ms = 0;
    std::int64_t target_ms = 0; ///< Within this an answer is on time.
    std::int64_t gap_ms = 0;    ///< Longest pause between events of a stream that is on time.
    int most_attempts = 1;
    int priority = 0; ///< 0 is the most urgent.
    bool keyless = false;
    bool by_prompt = false; ///< Its requests name the parts of their prompts.
    bool resumable = false;
    std::vector<route_target> targets;

    friend bool operator==(const forward_route&, const forward_route&) = default;
};

/// \brief Backend servers that serve the same requests.
struct server_pool {
    std::string name;
    int most_connections = 0;        ///< Of each server, from all callers; 0: no limit.
    std::int64_t cache_tokens = 0;   ///< Prompt tokens that a server's cache holds.
    std::vector<std::string> models; ///< Empty for a plain service.
    std::string kept_cache_address;  ///< Set when this is a store of caches and no pool.

    friend bool operator==(const server_pool&, const server_pool&) = default;
};

/// \brief A workspace's limits as a forwarding instance applies them.
struct forward_workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Takes precedence over the route's.
    bool isolated = false;       ///< Shares no cache with other workspaces.
    bool counts_tokens = false;  ///< Its limit is in tokens, else in requests.
    double rate = 0;             ///< A second; 0: no limit.
    double burst = 0;
    std::int64_t unknown_tokens = 0; ///< Charged for a request that names no size.

    friend bool operator==(const forward_workspace&, const forward_workspace&) = default;
};

/// \brief What callers may send, and how long they may take.
struct caller_bounds {
    std::int64_t head_bytes = 16 * 1024;
    std::int64_t body_bytes = 4 * 1024 * 1024;
    std::int64_t head_timeout_ms = 3000;
    std::int64_t idle_timeout_ms = 15'000;

    friend bool operator==(const caller_bounds&, const caller_bounds&) = default;
};

/// \brief One version of everything that operators say about traffic. Immutable once made.
class traffic_policy {
public:
    traffic_policy() = default;
    traffic_policy(std::int64_t version, std::vector<forward_route> routes,
                   std::vector<server_pool> pools, std::vector<forward_workspace> workspaces,
                   const caller_bounds& bounds);

    std::int64_t version() const { return version_; }

    const std::vector<forward_route>& routes() const { return routes_; }

    const std::vector<server_pool>& pools() const { return pools_; }

    const std::vector<forward_workspace>& workspaces() const { return workspaces_; }

    const caller_bounds& bounds() const { return bounds_; }

    /// \returns the route of `host` with the longest prefix of `path`, or null.
    const forward_route* find_route(std::string_view host, std::string_view path) const;
    const server_pool* find_pool(std::string_view name) const;
    const forward_workspace* find_workspace(std::string_view key) const;

    friend bool operator==(const traffic_policy& a, const traffic_policy& b) {
        return a.version_ == b.version_ && a.routes_ == b.routes_ && a.pools_ == b.pools_ &&
               a.workspaces_ == b.workspaces_ && a.bounds_ == b.bounds_;
    }

private:
    std::int64_t version_ = 0;
    std::vector<forward_route> routes_;
    std::vector<server_pool> pools_;
    std::vector<forward_workspace> workspaces_;
    caller_bounds bounds_;
    std::unordered_map<std::string, std::vector<std::size_t>> routes_of_host_;
    std::unordered_map<std::string, std::size_t> workspace_of_key_;
};

} // namespace azureyoke::state
