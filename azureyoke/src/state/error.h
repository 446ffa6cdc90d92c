#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace azureyoke::state {

/// \brief What a state-layer operation found wrong.
enum class errc { malformed_document, rule_broken, unknown_name };

/// \brief A fault in a document or settings file, with the place that shows it.
struct error {
    errc code = errc::malformed_document;
    std::string path; ///< JSON pointer of the field.
    int line = 0;     ///< First line is 1; 0 when no line applies.
    std::string rule; ///< The rule that was broken.

    friend bool operator==(const error&, const error&) = default;
};

template <class T>
using result = tl::expected<T, error>;

/// \brief Renders an error as `line L, PATH: RULE`.
std::string to_string(const error& ec);
/// \brief Renders all of them in one line.
std::string to_string(const std::vector<error>& faults);

} // namespace azureyoke::state
