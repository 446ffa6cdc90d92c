#include "azureyoke/src/state/json_split.h"

namespace azureyoke::state {

namespace internal {
namespace {

/// \returns the index of the quote that ends the string which begins at `first`, or npos.
std::size_t end_of_string(std::string_view text, std::size_t first) {
    for (auto end = text.find('"', first + 1); end != std::string_view::npos;
         end = text.find('"', end + 1)) {
        auto backslashes = end;
        while (backslashes > first + 1 && text[backslashes - 1] == '\\')
            --backslashes;
        if ((end - backslashes) % 2 == 0)
            return end;
    }
    return std::string_view::npos;
}

} // namespace
} // namespace internal

std::optional<json_split> split_elements(std::string_view text) {
    constexpr std::size_t element_depth = 2; // in an array, in the outermost object
    json_split result;
    std::string open; // the closing brackets that are due, outermost first
    std::size_t copied = 0;
    std::size_t element_first = 0;
    bool in_element = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        char c = text[i];
        if (c == '"') {
            i = internal::end_of_string(text, i);
            if (i == std::string_view::npos)
                return std::nullopt;
        } else if (c == '{' || c == '[') {
            if (!in_element && c == '{' && open.size() == element_depth && open.back() == ']') {
                in_element = true;
                element_first = i;
            }
            open.push_back(c == '{' ? '}' : ']');
        } else if (c == '}' || c == ']') {
            if (open.empty() || open.back() != c)
                return std::nullopt;
            open.pop_back();
            if (in_element && open.size() == element_depth) {
                in_element = false;
                result.outline.append(text.substr(copied, element_first - copied));
                result.outline.append("{\"" + std::string(element_index_field) +
                                      "\":" + std::to_string(result.parts.size()) + "}");
                result.parts.push_back(text.substr(element_first, i + 1 - element_first));
                copied = i + 1;
            }
        }
    }
    if (!open.empty())
        return std::nullopt;
    result.outline.append(text.substr(copied));
    return result;
}

json_split split_long_strings(std::string_view text, std::size_t min_size) {
    json_split result;
    std::size_t copied = 0;
    for (auto i = text.find('"'); i != std::string_view::npos; i = text.find('"', i + 1)) {
        auto end = internal::end_of_string(text, i);
        if (end == std::string_view::npos)
            break;
        auto content = text.substr(i + 1, end - i - 1);
        if (content.size() >= min_size && content.find('\\') == std::string_view::npos) {
            result.outline.append(text.substr(copied, i - copied));
            result.outline.append("[" + std::to_string(result.parts.size()) + "]");
            result.parts.push_back(content);
            copied = end + 1;
        }
        i = end;
    }
    result.outline.append(text.substr(copied));
    return result;
}

} // namespace azureyoke::state
