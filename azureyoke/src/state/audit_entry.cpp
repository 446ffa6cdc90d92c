#include "azureyoke/src/state/audit_entry.h"

#include <nlohmann/json.hpp>

#include "azureyoke/src/state/to_json_text.h"

namespace azureyoke::state {

std::string to_line(const audit_entry& entry) {
    nlohmann::ordered_json line = {{"time_ms", entry.time_ms},     {"instance", entry.instance},
                                   {"what", entry.what},           {"document", entry.document},
                                   {"workspace", entry.workspace}, {"detail", entry.detail}};
    return to_json_text(line) + "\n";
}

std::optional<audit_entry> parse_audit_line(std::string_view line) {
    auto value = nlohmann::json::parse(line, nullptr, false);
    if (value.is_discarded() || !value.is_object())
        return std::nullopt;
    try {
        return audit_entry{
            value.at("time_ms").get<std::int64_t>(),  value.at("instance").get<std::string>(),
            value.at("what").get<std::string>(),      value.at("document").get<std::string>(),
            value.at("workspace").get<std::string>(), value.at("detail").get<std::string>()};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace azureyoke::state
