#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/app/exit_code.h"
#include "azureyoke/src/state/error.h"
#include "azureyoke/src/transport/http_client.h"

namespace azureyoke::app {

/// \brief A command of the program. `run` is called with the arguments after the command's name.
struct command {
    std::string name;
    std::string usage;
    std::string summary;
    std::function<exit_code(const std::vector<std::string>&)> run;
};

/// \brief Registers a command. Call before `run_command`.
void add_command(command added);

/// \brief Fetches a page of an instance's operator address, and waits for it.
transport::result<transport::http_response> fetch_operator_page(const transport::address& at,
                                                                const std::string& path);

/// \returns the content of a file, or nothing when it cannot be read.
std::optional<std::string> read_file(const std::string& name);

/// \brief Prints the faults of the file `name` to standard error, one on each line.
void print_faults(const std::string& name, const std::vector<state::error>& faults);

/// \brief Prints to standard error that the file cannot be read. \returns the exit code.
exit_code report_missing_file(const std::string& name);

/// \brief Runs one command. `words` are the command line arguments without the program's name.
exit_code run_command(const std::vector<std::string>& words);

/// \returns the text that `azureyoke help [COMMAND]` prints.
std::string help_text(const std::string& command);

} // namespace azureyoke::app
