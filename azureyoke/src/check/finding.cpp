#include "azureyoke/src/check/finding.h"

#include <algorithm>

namespace azureyoke::check {

const char* name_of(finding_kind kind) {
    switch (kind) {
    case finding_kind::error:
        return "error";
    case finding_kind::warning:
        return "warning";
    case finding_kind::change:
        return "change";
    }
    return "";
}

std::string quoted(const char* kind, const std::string& name) {
    return std::string(kind) + " \"" + name + "\"";
}

std::string to_line(const finding& found, const std::string& file) {
    std::string line = name_of(found.kind);
    line.append(": ").append(file).append(": ");
    if (!found.place.empty())
        line.append(found.place).append(": ");
    line += found.what;
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    std::replace_if(
        line.begin(), line.end(),
        [](unsigned char c) { return c < first_printable || c == delete_character; }, ' ');
    return line;
}

std::vector<finding> to_findings(finding_kind kind, const std::vector<state::error>& faults) {
    std::vector<finding> list;
    for (const auto& it : faults) {
        auto place = "line " + std::to_string(it.line) + ", " +
                     (it.path.empty() ? std::string("document") : it.path);
        list.push_back({kind, std::move(place), it.rule});
    }
    return list;
}

bool has_error(const std::vector<finding>& list) {
    return std::any_of(list.begin(), list.end(),
                       [](const auto& it) { return it.kind == finding_kind::error; });
}

} // namespace azureyoke::check
