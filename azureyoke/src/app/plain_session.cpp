#include "azureyoke/src/app/plain_session.h"

#include "azureyoke/src/app/table_write.h"

#include <algorithm>

namespace azureyoke::app {

using protocol::caller_code;
using protocol::caller_error;
using protocol::run_state;

namespace internal {
namespace {

constexpr std::size_t max_idempotency_key_length = 255;
constexpr int retry_after_in_progress_seconds = 1;
constexpr int retry_after_record_seconds = 2;

/// \returns the digest of method, target and body, which a repeat must leave unchanged.
std::string compute_request_digest(const transport::http_request& request) {
    return state::content_digest({request.method, "\n", request.target, "\n", request.body});
}

} // namespace
} // namespace internal

plain_session::plain_session(caller_services& services,
                             std::shared_ptr<transport::front_exchange> exchange)
    : services_(services), scope_(services, std::move(exchange)) {}

std::optional<caller_error> plain_session::admit() {
    auto config = services_.configuration.current_configuration();
    auto key = protocol::extract_key(scope_.request());
    if (!key)
        return key.error();
    auto found = config->find_route(transport::path_of(scope_.request().target));
    if (!found) {
        // A caller without a valid key must not find out which routes exist.
        auto space = authenticate(*config, *key);
        if (!space)
            return space.error();
        return caller_error{caller_code::unknown_route,
                            "no route has a prefix of this path",
                            run_state::not_run,
                            {}};
    }
    route_ = *found.route;
    if (route_.access == state::route_access::keyed) {
        auto space = authenticate(*config, *key);
        if (!space)
            return space.error();
        if (space->doc != found.doc)
            return caller_error{caller_code::unknown_route,
                                "no route of the key's document has a prefix of this path",
                                run_state::not_run,
                                {}};
        workspace_ = space->workspace->name;
        scope_.set_workspace(workspace_);
    }
    for (const auto& name : route_.backend_servers) {
        const auto* it = config->find_backend_server(name);
        if (it == nullptr || it->leaving)
            continue;
        // Servers in the data centre of this instance come first.
        if (it->data_centre == services_.settings.data_centre)
            server_addresses_.insert(server_addresses_.begin(), it->address);
        else
            server_addresses_.push_back(it->address);
    }
    return std::nullopt;
}

void plain_session::start() {
    if (auto ec = admit()) {
        // The record of the key was not read: an earlier request with it may have run.
        if (transport::find_field(scope_.request().fields, "Idempotency-Key"))
            ec->run = run_state::unknown;
        refuse(*ec);
        return;
    }
    auto key = transport::find_field(scope_.request().fields, "Idempotency-Key");
    if (route_.repeatable || !key) {
        dispatch();
        return;
    }
    if (key->empty() || key->size() > internal::max_idempotency_key_length ||
        transport::count_fields(scope_.request().fields, "Idempotency-Key") != 1) {
        refuse({caller_code::malformed_request,
                "field Idempotency-Key must stand once and have 1 to 255 characters",
                run_state::not_run,
                {}});
        return;
    }
    start_recorded_attempt(*key);
}

void plain_session::start_recorded_attempt(const std::string& key) {
    attempt_id_ = services_.make_id();
    record_row_ = state::attempt_row(workspace_, route_.path_prefix, key);
    recorded_attempt_.emplace(attempt_id_, internal::compute_request_digest(scope_.request()),
                              route_.honours_idempotency_key);
    run_actions({recorded_attempt_->start()});
}

void plain_session::run_actions(const std::vector<coordination::attempt_action>& actions) {
    for (const auto& it : actions) {
        switch (it.step) {
        case coordination::attempt_step::write_record:
            write_record(it);
            break;
        case coordination::attempt_step::read_record:
            read_record();
            break;
        case coordination::attempt_step::dispatch:
            dispatch();
            break;
        case coordination::attempt_step::answer:
            answer_caller(it);
            break;
        }
    }
}

void plain_session::write_record(const coordination::attempt_action& action) {
    services_.table.write(record_row_, action.expected_version, state::to_text(action.record),
                          [self = shared_from_this()](auto version) {
                              self->run_actions(self->recorded_attempt_->on_write(
                                  to_write_result(version), version.value_or(0)));
                          });
}

void plain_session::read_record() {
    services_.table.read(record_row_, [self = shared_from_this()](auto row) {
        if (!row) {
            self->run_actions(self->recorded_attempt_->on_read(false, 0, std::nullopt));
            return;
        }
        self->run_actions(self->recorded_attempt_->on_read(
            true, row->version, state::parse_attempt_record(row->value)));
    });
}

transport::http_request plain_session::make_forwarded_request() const {
    transport::http_request forwarded = scope_.request();
    forwarded.fields = protocol::forwardable_fields(forwarded.fields);
    std::erase_if(forwarded.fields,
                  [](const auto& it) { return transport::equal_names(it.name, "x-request-id"); });
    forwarded.fields.push_back({"x-request-id", scope_.id()});
    return forwarded;
}

void plain_session::dispatch() {
    if (server_addresses_.empty()) {
        on_failure("the route has no backend server now", false);
        return;
    }
    if (!has_untried_server())
        next_server_ = 0;
    auto at = transport::parse_address(server_addresses_[next_server_++]);
    if (!at) {
        on_failure(at.error().what, false);
        return;
    }
    ++dispatches_;
    scope_.add_trace_step("sent to " + transport::to_string(*at));
    services_.client.fetch(
        *at, make_forwarded_request(),
        [self = shared_from_this()](auto answer) { self->on_answer(std::move(answer)); },
        route_.repeatable);
}

void plain_session::on_answer(transport::result<transport::http_response> answer) {
    if (!answer) {
        on_failure(answer.error().what, answer.error().may_have_sent_bytes);
        return;
    }
    auto echo = transport::find_field(answer->fields, "x-request-id");
    if (echo && *echo != scope_.id()) {
        services_.log.warn(event_id::answer_discarded, {{"request", scope_.id()}});
        on_failure("the answer belongs to another request", true);
        return;
    }
    auto type = transport::find_field(answer->fields, "Content-Type");
    state::stored_answer stored{answer->status, type.value_or(""), std::move(answer->body)};
    if (recorded_attempt_)
        run_actions(recorded_attempt_->on_service_answer(stored));
    else
        reply(stored);
}

void plain_session::on_failure(const std::string& reason, bool may_have_sent_bytes) {
    may_have_sent_bytes_ = may_have_sent_bytes_ || may_have_sent_bytes;
    services_.log.warn(event_id::attempt_failed, {{"request", scope_.id()}, {"why", reason}});
    scope_.add_trace_step("attempt failed: " + reason);
    if (recorded_attempt_) {
        run_actions(
            recorded_attempt_->on_service_failure(may_have_sent_bytes, has_untried_server()));
        return;
    }
    bool may_retry = route_.repeatable || (!may_have_sent_bytes_ && has_untried_server());
    if (may_retry && services_.retries.try_acquire(dispatches_)) {
        dispatch();
        return;
    }
    if (may_have_sent_bytes_)
        refuse({caller_code::outcome_unknown,
                "the backend server gave no answer: " + reason,
                run_state::unknown,
                {}});
    else
        refuse({caller_code::no_replica, "no backend server could be reached: " + reason,
                run_state::not_run, 1});
}

void plain_session::answer_caller(const coordination::attempt_action& action) {
    switch (action.verdict) {
    case coordination::attempt_verdict::answered:
        reply(action.stored);
        return;
    case coordination::attempt_verdict::in_progress:
        refuse({caller_code::in_progress,
                "a request with this Idempotency-Key has begun and its outcome is not known",
                run_state::unknown, internal::retry_after_in_progress_seconds});
        return;
    case coordination::attempt_verdict::mismatch:
        refuse({caller_code::idempotency_mismatch,
                "this Idempotency-Key was used for another request",
                run_state::not_run,
                {}});
        return;
    case coordination::attempt_verdict::record_unavailable:
        refuse({caller_code::record_unavailable,
                "this request was not run; whether an earlier one with this Idempotency-Key ran is "
                "not known while its record cannot be read",
                run_state::unknown, internal::retry_after_record_seconds});
        return;
    case coordination::attempt_verdict::not_run:
        refuse(
            {caller_code::no_replica, "no backend server could be reached", run_state::not_run, 1});
        return;
    case coordination::attempt_verdict::unknown:
        services_.log.warn(event_id::outcome_unknown, {{"request", scope_.id()}});
        refuse({caller_code::outcome_unknown,
                "the request may have run; it will not be run again under this key",
                run_state::unknown,
                {}});
        return;
    }
}

void plain_session::reply(const state::stored_answer& stored) {
    transport::http_response response{stored.status, {{"x-request-id", scope_.id()}}, stored.body};
    if (!stored.content_type.empty())
        response.fields.push_back({"Content-Type", stored.content_type});
    scope_.exchange().reply(response);
    scope_.close(event_id::request_finished, "answered " + std::to_string(stored.status));
}

void plain_session::refuse(const caller_error& ec) {
    scope_.refuse(ec);
}

} // namespace azureyoke::app
