#include "azureyoke/src/state/lease_row.h"

#include <nlohmann/json.hpp>

namespace azureyoke::state {

std::string to_text(const lease_row& row) {
    nlohmann::json value = {
        {"holder", row.holder}, {"incarnation", row.incarnation}, {"fence", row.fencing_token}};
    return value.dump();
}

std::optional<lease_row> parse_lease_row(std::string_view text) {
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        return lease_row{value.at("holder").get<std::string>(),
                         value.at("incarnation").get<std::uint64_t>(),
                         value.at("fence").get<std::int64_t>()};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace azureyoke::state
