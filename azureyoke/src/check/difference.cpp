#include "azureyoke/src/check/difference.h"

#include <initializer_list>
#include <sstream>
#include <string_view>

#include "azureyoke/src/state/document_copy.h"

namespace azureyoke::check {

namespace internal {
namespace {

std::string text(double value) {
    std::ostringstream out;
    constexpr int digits = 15;
    out.precision(digits);
    out << value;
    return out.str();
}

std::string text(const std::vector<std::string>& list) {
    std::string joined;
    for (const auto& it : list)
        joined += (joined.empty() ? "" : ", ") + it;
    return joined.empty() ? "none" : joined;
}

std::string joined(std::initializer_list<std::string_view> parts) {
    std::string whole;
    for (auto it : parts)
        whole += it;
    return whole;
}

std::string yes_or_no(bool value) {
    return value ? "yes" : "no";
}

/// Keys are secrets: a change of them shows in the digest.
std::string describe_keys(const std::vector<std::string>& keys) {
    std::string all;
    for (const auto& it : keys)
        all += std::to_string(it.size()) + ":" + it;
    constexpr std::size_t digest_digits = 8;
    return std::to_string(keys.size()) + " with digest " +
           state::content_digest(all).substr(0, digest_digits);
}

const char* name_of(state::execution_rule rule) {
    switch (rule) {
    case state::execution_rule::repeatable:
        return "repeatable";
    case state::execution_rule::once:
        return "once";
    case state::execution_rule::stream:
        return "stream";
    }
    return "";
}

described_element describe(const state::forward_route& it) {
    std::vector<std::string> targets;
    for (const auto& target : it.targets)
        targets.push_back(target.pool + " (weight " + text(target.weight) + ")");
    return {quoted("route", it.name),
            {{"host", it.host},
             {"path prefix", it.path_prefix},
             {"execution", name_of(it.rule)},
             {"time limit in ms", std::to_string(it.timeout_ms)},
             {"latency target in ms", std::to_string(it.latency_target_ms)},
             {"gap target in ms", std::to_string(it.target_gap_ms)},
             {"attempts", std::to_string(it.max_attempts)},
             {"priority", std::to_string(it.priority)},
             {"needs no key", yes_or_no(it.allows_no_key)},
             {"lists prompt parts", yes_or_no(it.lists_prompt_parts)},
             {"resumable", yes_or_no(it.resumable)},
             {"targets", text(targets)}}};
}

described_element describe(const state::server_pool& it) {
    return {quoted("pool", it.name),
            {{"connections to a server", std::to_string(it.max_connections)},
             {"cache tokens", std::to_string(it.cache_tokens)},
             {"models", text(it.models)},
             {"cache store", it.cache_store_address},
             {"health path", it.health_path}}};
}

described_element describe(const state::forward_workspace& it) {
    return {quoted("workspace", it.name),
            {{"keys", describe_keys(it.keys)},
             {"priority", it.priority ? std::to_string(*it.priority) : "of the route"},
             {"isolated", yes_or_no(it.isolated)},
             {"unit", it.limit_in_tokens ? "tokens" : "requests"},
             {"rate", text(it.rate)},
             {"burst", text(it.burst)},
             {"tokens of a request of unstated size", std::to_string(it.default_tokens)}}};
}

std::string describe_digests(const std::vector<state::key_digest>& keys) {
    std::vector<std::string> list;
    for (const auto& it : keys)
        list.push_back(state::short_digest(it));
    return text(list);
}

} // namespace
} // namespace internal

std::vector<described_element> describe(const state::traffic_policy& policy) {
    std::vector<described_element> list;
    for (const auto& it : policy.routes())
        list.push_back(internal::describe(it));
    for (const auto& it : policy.pools())
        list.push_back(internal::describe(it));
    for (const auto& it : policy.workspaces())
        list.push_back(internal::describe(it));
    const auto& bounds = policy.bounds();
    list.push_back({"callers' requests",
                    {{"head bytes", std::to_string(bounds.max_head_bytes)},
                     {"body bytes", std::to_string(bounds.max_body_bytes)},
                     {"head time limit in ms", std::to_string(bounds.head_timeout_ms)},
                     {"idle time limit in ms", std::to_string(bounds.idle_timeout_ms)}}});
    list.push_back({"configuration", {{"version", std::to_string(policy.version())}}});
    return list;
}

std::vector<described_element> describe(const state::document& doc) {
    using internal::text;
    using internal::yes_or_no;
    std::vector<described_element> list;
    list.push_back({"document", {{"name", doc.name}, {"version", std::to_string(doc.version)}}});
    for (const auto& it : doc.data_centres)
        list.push_back(
            {quoted("data centre", it.data_centre), {{"weight", std::to_string(it.weight)}}});
    for (const auto& it : doc.models)
        list.push_back({quoted("model", it.name), {{"weights", it.weights}}});
    for (const auto& it : doc.workspaces)
        list.push_back({quoted("workspace", it.name),
                        {{"keys", internal::describe_digests(it.keys)},
                         {"tokens_per_second", std::to_string(it.limit.tokens_per_second)},
                         {"burst_tokens", std::to_string(it.limit.burst_tokens)},
                         {"weight", std::to_string(it.weight)},
                         {"models", text(it.models)}}});
    for (const auto& it : doc.backend_servers)
        list.push_back({quoted("backend server", it.name),
                        {{"address", it.address},
                         {"data_centre", it.data_centre},
                         {"kind", it.kind == state::backend_kind::engine ? "engine" : "service"},
                         {"models", text(it.models)},
                         {"leaving", yes_or_no(it.leaving)}}});
    for (const auto& it : doc.routes)
        list.push_back({quoted("route", it.path_prefix),
                        {{"backend_servers", text(it.backend_servers)},
                         {"access", it.access == state::route_access::keyed ? "keyed" : "open"},
                         {"repeatable", yes_or_no(it.repeatable)},
                         {"honours_idempotency_key", yes_or_no(it.honours_idempotency_key)}}});
    return list;
}

std::vector<finding> compare(const std::vector<described_element>& in_force,
                             const std::vector<described_element>& candidate) {
    // Elements of the same name are told apart by their order.
    using element_key = std::pair<std::string, int>;
    auto index = [](const std::vector<described_element>& list) {
        std::map<element_key, const described_element*> by_key;
        std::map<std::string, int> seen;
        for (const auto& it : list)
            by_key.emplace(element_key(it.place, seen[it.place]++), &it);
        return by_key;
    };
    auto before = index(in_force);
    auto after = index(candidate);
    std::vector<finding> changes;
    auto add = [&](const std::string& place, std::string what) {
        changes.push_back({finding_kind::change, place, std::move(what)});
    };
    for (const auto& [key, it] : after) {
        auto old = before.find(key);
        if (old == before.end()) {
            add(it->place, "added");
            continue;
        }
        for (const auto& [field, value] : it->fields) {
            auto was = old->second->fields.find(field);
            if (was == old->second->fields.end())
                add(it->place, internal::joined({field, ": ", value, " added"}));
            else if (was->second != value)
                add(it->place, internal::joined({field, ": ", was->second, " becomes ", value}));
        }
        for (const auto& [field, was] : old->second->fields) {
            if (!it->fields.contains(field))
                add(it->place, internal::joined({field, ": ", was, " removed"}));
        }
    }
    for (const auto& [key, it] : before) {
        if (!after.contains(key))
            add(it->place, "removed");
    }
    return changes;
}

} // namespace azureyoke::check
