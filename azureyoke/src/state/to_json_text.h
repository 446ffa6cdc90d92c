#pragma once

#include <string>

namespace azureyoke::state {

/// \returns the JSON text of `value`. Bytes that are not valid UTF-8, which callers may have sent,
/// are replaced; a strict dump would throw. Thread safe.
template <class Json>
std::string to_json_text(const Json& value) {
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace azureyoke::state
