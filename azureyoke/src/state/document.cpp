#include "azureyoke/src/state/document.h"

#include <algorithm>
#include <set>

#include "azureyoke/src/state/json_reader.h"

namespace azureyoke::state {

namespace internal {
namespace {

constexpr std::int64_t max_rate_tokens = 1'000'000'000;
constexpr std::int64_t max_weight = 1'000;
/// The range check compares doubles, which represent integers up to 2^53 exactly.
constexpr std::int64_t max_version = INT64_C(1) << 53;
constexpr std::int64_t full_share = 1'000'000; // millionths

/// Names declared in one list of the document, to which other lists may refer.
using name_set = std::set<std::string>;

void declare_unique(field_reader& reader, const std::string& field, const std::string& name,
                    name_set& names) {
    if (!name.empty() && !names.insert(name).second)
        reader.add_error(field, "name \"" + name + "\" is declared twice");
}

void require_declared(field_reader& reader, const std::string& field,
                      const std::vector<std::string>& used, const name_set& declared,
                      const std::string& kind_name) {
    for (const auto& it : used) {
        if (declared.contains(it))
            continue;
        std::string rule = kind_name;
        rule.append(" \"").append(it).append("\" does not exist in this document");
        reader.add_error(field, std::move(rule));
    }
}

data_centre_share read_data_centre(field_reader& reader, name_set& names) {
    data_centre_share share;
    share.data_centre = reader.text("name");
    declare_unique(reader, "name", share.data_centre, names);
    share.weight = static_cast<int>(reader.integer("weight", 0, max_weight, 1));
    reader.reject_unknown_fields();
    return share;
}

model read_model(field_reader& reader, name_set& names) {
    model entry;
    entry.name = reader.text("name");
    declare_unique(reader, "name", entry.name, names);
    entry.weights = reader.text("weights");
    reader.reject_unknown_fields();
    return entry;
}

workspace read_workspace(field_reader& reader, name_set& names, const name_set& models,
                         std::set<key_digest>& digests) {
    workspace entry;
    entry.name = reader.text("name");
    declare_unique(reader, "name", entry.name, names);
    for (const auto& it : reader.texts("keys")) {
        auto digest = parse_key_digest(it);
        if (!digest) {
            reader.add_error("keys",
                             "a key must be \"sha256:\" and 64 lower-case hexadecimal digits");
            continue;
        }
        if (!digests.insert(*digest).second)
            reader.add_error("keys", "a key may belong to one workspace only");
        entry.keys.push_back(*digest);
    }
    entry.limit.tokens_per_second = reader.integer("tokens_per_second", 0, max_rate_tokens);
    entry.limit.burst_tokens = reader.integer("burst_tokens", 0, max_rate_tokens);
    entry.weight = static_cast<int>(reader.integer("weight", 1, max_weight, 1));
    entry.models = reader.texts("models");
    require_declared(reader, "models", entry.models, models, "model");
    reader.reject_unknown_fields();
    return entry;
}

backend_server read_backend_server(field_reader& reader, name_set& names, const name_set& models,
                                   const name_set& data_centres) {
    backend_server entry;
    entry.name = reader.text("name");
    declare_unique(reader, "name", entry.name, names);
    entry.address = reader.text("address");
    entry.data_centre = reader.text("data_centre");
    require_declared(reader, "data_centre", {entry.data_centre}, data_centres, "data centre");
    auto kind = reader.text("kind", "engine");
    if (kind != "engine" && kind != "service")
        reader.add_error("kind", "must be \"engine\" or \"service\"");
    entry.kind = kind == "service" ? backend_kind::service : backend_kind::engine;
    entry.models = reader.texts("models");
    require_declared(reader, "models", entry.models, models, "model");
    entry.leaving = reader.boolean("leaving", false);
    reader.reject_unknown_fields();
    return entry;
}

route read_route(field_reader& reader, name_set& prefixes, const name_set& servers) {
    route entry;
    entry.path_prefix = reader.text("path_prefix");
    declare_unique(reader, "path_prefix", entry.path_prefix, prefixes);
    if (!entry.path_prefix.starts_with("/") || entry.path_prefix.starts_with("/v1/"))
        reader.add_error("path_prefix", "must start with \"/\" and must not start with \"/v1/\"");
    entry.backend_servers = reader.texts("backend_servers");
    require_declared(reader, "backend_servers", entry.backend_servers, servers, "backend server");
    if (entry.backend_servers.empty())
        reader.add_error("backend_servers", "must name a backend server");
    auto access = reader.text("access", "keyed");
    if (access != "keyed" && access != "open")
        reader.add_error("access", "must be \"keyed\" or \"open\"");
    entry.access = access == "open" ? route_access::open : route_access::keyed;
    entry.repeatable = reader.boolean("repeatable", true);
    entry.honours_idempotency_key = reader.boolean("honours_idempotency_key", false);
    reader.reject_unknown_fields();
    return entry;
}

document read_document(field_reader& reader) {
    document doc;
    doc.name = reader.text("name");
    doc.version = reader.integer("version", 1, max_version);
    name_set data_centres;
    name_set models;
    name_set workspaces;
    name_set servers;
    name_set prefixes;
    std::set<key_digest> digests;
    for (auto& it : reader.objects("data_centres", true))
        doc.data_centres.push_back(read_data_centre(it, data_centres));
    for (auto& it : reader.objects("models", false))
        doc.models.push_back(read_model(it, models));
    for (auto& it : reader.objects("workspaces", true))
        doc.workspaces.push_back(read_workspace(it, workspaces, models, digests));
    for (auto& it : reader.objects("backend_servers", false))
        doc.backend_servers.push_back(read_backend_server(it, servers, models, data_centres));
    for (auto& it : reader.objects("routes", false))
        doc.routes.push_back(read_route(it, prefixes, servers));
    reader.reject_unknown_fields();
    return doc;
}

} // namespace
} // namespace internal

tl::expected<document, std::vector<error>> parse_document(std::string_view text) {
    auto parsed = parse_json_text(text);
    if (!parsed)
        return tl::unexpected(std::vector<error>{parsed.error()});
    std::vector<error> faults;
    field_reader reader(*parsed, parsed->root, "", faults);
    document doc = internal::read_document(reader);
    if (faults.empty())
        return doc;
    std::stable_sort(faults.begin(), faults.end(),
                     [](const error& a, const error& b) { return a.line < b.line; });
    return tl::unexpected(std::move(faults));
}

std::int64_t data_centre_part(const document& doc, std::string_view data_centre) {
    std::int64_t total = 0;
    std::int64_t own = 0;
    for (const auto& it : doc.data_centres) {
        total += it.weight;
        if (it.data_centre == data_centre)
            own = it.weight;
    }
    return total == 0 ? 0 : internal::full_share * own / total;
}

} // namespace azureyoke::state
