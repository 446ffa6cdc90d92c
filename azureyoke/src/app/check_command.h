#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "azureyoke/src/app/exit_code.h"
#include "azureyoke/src/check/difference.h"
#include "azureyoke/src/check/finding.h"

namespace azureyoke::app {

constexpr const char* check_usage = "check [--against FILE | --operators IP:PORT] FILE";

/// \brief What a check says of one text.
struct check_report {
    std::vector<check::finding> findings;
    /// For the comparison with another text; empty when the text has an error.
    std::vector<check::described_element> elements;

    friend bool operator==(const check_report&, const check_report&) = default;
};

/// \brief A kind of file that `check` inspects besides documents.
struct checked_file {
    std::string name; ///< For example "settings of route".
    std::function<bool(const nlohmann::json& root)> recognizes; ///< Tests for fields of this kind.
    std::function<check_report(const std::string& text)> inspect;
    /// Operator page of an instance that has the text in force; empty when there is none.
    std::string page = {};
};

/// \brief Registers a kind of file for `check`. Call before `run_command`.
void add_checked_file(checked_file added);

/// \brief Inspects `text` and, if `in_force` is not null, adds what differs from it. Thread safe
/// once all kinds of files are registered.
/// \returns nothing when `in_force` has an error or is of another kind, so that it cannot be
/// compared.
std::optional<check_report> inspect(const std::string& text, const std::string* in_force);

/// \brief Adds what differs from the version of the document that an instance has in force.
/// \param status the instance's page `/status`.
/// \returns nothing when the page has no list of documents. Thread safe.
std::optional<check::finding> compare_with_status(const std::string& text,
                                                  const std::string& status);

/// \brief Runs the command `check`. `words` are its arguments. Prints one line for each finding.
exit_code run_check(const std::vector<std::string>& words);

} // namespace azureyoke::app
