#include "azureyoke/src/app/settings_reader.h"

namespace azureyoke::app {

transport::address read_address_field(state::field_reader& reader, const std::string& field) {
    auto text = reader.text(field);
    auto parsed = transport::parse_address(text);
    if (parsed)
        return *parsed;
    if (!text.empty())
        reader.add_error(field, parsed.error().what);
    return {};
}

std::vector<transport::address> read_address_fields(state::field_reader& reader,
                                                    const std::string& field) {
    std::vector<transport::address> list;
    for (const auto& it : reader.texts(field)) {
        auto parsed = transport::parse_address(it);
        if (parsed)
            list.push_back(*parsed);
        else
            reader.add_error(field, parsed.error().what);
    }
    return list;
}

} // namespace azureyoke::app
