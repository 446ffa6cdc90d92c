#include "azureyoke/src/state/configuration.h"

#include <algorithm>
#include <set>

namespace azureyoke::state {

configuration::configuration(document_list documents) : documents_(std::move(documents)) {
    for (const auto& doc : documents_) {
        for (const auto& it : doc->workspaces) {
            workspace_ref ref{doc.get(), &it};
            by_name_.emplace(it.name, ref);
            for (const auto& key : it.keys)
                by_key_.emplace(key, ref);
        }
        for (const auto& it : doc->backend_servers)
            by_server_name_.emplace(it.name, &it);
    }
}

std::shared_ptr<const document> configuration::find_document(std::string_view name) const {
    for (const auto& it : documents_) {
        if (it->name == name)
            return it;
    }
    return nullptr;
}

workspace_ref configuration::find_workspace(const key_digest& key) const {
    auto it = by_key_.find(key);
    return it == by_key_.end() ? workspace_ref{} : it->second;
}

workspace_ref configuration::find_workspace(std::string_view name) const {
    auto it = by_name_.find(name);
    return it == by_name_.end() ? workspace_ref{} : it->second;
}

route_ref configuration::find_route(std::string_view path) const {
    route_ref best;
    for (const auto& doc : documents_) {
        for (const auto& it : doc->routes) {
            bool longer = !best || it.path_prefix.size() > best.route->path_prefix.size();
            if (longer && path.starts_with(it.path_prefix))
                best = {doc.get(), &it};
        }
    }
    return best;
}

const backend_server* configuration::find_backend_server(std::string_view name) const {
    auto it = by_server_name_.find(name);
    return it == by_server_name_.end() ? nullptr : it->second;
}

const model* configuration::find_model(const workspace_ref& space, std::string_view name) const {
    const auto& allowed = space.workspace->models;
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
        return nullptr;
    const auto& models = space.doc->models;
    auto it =
        std::find_if(models.begin(), models.end(), [&](const auto& m) { return m.name == name; });
    return it == models.end() ? nullptr : &*it;
}

namespace internal {
namespace {

/// Readable forms of the names and keys that no other document may declare.
std::set<std::string> exclusive_names(const document& doc) {
    std::set<std::string> names;
    for (const auto& it : doc.workspaces) {
        names.insert("workspace \"" + it.name + "\"");
        for (const auto& key : it.keys)
            names.insert("key " + short_digest(key) + " (" + to_string(key) + ")");
    }
    for (const auto& it : doc.backend_servers)
        names.insert("backend server \"" + it.name + "\"");
    for (const auto& it : doc.routes)
        names.insert("path prefix \"" + it.path_prefix + "\"");
    return names;
}

} // namespace
} // namespace internal

std::string find_conflict(const document& candidate, const configuration::document_list& others) {
    auto names = internal::exclusive_names(candidate);
    for (const auto& other : others) {
        if (other->name == candidate.name)
            continue;
        for (const auto& it : internal::exclusive_names(*other)) {
            if (names.contains(it))
                return it + " is already claimed by document \"" + other->name + "\"";
        }
    }
    return {};
}

} // namespace azureyoke::state
