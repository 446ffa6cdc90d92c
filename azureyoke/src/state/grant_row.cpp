#include "azureyoke/src/state/grant_row.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace azureyoke::state {

namespace internal {
namespace {

constexpr std::int64_t full_share = 1'000'000; // millionths

/// Whether the owners are sorted and unique and the shares within bounds.
bool is_consistent(const grant_row& row) {
    const std::string* previous_owner = nullptr;
    for (const auto& it : row.grants) {
        if (it.part < 0 || it.pending < 0 || it.part > full_share || it.pending > full_share)
            return false;
        if (previous_owner != nullptr && *previous_owner >= it.owner)
            return false;
        previous_owner = &it.owner;
    }
    return unallocated_part(row) >= 0;
}

} // namespace
} // namespace internal

const share_grant* find_grant(const grant_row& row, std::string_view owner) {
    auto it = std::find_if(row.grants.begin(), row.grants.end(),
                           [&](const auto& g) { return g.owner == owner; });
    return it == row.grants.end() ? nullptr : &*it;
}

std::int64_t unallocated_part(const grant_row& row) {
    auto left = internal::full_share;
    for (const auto& it : row.grants)
        left -= it.part + it.pending;
    return left;
}

std::string to_text(const grant_row& row) {
    auto list = nlohmann::json::array();
    for (const auto& it : row.grants)
        list.push_back({{"owner", it.owner},
                        {"incarnation", it.incarnation},
                        {"warden", it.lessor},
                        {"part", it.part},
                        {"pending", it.pending}});
    return nlohmann::json{{"grants", list}}.dump();
}

std::optional<grant_row> parse_grant_row(std::string_view text) {
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded() || !value.is_object())
        return std::nullopt;
    try {
        grant_row row;
        for (const auto& it : value.at("grants"))
            row.grants.push_back(
                {it.at("owner").get<std::string>(), it.at("incarnation").get<std::uint64_t>(),
                 it.at("warden").get<std::string>(), it.at("part").get<std::int64_t>(),
                 it.at("pending").get<std::int64_t>()});
        if (!internal::is_consistent(row))
            return std::nullopt;
        return row;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace azureyoke::state
