#include "azureyoke/src/check/document_check.h"

#include <algorithm>

namespace azureyoke::check {

namespace internal {
namespace {

bool serves(const state::backend_server& server, const std::string& model) {
    return server.kind == state::backend_kind::engine && !server.leaving &&
           std::find(server.models.begin(), server.models.end(), model) != server.models.end();
}

void check_workspace(const state::document& doc, const state::workspace& it, bool keyed_routes,
                     std::vector<finding>& list) {
    auto warn = [&](std::string what) {
        list.push_back({finding_kind::warning, quoted("workspace", it.name), std::move(what)});
    };
    if (it.keys.empty())
        warn("matches no request: it has no key");
    if (it.models.empty() && !keyed_routes)
        warn("may use no model, and no route needs its keys");
    if (it.limit.burst_tokens == 0)
        warn("admits no completion: its burst is 0");
    else if (it.limit.tokens_per_second == 0)
        warn("admits no completion once its burst is used up: its rate is 0");
    for (const auto& model : it.models) {
        bool served = std::any_of(doc.backend_servers.begin(), doc.backend_servers.end(),
                                  [&](const auto& server) { return serves(server, model); });
        if (!served)
            warn("no engine that stays serves its model \"" + model + "\"");
    }
}

void check_route(const state::document& doc, const state::route& it, std::vector<finding>& list) {
    auto warn = [&](std::string what) {
        list.push_back({finding_kind::warning, quoted("route", it.path_prefix), std::move(what)});
    };
    if (it.path_prefix.find('?') != std::string::npos)
        warn("matches no request: it has a query, which is no part of the path");
    bool any_key = std::any_of(doc.workspaces.begin(), doc.workspaces.end(),
                               [](const auto& space) { return !space.keys.empty(); });
    if (it.access == state::route_access::keyed && !any_key)
        warn("every request is refused: it needs a key, and no workspace has one");
    auto stays = [&](const std::string& name) {
        return std::any_of(
            doc.backend_servers.begin(), doc.backend_servers.end(),
            [&](const auto& server) { return server.name == name && !server.leaving; });
    };
    if (std::none_of(it.backend_servers.begin(), it.backend_servers.end(), stays))
        warn("all its backend servers leave");
}

} // namespace
} // namespace internal

std::vector<finding> check_document(const state::document& doc) {
    std::vector<finding> list;
    auto warn = [&](const std::string& place, std::string what) {
        list.push_back({finding_kind::warning, place, std::move(what)});
    };
    if (!doc.data_centres.empty() && std::all_of(doc.data_centres.begin(), doc.data_centres.end(),
                                                 [](const auto& it) { return it.weight == 0; }))
        warn("data centres", "no instance may spend any limit: all weights are 0");
    for (const auto& it : doc.models) {
        bool used =
            std::any_of(doc.workspaces.begin(), doc.workspaces.end(), [&](const auto& space) {
                return std::find(space.models.begin(), space.models.end(), it.name) !=
                       space.models.end();
            });
        if (!used)
            warn(quoted("model", it.name), "no workspace may use it");
    }
    bool keyed_routes = std::any_of(doc.routes.begin(), doc.routes.end(), [](const auto& it) {
        return it.access == state::route_access::keyed;
    });
    for (const auto& it : doc.workspaces)
        internal::check_workspace(doc, it, keyed_routes, list);
    for (const auto& it : doc.backend_servers) {
        if (it.kind == state::backend_kind::engine && it.models.empty())
            warn(quoted("backend server", it.name), "is an engine without a model");
    }
    for (const auto& it : doc.routes)
        internal::check_route(doc, it, list);
    return list;
}

} // namespace azureyoke::check
