#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace azureyoke::state {

enum class json_encoding { text, cbor };

/// \brief Checks a text before it is parsed: parsing, copying and destroying values that are
/// nested thousands of times can exhaust the stack or the memory. Thread safe.
/// \returns the number of its fields, or nothing when it is malformed or nested more deeply than
/// any message of the product.
std::optional<std::size_t> count_json_fields(std::string_view text,
                                             json_encoding encoding = json_encoding::text);

} // namespace azureyoke::state
