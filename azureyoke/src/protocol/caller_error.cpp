#include "azureyoke/src/protocol/caller_error.h"

#include <nlohmann/json.hpp>

#include "azureyoke/src/state/to_json_text.h"

namespace azureyoke::protocol {

namespace internal {
namespace {

std::string error_body(const caller_error& ec, const std::string& request_id) {
    nlohmann::json body;
    body["error"] = {{"message", ec.message},
                     {"type", status_of(ec.code) < 500 ? "invalid_request_error" : "server_error"},
                     {"code", name_of(ec.code)},
                     {"number", static_cast<int>(ec.code)},
                     {"run", ec.run == run_state::not_run ? "not-run" : "unknown"},
                     {"request_id", request_id}};
    return state::to_json_text(body);
}

} // namespace
} // namespace internal

const char* name_of(caller_code code) {
    switch (code) {
    case caller_code::malformed_request:
        return "malformed_request";
    case caller_code::ambiguous_length:
        return "ambiguous_length";
    case caller_code::key_misplaced:
        return "key_misplaced";
    case caller_code::idempotency_key_required:
        return "idempotency_key_required";
    case caller_code::unknown_key:
        return "unknown_key";
    case caller_code::ambiguous_key:
        return "ambiguous_key";
    case caller_code::model_not_permitted:
        return "model_not_permitted";
    case caller_code::unknown_route:
        return "unknown_route";
    case caller_code::method_not_allowed:
        return "method_not_allowed";
    case caller_code::in_progress:
        return "in_progress";
    case caller_code::idempotency_mismatch:
        return "idempotency_mismatch";
    case caller_code::too_large:
        return "too_large";
    case caller_code::over_rate:
        return "over_rate";
    case caller_code::queue_full:
        return "queue_full";
    case caller_code::answer_invalid:
        return "answer_invalid";
    case caller_code::not_ready:
        return "not_ready";
    case caller_code::no_replica:
        return "no_replica";
    case caller_code::record_unavailable:
        return "record_unavailable";
    case caller_code::no_memory:
        return "no_memory";
    case caller_code::outcome_unknown:
        return "outcome_unknown";
    case caller_code::stream_interrupted:
        return "stream_interrupted";
    }
    return "unnamed";
}

int status_of(caller_code code) {
    return static_cast<int>(code) / 10;
}

caller_error to_caller_error(transport::front_refusal refusal) {
    auto make_error = [](caller_code code, const char* message) {
        return caller_error{code, message, run_state::not_run, {}};
    };
    switch (refusal) {
    case transport::front_refusal::ambiguous_length:
        return make_error(caller_code::ambiguous_length, ambiguous_length_message);
    case transport::front_refusal::body_too_large:
        return make_error(caller_code::too_large, "the body is larger than this instance accepts");
    case transport::front_refusal::head_too_large:
        return make_error(caller_code::malformed_request,
                          "the header fields are larger than this instance accepts");
    case transport::front_refusal::too_slow:
        return make_error(caller_code::malformed_request, "the request did not come in time");
    case transport::front_refusal::framing_too_large:
        return make_error(caller_code::malformed_request,
                          "the chunks' framing is many times as large as the body");
    case transport::front_refusal::no_memory: {
        constexpr int retry_after_seconds = 1;
        auto ec = make_error(caller_code::no_memory,
                             "this instance has no memory for a request of this size now");
        ec.retry_after_seconds = retry_after_seconds;
        return ec;
    }
    case transport::front_refusal::malformed:
        break;
    }
    return make_error(caller_code::malformed_request, "the request is no HTTP/1.1 message");
}

transport::http_response render(const caller_error& ec, const std::string& request_id) {
    transport::http_response response;
    response.status = status_of(ec.code);
    response.fields = {{"Content-Type", "application/json"},
                       {"x-request-id", request_id},
                       {"x-azureyoke-run", ec.run == run_state::not_run ? "not-run" : "unknown"}};
    if (ec.retry_after_seconds)
        response.fields.push_back({"Retry-After", std::to_string(*ec.retry_after_seconds)});
    // Bytes after a request of ambiguous length may not be a request, so the connection must close.
    if (ec.code == caller_code::ambiguous_length)
        response.fields.push_back({"Connection", "close"});
    response.body = internal::error_body(ec, request_id);
    return response;
}

std::string render_event(const caller_error& ec, const std::string& request_id) {
    return "data: " + internal::error_body(ec, request_id) + "\n\n";
}

} // namespace azureyoke::protocol
