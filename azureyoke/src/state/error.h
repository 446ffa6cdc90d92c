#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace azureyoke::state {

/// \brief Kinds of state-layer errors.
enum class errc { malformed_document, rule_broken, unknown_name };

/// \brief An error in a document or settings file, with its location.
struct error {
    errc code = errc::malformed_document;
    std::string path; ///< JSON pointer of the field.
    int line = 0;     ///< Counted from 1; 0 when no line applies.
    std::string rule; ///< The rule that was broken.

    friend bool operator==(const error&, const error&) = default;
};

template <class T>
using result = tl::expected<T, error>;

/// \brief Formats an error as `line L, PATH: RULE`.
std::string to_string(const error& ec);
/// \brief Formats all errors in one line, separated by semicolons.
std::string to_string(const std::vector<error>& faults);

} // namespace azureyoke::state
