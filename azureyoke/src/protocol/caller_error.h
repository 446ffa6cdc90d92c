#pragma once

#include <optional>
#include <string>

#include "azureyoke/src/transport/front_server.h"
#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::protocol {

/// \brief Whether the refused request can have had an effect.
enum class run_state { not_run, unknown };

/// \brief Stable number and name of each error that a caller can get. See docs/OPERATING.md.
enum class caller_code {
    malformed_request = 4000,
    ambiguous_length = 4001,
    key_misplaced = 4002,
    idempotency_key_required = 4003,
    unknown_key = 4010,
    ambiguous_key = 4011,
    model_not_permitted = 4030,
    unknown_route = 4040,
    method_not_allowed = 4050,
    in_progress = 4090,
    idempotency_mismatch = 4091,
    too_large = 4130,
    over_rate = 4290,
    queue_full = 4291,
    answer_invalid = 5020,
    not_ready = 5030,
    no_replica = 5031,
    record_unavailable = 5032,
    outcome_unknown = 5040,
    stream_interrupted = 5041
};

/// Of `ambiguous_length`.
constexpr const char* one_length_rule =
    "a request must state its length once: one Content-Length, or one Transfer-Encoding";

/// \brief A refusal as the caller sees it.
struct caller_error {
    caller_code code = caller_code::malformed_request;
    std::string message;
    run_state ran = run_state::not_run;
    std::optional<int> retry_after_seconds;

    friend bool operator==(const caller_error&, const caller_error&) = default;
};

/// \brief Name of a code in error bodies, logs and metrics.
const char* name_of(caller_code code);
/// \brief HTTP status of a code: its first three digits.
int status_of(caller_code code);

/// \brief What the server refused before it could be handled, as a caller's error.
caller_error error_of(transport::front_refusal why);

/// \brief The whole answer, with an error body in the OpenAI shape.
transport::http_response render(const caller_error& ec, const std::string& request_id);

/// \brief The error as an event of a stream that has begun, followed by no end mark.
std::string render_event(const caller_error& ec, const std::string& request_id);

} // namespace azureyoke::protocol
