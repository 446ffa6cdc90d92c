#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/state/document.h"

namespace azureyoke::state {

/// \brief A workspace together with the document that declares it.
struct workspace_ref {
    const document* doc = nullptr;
    const state::workspace* workspace = nullptr;

    explicit operator bool() const { return workspace != nullptr; }
};

/// \brief A route together with the document that declares it.
struct route_ref {
    const document* doc = nullptr;
    const state::route* route = nullptr;

    explicit operator bool() const { return route != nullptr; }
};

/// \brief All documents in force, indexed for the look-ups that a request needs. Immutable.
///
/// Thread safe. References into the documents stay valid for the lifetime of the configuration.
class configuration {
public:
    using document_list = std::vector<std::shared_ptr<const document>>;

    /// \pre No workspace, key, backend server or path prefix is declared in two documents; see
    /// `find_conflict`.
    explicit configuration(document_list documents);

    const document_list& documents() const { return documents_; }

    bool empty() const { return documents_.empty(); }

    std::shared_ptr<const document> find_document(std::string_view name) const;

    workspace_ref find_workspace(const key_digest& key) const;
    workspace_ref find_workspace(std::string_view name) const;
    /// \returns the route with the longest path prefix that matches `path`.
    route_ref find_route(std::string_view path) const;
    const backend_server* find_backend_server(std::string_view name) const;
    const model* find_model(const workspace_ref& space, std::string_view name) const;

private:
    document_list documents_;
    std::map<key_digest, workspace_ref> by_key_;
    std::map<std::string, workspace_ref, std::less<>> by_name_;
    std::map<std::string, const backend_server*, std::less<>> by_server_name_;
};

/// \brief Describes a name or key that both `candidate` and one of `others` declare.
/// A document with the candidate's name is skipped, since the candidate replaces it.
/// \returns an empty string when there is no conflict.
std::string find_conflict(const document& candidate, const configuration::document_list& others);

} // namespace azureyoke::state
