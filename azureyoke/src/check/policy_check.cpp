#include "azureyoke/src/check/policy_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace azureyoke::check {

namespace internal {
namespace {

/// Collects the warnings about one policy.
class policy_inspector {
public:
    policy_inspector(const state::traffic_policy& policy, std::int64_t longest_request_ms)
        : policy_(policy), longest_request_ms_(longest_request_ms) {}

    std::vector<finding> run() {
        keyed_routes_ = std::any_of(policy_.routes().begin(), policy_.routes().end(),
                                    [](const auto& it) { return !it.allows_no_key; });
        for (const auto& it : policy_.routes()) {
            inspect_matching(it);
            inspect_targets(it);
            inspect_times(it);
        }
        for (const auto& it : policy_.pools())
            inspect(it);
        for (const auto& it : policy_.workspaces()) {
            inspect_keys(it);
            inspect_limit(it);
        }
        inspect(policy_.bounds());
        return std::move(list_);
    }

private:
    void warn(const std::string& what) { list_.push_back({finding_kind::warning, place_, what}); }

    void enter(const char* kind, const std::string& name) { place_ = quoted(kind, name); }

    void inspect_matching(const state::forward_route& it) {
        enter("route", it.name);
        // Instances compare the host without its port, and the path without its query.
        if (it.host.find(':') != std::string::npos)
            warn("matches no request: its host \"" + it.host + "\" has a port");
        if (!it.path_prefix.starts_with('/'))
            warn("matches no request: its path prefix \"" + it.path_prefix +
                 "\" does not begin with \"/\"");
        else if (it.path_prefix.find('?') != std::string::npos)
            warn("matches no request: its path prefix \"" + it.path_prefix +
                 "\" has a query, which is no part of the path");
        auto [first, added] = routes_.try_emplace({it.host, it.path_prefix}, it.name);
        if (!added)
            warn("has the host and path prefix of route \"" + first->second +
                 "\": one of the two gets no request");
        if (!it.allows_no_key && !any_key())
            warn("every request is refused: it needs a key, and no workspace has one");
    }

    bool any_key() const {
        return std::any_of(policy_.workspaces().begin(), policy_.workspaces().end(),
                           [](const auto& it) { return !it.keys.empty(); });
    }

    void inspect_targets(const state::forward_route& it) {
        double total = 0;
        for (const auto& target : it.targets) {
            total += target.weight;
            targeted_.insert(target.pool);
            const auto* pool = policy_.find_pool(target.pool);
            if (pool == nullptr)
                warn("pool \"" + target.pool + "\" does not exist");
            else if (!pool->cache_store_address.empty())
                warn("pool \"" + target.pool + "\" is a cache store and serves no requests");
        }
        if (it.targets.empty())
            warn("every request is refused: it has no pool");
        else if (total <= 0)
            warn("all weights are 0: its last pool \"" + it.targets.back().pool +
                 "\" gets every request");
    }

    void inspect_times(const state::forward_route& it) {
        auto limit = it.timeout_ms > 0 ? it.timeout_ms : longest_request_ms_;
        auto text = std::to_string(limit) + " ms";
        if (it.latency_target_ms > limit)
            warn("its latency target of " + std::to_string(it.latency_target_ms) +
                 " ms is longer than its time limit of " + text);
        if (it.target_gap_ms > limit)
            warn("its gap target of " + std::to_string(it.target_gap_ms) +
                 " ms is longer than its time limit of " + text);
        bool stream = it.rule == state::execution_rule::stream;
        if (it.target_gap_ms > 0 && !stream)
            warn("its gap target has no effect: it is no stream");
        if (it.resumable && !stream)
            warn("\"resumable\" has no effect: it is no stream");
        if (it.max_attempts == 0)
            warn("allows 0 attempts: a request that one server refuses is sent to no other");
    }

    void inspect(const state::server_pool& it) {
        enter("pool", it.name);
        if (!pools_.insert(it.name).second)
            warn("is declared before under the same name: this entry has no effect");
        else if (it.cache_store_address.empty() && !targeted_.contains(it.name))
            warn("no route leads to it");
    }

    void inspect_keys(const state::forward_workspace& it) {
        enter("workspace", it.name);
        if (!workspaces_.insert(it.name).second)
            warn("is declared before under the same name, and shares its limit");
        if (it.keys.empty() && keyed_routes_)
            warn("matches no request: it has no key");
        for (std::size_t i = 0; i < it.keys.size(); ++i) {
            const auto* owner = policy_.find_workspace(it.keys[i]);
            if (owner != &it)
                warn("its key " + std::to_string(i + 1) + " matches no request: workspace \"" +
                     owner->name + "\" has it too and comes later");
        }
    }

    void inspect_limit(const state::forward_workspace& it) {
        if (it.rate <= 0 && it.burst > 0)
            warn("its burst has no effect: a rate of 0 means no limit");
        if (it.rate > 0 && it.burst <= 0)
            warn("its limit has a rate and no burst: requests are admitted one at a time");
        if (it.default_tokens > 0 && !it.limit_in_tokens)
            warn("the tokens of a request of unstated size have no effect: its limit counts "
                 "requests");
        if (it.rate > 0 && it.burst > 0 && it.limit_in_tokens &&
            static_cast<double>(it.default_tokens) > it.burst)
            warn("a request of unstated size costs " + std::to_string(it.default_tokens) +
                 " tokens, more than the burst: it is admitted only when the whole burst is left");
    }

    void inspect(const state::caller_bounds& it) {
        place_ = "callers' requests";
        if (it.max_head_bytes == 0 || it.head_timeout_ms == 0)
            warn("every request is refused: its head may have no bytes or no time");
        if (it.max_body_bytes == 0)
            warn("every request with a body is refused: it may have 0 bytes");
        if (it.idle_timeout_ms == 0)
            warn("every connection is closed at once: it may be idle for 0 ms");
    }

    const state::traffic_policy& policy_;
    std::int64_t longest_request_ms_;
    std::vector<finding> list_;
    std::string place_;
    bool keyed_routes_ = false;
    std::map<std::pair<std::string, std::string>, std::string> routes_; ///< By host and prefix.
    std::set<std::string> targeted_;                                    ///< Pools of routes.
    std::set<std::string> pools_;
    std::set<std::string> workspaces_;
};

} // namespace
} // namespace internal

std::vector<finding> check_policy(const state::traffic_policy& policy,
                                  std::int64_t longest_request_ms) {
    return internal::policy_inspector(policy, longest_request_ms).run();
}

} // namespace azureyoke::check
