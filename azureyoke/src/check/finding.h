#pragma once

#include <string>
#include <vector>

#include "azureyoke/src/state/error.h"

namespace azureyoke::check {

enum class finding_kind {
    error,   ///< The configuration would be refused.
    warning, ///< It would be accepted, and a part of it has no effect or contradicts another.
    change   ///< It differs here from the configuration in force.
};

/// \brief What a check found at one place of a configuration.
struct finding {
    finding_kind kind = finding_kind::error;
    std::string place; ///< For example `route "chat"`, or a line and a JSON pointer.
    std::string what;

    friend bool operator==(const finding&, const finding&) = default;
};

const char* name_of(finding_kind kind);

/// \returns the place of an element with a name, as `route "chat"`. Thread safe.
std::string quoted(const char* kind, const std::string& name);

/// \returns the finding as one line without its end, `KIND: FILE: PLACE: WHAT`. Control characters
/// become spaces. Thread safe.
std::string to_line(const finding& found, const std::string& file);

/// \returns the faults as findings of the given kind. Thread safe.
std::vector<finding> to_findings(finding_kind kind, const std::vector<state::error>& faults);

/// \returns whether an error is among the findings. Thread safe.
bool has_error(const std::vector<finding>& list);

} // namespace azureyoke::check
