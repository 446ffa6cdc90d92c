#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::standin {

/// An accepted configuration must be in force on every running instance within this time.
constexpr auto max_activation_time = std::chrono::seconds(17);
/// After a longer wait the caller itself may have closed the connection, so that a broken
/// connection is no violation.
constexpr auto max_answer_time = std::chrono::seconds(25);

/// Outcome of one completion from the caller's side.
struct completion_record {
    std::string workspace;
    std::size_t instance = 0;
    transport::instant sent;
    transport::instant answered;
    int status = 0; ///< 0 when there is no complete answer.
    bool connected = true;
    std::string connection_error; ///< Reason for the missing answer.
    bool whole = false;
    bool explicit_error = false;
    std::int64_t used = 0;
    std::string first_unexpected_event;
};

/// Answers received for one idempotency key of a refund.
struct refund_record {
    bool reported_not_run = false;
    bool answered = false;
    int repeats = 0;
};

/// \brief History of a soak from the callers' and operators' side.
struct soak_history {
    std::vector<completion_record> completions;
    std::map<std::string, refund_record> refunds; ///< By idempotency key.
    /// Times at which the key of "yards" was withdrawn (true) or granted (false).
    std::vector<std::pair<transport::instant, bool>> key_changes;
    bool key_state_uncertain = false; ///< Whether some change of keys took effect is unknown.
    std::map<std::size_t, std::vector<transport::instant>>
        killed_at; ///< Times of SIGKILL, by instance.
    int answered_refunds = 0;
    std::vector<std::string> violations;
};

/// \brief Rate limit of each workspace.
struct soak_limits {
    double rate = 0;  ///< Tokens per second.
    double burst = 0; ///< Tokens.
};

/// \brief Adds every violated guarantee to `history.violations`. `runs` holds the service's own
/// counts of executed requests by idempotency key.
void check_soak_history(soak_history& history, const nlohmann::json& runs,
                        const soak_limits& limits);

} // namespace azureyoke::standin
