#include "azureyoke/src/state/traffic_policy.h"

#include <algorithm>

#include "azureyoke/src/state/cache_salt.h"

namespace azureyoke::state {

traffic_policy::traffic_policy(std::int64_t version, std::vector<forward_route> routes,
                               std::vector<server_pool> pools,
                               std::vector<forward_workspace> workspaces,
                               const caller_bounds& bounds)
    : version_(version), routes_(std::move(routes)), pools_(std::move(pools)),
      workspaces_(std::move(workspaces)), bounds_(bounds) {
    for (std::size_t i = 0; i < routes_.size(); ++i)
        routes_by_host_[routes_[i].host].push_back(i);
    for (auto& [host, indices] : routes_by_host_)
        std::sort(indices.begin(), indices.end(), [&](std::size_t a, std::size_t b) {
            return routes_[a].path_prefix.size() > routes_[b].path_prefix.size();
        });
    shared_cache_salt_ = state::shared_cache_salt(workspaces_);
    for (std::size_t i = 0; i < workspaces_.size(); ++i) {
        workspace_by_name_[workspaces_[i].name] = i;
        for (const auto& key : workspaces_[i].keys)
            workspace_by_key_[key] = i;
    }
}

const forward_route* traffic_policy::find_route(std::string_view host,
                                                std::string_view path) const {
    auto found = routes_by_host_.find(std::string(host));
    if (found == routes_by_host_.end())
        return nullptr;
    for (auto i : found->second) {
        if (path.starts_with(routes_[i].path_prefix))
            return &routes_[i];
    }
    return nullptr;
}

const server_pool* traffic_policy::find_pool(std::string_view name) const {
    auto it =
        std::find_if(pools_.begin(), pools_.end(), [&](const auto& p) { return p.name == name; });
    return it == pools_.end() ? nullptr : &*it;
}

std::string traffic_policy::cache_salt(std::string_view workspace) const {
    auto found = workspace_by_name_.find(std::string(workspace));
    bool shares = found != workspace_by_name_.end() && !workspaces_[found->second].isolated;
    return shares ? shared_cache_salt_ : own_cache_salt(workspace);
}

const forward_workspace* traffic_policy::find_workspace(std::string_view key) const {
    auto found = workspace_by_key_.find(std::string(key));
    return found == workspace_by_key_.end() ? nullptr : &workspaces_[found->second];
}

} // namespace azureyoke::state
