#pragma once

#include <optional>
#include <string>

#include "azureyoke/src/transport/front_server.h"
#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::protocol {

/// \brief Whether a backend server may have run the refused request.
enum class run_state { not_run, unknown };

/// \brief Errors that a caller can receive, with their stable numbers. See docs/OPERATING.md.
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
    no_memory = 5033,
    outcome_unknown = 5040,
    stream_interrupted = 5041
};

/// Message of `ambiguous_length`.
constexpr const char* ambiguous_length_message =
    "a request must state its length once: one Content-Length, or one Transfer-Encoding";

/// \brief An error answer to a caller.
struct caller_error {
    caller_code code = caller_code::malformed_request;
    std::string message;
    run_state run = run_state::not_run;
    std::optional<int> retry_after_seconds;

    friend bool operator==(const caller_error&, const caller_error&) = default;
};

/// \returns the name of a code as used in error bodies, logs and metrics.
const char* name_of(caller_code code);
/// \returns the HTTP status of a code, which is its first three digits.
int status_of(caller_code code);

/// \brief Converts the HTTP server's refusal of a message to a caller error.
caller_error to_caller_error(transport::front_refusal refusal);

/// \brief Formats the error as an HTTP response whose body has the OpenAI error format.
transport::http_response render(const caller_error& ec, const std::string& request_id);

/// \brief Formats the error as a server-sent event for a stream that has begun.
///
/// The stream's end mark must not follow.
std::string render_event(const caller_error& ec, const std::string& request_id);

} // namespace azureyoke::protocol
