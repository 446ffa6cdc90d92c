#pragma once

#include <functional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/part_suspicions.h"
#include "azureyoke/src/transport/address.h"

namespace azureyoke::app {

/// \brief A request whose connection to its backend server ended.
struct lost_request {
    std::string server;
    std::int64_t started_ms = 0; ///< Start of the server's run.
    transport::address address;
    std::vector<std::string> parts;
    std::string trial_part; ///< The part that the request was the trial of, or empty.
    coordination::answer_progress reached{}; ///< How far the answer had got.
    /// The answer ends with its connection, and may be complete.
    bool may_be_complete = false;

    friend bool operator==(const lost_request&, const lost_request&) = default;
};

/// \brief Keeps requests back whose prompt parts crash backend servers. Not thread safe.
class part_guard {
public:
    using trial_handler = std::function<void(bool granted, coordination::duration wait)>;
    using crash_handler = std::function<void()>;

    virtual ~part_guard() = default;

    virtual coordination::part_assessment assess(const std::vector<std::string>& parts) const = 0;
    /// \brief Asks to send a request as the trial of `part`. `done` is called exactly once,
    /// possibly before this returns; after a denial it gets the time until the next trial.
    virtual void acquire_trial(const std::string& part, trial_handler done) = 0;
    /// \brief The successful answer to a request with these parts has got so far.
    virtual void on_answer(const std::vector<std::string>& parts,
                           coordination::answer_progress reached) = 0;
    /// \brief Finds out whether the server crashed, and calls `on_crash` if so. If not, an answer
    /// that may be complete is.
    virtual void on_lost(const lost_request& lost, crash_handler on_crash) = 0;
};

} // namespace azureyoke::app
