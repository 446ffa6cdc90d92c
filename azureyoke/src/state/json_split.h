#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureyoke::state {

/// Field of a placeholder with the index in `json_split::parts`.
constexpr std::string_view element_index_field = "#";

/// \brief A JSON text without some of its values.
struct json_split {
    /// The text with a placeholder for each value in `parts`.
    std::string outline;
    std::vector<std::string_view> parts; ///< What was taken out: views into the text.
};

/// \brief Takes the objects out of the arrays of a JSON object, such as the members of
/// `{"routes":[{...},{...}]}`, without parsing them. Thread safe.
///
/// The placeholder is an object with the field `element_index_field` alone. The text may contain no
/// comments. The outline and the parts are valid JSON if and only if the text is.
/// \returns nothing when the brackets of the text do not match.
std::optional<json_split> split_elements(std::string_view text);

/// \brief Takes strings of `min_size` bytes and more, such as base64 values, out of a JSON text,
/// because a JSON parser spends most of its time on them. Thread safe.
///
/// The placeholder of the string with index n in `parts`, there without its quotes, is `[n]`.
/// Strings with escape sequences stay in the outline.
json_split split_long_strings(std::string_view text, std::size_t min_size);

} // namespace azureyoke::state
