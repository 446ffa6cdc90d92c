#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/app/exit_code.h"
#include "azureyoke/src/state/json_reader.h"

namespace azureyoke::app {

/// \brief A command of the program; `run` gets the words after the command's name.
struct command {
    std::string name;
    std::string usage;
    std::string summary;
    std::function<exit_code(const std::vector<std::string>&)> run;
};

/// \brief Adds a command to the program's own. Call before `run_command`.
void add_command(command added);

/// \brief A kind of file that `check` knows beside the product's documents.
struct checked_file {
    std::string name;                                           ///< As in "settings of route".
    std::function<bool(const nlohmann::json& root)> recognizes; ///< By its fields.
    std::function<std::vector<state::error>(const std::string& text)> faults;
};

/// \brief Adds a kind of file to those that `check` knows. Call before `run_command`.
void add_checked_file(checked_file added);

/// \returns the whole content of a file, or nothing when it can't be read.
std::optional<std::string> read_file(const std::string& name);

/// \brief Prints each fault of the file `name` on a line of standard error.
void print_faults(const std::string& name, const std::vector<state::error>& faults);

/// \brief Says on standard error that the file can't be read. \returns the code to exit with.
exit_code no_file(const std::string& name);

/// \brief Runs one command of the program. `words` are the words after the program's name.
exit_code run_command(const std::vector<std::string>& words);

/// \brief The text of `azureyoke help [COMMAND]`.
std::string help_text(const std::string& command);

} // namespace azureyoke::app
