#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azureyoke::state {

/// \brief How often a request of a route may run.
enum class execution_rule {
    repeatable, ///< May run more than once.
    once,       ///< May run at most once.
    stream      ///< A stream of events; runs at most once unless the route is resumable.
};

/// \brief A pool that receives a route's requests in proportion to its weight.
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
    execution_rule rule = execution_rule::once;
    std::int64_t timeout_ms = 0;
    std::int64_t latency_target_ms = 0; ///< Latency up to which an answer is on time.
    std::int64_t target_gap_ms = 0; ///< Longest gap between two events of a stream that is on time.
    int max_attempts = 1;           ///< Maximum number of runs of one request.
    int priority = 0;               ///< 0 is the most urgent.
    bool allows_no_key = false;     ///< Requests need no key.
    bool lists_prompt_parts = false; ///< Requests list the parts of their prompts.
    bool resumable = false;          ///< An interrupted stream may be resumed.
    std::vector<route_target> targets;

    friend bool operator==(const forward_route&, const forward_route&) = default;
};

/// \brief A group of interchangeable backend servers.
struct server_pool {
    std::string name;
    int max_connections = 0;         ///< To each server, over all instances; 0: no limit.
    std::int64_t cache_tokens = 0;   ///< Prompt tokens that a server's cache can hold.
    std::vector<std::string> models; ///< Empty for a plain service.
    std::string cache_store_address; ///< Set when the entry is a cache store instead of a pool.
    std::string health_path = "/";   ///< Where the servers say whether they are healthy.

    friend bool operator==(const server_pool&, const server_pool&) = default;
};

/// \brief A workspace's limits as a forwarding instance applies them.
struct forward_workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;     ///< Overrides the route's priority.
    bool isolated = false;           ///< Shares no prompt cache with other workspaces.
    bool limit_in_tokens = false;    ///< Unit of `rate` and `burst`: tokens if true, else requests.
    double rate = 0;                 ///< Units per second; 0: no limit.
    double burst = 0;                ///< Capacity of the token bucket, in the same unit.
    std::int64_t default_tokens = 0; ///< Tokens charged for a request of unstated size.

    friend bool operator==(const forward_workspace&, const forward_workspace&) = default;
};

/// \brief Limits on the size and timing of callers' requests.
struct caller_bounds {
    std::int64_t max_head_bytes = 16 * 1024;
    std::int64_t max_body_bytes = 4 * 1024 * 1024;
    std::int64_t head_timeout_ms = 3000;
    std::int64_t idle_timeout_ms = 15'000;

    friend bool operator==(const caller_bounds&, const caller_bounds&) = default;
};

/// \brief One version of the operators' traffic settings. Immutable.
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

    /// \returns the cache salt of requests of the workspace with this name. One that the policy
    /// does not have shares with none.
    std::string cache_salt(std::string_view workspace) const;

    /// \returns the cache salt of workspaces that are not isolated, and of requests without one.
    const std::string& shared_cache_salt() const { return shared_cache_salt_; }

    /// \returns the route of `host` with the longest path prefix that matches `path`, or null.
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
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
    std::unordered_map<std::string, std::size_t> workspace_by_key_;
    std::unordered_map<std::string, std::size_t> workspace_by_name_;
    std::string shared_cache_salt_;
};

} // namespace azureyoke::state
