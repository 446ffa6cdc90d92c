#include "azureyoke/src/transport/http_message.h"

#include <algorithm>
#include <cctype>

namespace azureyoke::transport {

bool equal_names(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::optional<std::string> find_field(const http_fields& fields, std::string_view name) {
    for (const auto& it : fields) {
        if (equal_names(it.name, name))
            return it.value;
    }
    return std::nullopt;
}

std::size_t count_fields(const http_fields& fields, std::string_view name) {
    return static_cast<std::size_t>(std::count_if(
        fields.begin(), fields.end(), [&](const auto& it) { return equal_names(it.name, name); }));
}

void append_fields(std::string& out, const http_fields& fields) {
    for (const auto& it : fields) {
        out += it.name;
        out += ": ";
        out += it.value;
        out += "\r\n";
    }
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

} // namespace azureyoke::transport
