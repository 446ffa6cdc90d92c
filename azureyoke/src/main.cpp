#include <gflags/gflags.h>

#include "azureyoke/src/app/check_command.h"
#include "azureyoke/src/app/commands.h"
#include "platform/commands.h"

int main(int argc, char** argv) {
    azureyoke::app::add_command(azureyoke::platform::route_command());
    azureyoke::app::add_checked_file(azureyoke::platform::policy_file());
    gflags::SetUsageMessage(azureyoke::app::help_text(""));
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(azureyoke::app::run_command(words));
}
