#pragma once

namespace azureyoke::app {

/// \brief Exit codes, after sysexits.h.
enum class exit_code : int {
    ok = 0,
    failed = 1, ///< The operation was refused, for example `apply` with a version conflict;
                ///< `check` found an error.
    misuse = 2, ///< Of `check`: wrong arguments, or no text to check or to compare with.
    usage = 64,
    bad_input = 65,   ///< A document or settings file broke a rule.
    no_input = 66,    ///< A file could not be read.
    unavailable = 69, ///< The platform or instance did not answer.
};

} // namespace azureyoke::app
