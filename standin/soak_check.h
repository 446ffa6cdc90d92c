#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::standin {

/// An accepted configuration is in force everywhere after this.
constexpr auto max_time_to_force = std::chrono::seconds(17);
/// A caller that waited longer for its answer may have given up by itself.
constexpr auto max_answer_time = std::chrono::seconds(25);

/// One completion as its caller saw it.
struct completion_record {
    std::string workspace;
    std::size_t instance = 0;
    transport::instant sent;
    transport::instant answered;
    int status = 0; ///< 0 when the connection broke.
    bool connected = true;
    std::string connection_error; ///< Why there is no answer.
    bool whole = false;
    bool explicit_error = false;
    std::int64_t used = 0;
    std::string first_unexpected_event;
};

/// One refund key and all that was said about it.
struct refund_record {
    bool reported_not_run = false;
    bool answered = false;
    int repeats = 0;
};

/// \brief All that callers and operators saw of a soak.
struct soak_history {
    std::vector<completion_record> completions;
    std::map<std::string, refund_record> refunds; ///< By key.
    /// When the key of "yards" was granted, or withdrawn (true).
    std::vector<std::pair<transport::instant, bool>> key_changes;
    bool key_state_uncertain = false; ///< A change of keys may have been made or not.
    std::map<std::size_t, std::vector<transport::instant>> killed_at; ///< Kills of each instance.
    int answered_refunds = 0;
    std::vector<std::string> violations;
};

/// \brief Each workspace's limit.
struct soak_limits {
    double rate = 0;  ///< Tokens a second.
    double burst = 0; ///< Tokens.
};

/// \brief Adds what broke a promise to the violations. `runs` are the service's own counts by key.
void check_soak_history(soak_history& history, const nlohmann::json& runs,
                        const soak_limits& limits);

} // namespace azureyoke::standin
