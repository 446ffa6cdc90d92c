// The answer path of forward_session; the request path is in forward_session.cpp.
#include "azureyoke/src/app/forward_session.h"

#include "azureyoke/src/app/forward_rules.h"

namespace azureyoke::app {

using coordination::call_outcome;
using transport::answer_verdict;

answer_verdict forward_session::on_head(const transport::http_head& head) {
    head_seen_ = true;
    auto report = services_.dialect.read_answer(head);
    if (!report.request_id.empty() && report.request_id != request_info_.request_id)
        return answer_verdict::skip;
    if (is_doubtful_refusal(head, report)) {
        services_.measures.count("azureyoke_doubtful_refusals_total", "pool", pool_);
        return answer_verdict::reject;
    }
    services_.paths.on_heard(call_ != nullptr && !call_->on_kept_connection());
    auto& router = services_.state.router;
    if (report.running) {
        router.on_load_report(choice_->server, *report.running, report.waiting.value_or(0),
                              services_.loop.now());
        note_server_load(*report.running + report.waiting.value_or(0));
    }
    if (report.weights && !query_.model.empty())
        router.on_weights(choice_->server, query_.model, *report.weights);
    if (!report.wrong_server) // the head describes another server
        update_server_state(report);
    if (report.not_run || report.wrong_server) {
        answer_mode_ = answer_mode::reject;
        rejection_bytes_ = 0;
        answer_timer_ = services_.loop.after(rejection_timeout, [this] { on_not_run(); });
        return answer_verdict::accept;
    }
    bool success = head.status >= 200 && head.status < 300;
    if (success && !report.has_valid_stamp)
        return answer_verdict::reject;
    success_ = success;
    ends_with_connection_ = head.framing == transport::http_framing::until_close;
    server_error_ = head.status >= 500;
    bool small =
        head.framing != transport::http_framing::chunked && head.length <= max_buffered_bytes;
    bool buffered = !exchange_->started() &&
                    (!success || (route_->rule != state::execution_rule::stream && small));
    if (buffered) {
        answer_mode_ = answer_mode::buffer;
        buffered_ = {head.status, answer_fields(head), {}};
        return answer_verdict::accept;
    }
    if (exchange_->started() && !success)
        return answer_verdict::reject; // a resumed stream cannot change into an error answer
    answer_mode_ = answer_mode::pass_through;
    if (!exchange_->started())
        start_answer(head);
    return answer_verdict::accept;
}

// A faulty server may write the refusal of an earlier request once more. Without an id it cannot be
// told from the refusal of this request, which may run meanwhile.
bool forward_session::is_doubtful_refusal(const transport::http_head& head,
                                          const answer_info& report) const {
    bool refusal = report.not_run || report.wrong_server || means_not_run(head.status);
    return refusal && report.request_id.empty() && call_ != nullptr && call_->on_kept_connection();
}

void forward_session::update_server_state(const answer_info& report) {
    auto now = services_.loop.now();
    auto& state = services_.state;
    const auto& server = choice_->server;
    std::int64_t left_out = 0;
    if (!report.ignored_fields.empty() &&
        services_.log_limiter.try_acquire(event_id::answer_field_ignored, now, left_out))
        services_.log.warn(event_id::answer_field_ignored,
                           {{"backend_server", server},
                            {"why", report.ignored_fields},
                            {"left_out", std::to_string(left_out)}});
    if (report.leaving &&
        state.directory.on_departure({server, last_started_ms_},
                                     coordination::departure_source::answer, now)) {
        services_.log.write(event_id::replica_leaves,
                            {{"backend_server", server}, {"said_by", "answer"}});
        if (services_.software != nullptr)
            services_.software->on_fleet_changed();
    }
    if (report.slowdown) {
        state.on_slowdown_told(server, now);
        state.router.speeds().on_own_slowdown({pool_, server, *report.slowdown, now}, now);
    }
    if (report.request_rate)
        services_.permits.on_answer(server, last_started_ms_, *report.request_rate, sent_at_);
    if (!report.backoff_s || *report.backoff_s <= 0)
        return;
    state.router.on_backoff(server, *report.backoff_s, now);
    if (services_.log_limiter.try_acquire(event_id::replica_rests, now, left_out))
        services_.log.write(event_id::replica_rests,
                            {{"backend_server", server},
                             {"seconds", std::to_string(*report.backoff_s)},
                             {"left_out", std::to_string(left_out)}});
}

transport::http_fields forward_session::answer_fields(const transport::http_head& head) const {
    auto fields = services_.dialect.answer_fields(head);
    // Only a helper itself may say that it did not run a request.
    std::erase_if(
        fields, [](const auto& it) { return transport::equal_names(it.name, refused_help_field); });
    return fields;
}

void forward_session::start_answer(const transport::http_head& head) {
    // A stream that may continue at another server has no known length.
    std::optional<std::uint64_t> length;
    bool whole_length = head.framing == transport::http_framing::length ||
                        head.framing == transport::http_framing::none;
    if (whole_length && route_->rule != state::execution_rule::stream)
        length = head.length;
    exchange_->start(head.status, answer_fields(head), length);
}

void forward_session::record_first_answer() {
    if (first_answer_seen_)
        return;
    first_answer_seen_ = true;
    auto now = services_.loop.now();
    first_answer_at_ = now;
    note_first_answer();
    services_.state.router.on_first_answer(*choice_, now - sent_at_, now);
    if (services_.software != nullptr && success_)
        services_.software->on_first_answer(software_attempt_);
    first_answer_ms_ = coordination::to_seconds(now - sent_at_) * 1000;
    add_step("first part of the answer received");
    services_.measures.observe(measure::first_token, "pool", pool_,
                               coordination::to_seconds(now - exchange_->received()));
}

void forward_session::on_piece(std::string_view piece) {
    if (finished_)
        return;
    switch (answer_mode_) {
    case answer_mode::reject:
        rejection_bytes_ += piece.size();
        if (rejection_bytes_ > max_rejection_bytes)
            on_not_run();
        return;
    case answer_mode::buffer:
        buffer_piece(piece);
        return;
    case answer_mode::pass_through:
        services_.paths.on_heard(false);
        if (route_->rule == state::execution_rule::stream) {
            forward_events(piece);
        } else {
            record_first_answer();
            report_progress(progress());
            write_to_caller(piece);
        }
        return;
    }
}

void forward_session::forward_events(std::string_view piece) {
    if (!first_answer_seen_ && continues_stream() && !software_is_certain()) {
        drop_answer();
        return;
    }
    run_began_ = true;
    auto known_events = relay_.events();
    auto events = relay_.append(piece);
    // What the caller has not taken yet is no reason to fail the attempt: reading is paused then.
    bool may_hold =
        account_bytes() || relay_.incomplete_bytes() <= transport::byte_account::guaranteed_bytes;
    if (relay_.exceeds_limit() || !may_hold) {
        on_failure(
            {transport::errc::connection_lost, "too many bytes without a whole event", true});
        return;
    }
    if (relay_.events() == known_events) {
        if (!events.empty())
            write_to_caller(events); // comments, which are no progress
        return;
    }
    record_first_answer();
    report_progress(progress());
    bool first_event = bound_stream_.empty() && !software_unknown_;
    if (first_event && request_info_.last_event.empty() && route_->resumable) {
        software_unknown_ = !versions_were_current_ || !software_is_certain();
        if (!software_unknown_)
            bind_stream(request_info_.request_id, last_software_);
    }
    last_event_at_ = services_.loop.now();
    write_to_caller(events);
}

void forward_session::buffer_piece(std::string_view piece) {
    buffered_.body.append(piece);
    if (buffered_.body.size() <= max_buffered_bytes && account_bytes())
        return;
    if (is_unconfirmed_refusal()) {
        may_have_run_ = true;
        end_call(call_outcome::incomplete);
        refuse(502, "the server's answer " + std::to_string(buffered_.status) + " has no end");
        return;
    }
    stop_buffering();
}

void forward_session::stop_buffering() {
    answer_mode_ = answer_mode::pass_through;
    exchange_->start(buffered_.status, buffered_.fields, std::nullopt);
    record_first_answer();
    write_to_caller(std::exchange(buffered_.body, {}));
}

// Callers read these statuses as "the request did not run". Without the server's own report of
// that, the request may have run, and a caller that repeats it could run it twice.
bool forward_session::is_unconfirmed_refusal() const {
    return means_not_run(buffered_.status) && route_->rule != state::execution_rule::repeatable;
}

bool forward_session::account_bytes() {
    return held_bytes_.set(relay_.incomplete_bytes() + buffered_.body.size() +
                           exchange_->held_output());
}

void forward_session::write_to_caller(std::string_view bytes) {
    exchange_->write(bytes);
    bool may_hold = account_bytes();
    if (exchange_->unwritten() == 0 || call_ == nullptr)
        return;
    if (exchange_->unwritten() > max_unread_bytes(services_.answer_bytes) || !may_hold)
        call_->pause(true);
    exchange_->on_drained([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->resume_reading();
    });
}

void forward_session::resume_reading() {
    (void)account_bytes();
    if (call_ != nullptr)
        call_->pause(false);
}

void forward_session::on_end() {
    if (finished_)
        return;
    switch (answer_mode_) {
    case answer_mode::reject:
        on_not_run();
        return;
    case answer_mode::buffer:
        record_first_answer();
        report_complete();
        reply_buffered();
        return;
    case answer_mode::pass_through:
        if (ended_within_event()) {
            call_->retire_connection();
            on_failure(
                {transport::errc::connection_lost, "the stream ended within an event", true, true});
            return;
        }
        report_complete();
        end_call(call_outcome::answered);
        if (route_->rule == state::execution_rule::stream)
            exchange_->write(relay_.take_incomplete());
        exchange_->end();
        if (!bound_stream_.empty())
            services_.streams.on_complete(bound_stream_);
        finish(event_id::request_finished, "answered");
        return;
    }
}

// A body of known length may end without the blank line of its last event, or have no events.
bool forward_session::ended_within_event() const {
    bool numbered = !relay_.last_id().empty();
    return route_->rule == state::execution_rule::stream && relay_.has_incomplete() &&
           (ends_with_connection_ || numbered);
}

void forward_session::reply_buffered() {
    auto status = buffered_.status;
    end_call(server_error_ ? call_outcome::error : call_outcome::answered);
    bool may_repeat = server_error_ && route_->rule == state::execution_rule::repeatable;
    if (may_repeat && try_acquire_retry()) {
        may_have_run_ = true;
        query_.excluded.push_back(last_server_);
        dispatch();
        return;
    }
    if (is_unconfirmed_refusal()) {
        may_have_run_ = true;
        refuse(502, "the server answered " + std::to_string(status) + " and may have run it");
        return;
    }
    exchange_->reply(buffered_);
    finish(event_id::request_finished, "answered " + std::to_string(status));
}

} // namespace azureyoke::app
