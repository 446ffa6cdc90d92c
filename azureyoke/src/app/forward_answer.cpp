// How a forward_session passes answers on; how it sends requests is in forward_session.cpp.
#include "azureyoke/src/app/forward_session.h"

#include "azureyoke/src/app/forward_rules.h"

namespace azureyoke::app {

using coordination::call_end;
using transport::answer_verdict;

answer_verdict forward_session::on_head(const transport::http_head& head) {
    auto note = services_.dialect.read_answer(head);
    if (!note.request_id.empty() && note.request_id != intent_.request_id)
        return answer_verdict::skip;
    auto& router = services_.state.router;
    if (note.running)
        router.on_load(choice_->server, *note.running, note.waiting.value_or(0),
                       services_.loop.now());
    if (note.weights && !question_.model.empty())
        router.on_weights(choice_->server, question_.model, *note.weights);
    if (!note.wrong_server) // it says nothing of the server that was asked
        learn_from(note);
    if (note.not_run || note.wrong_server) {
        use_ = answer_use::reject;
        rejection_bytes_ = 0;
        answer_timer_ = services_.loop.after(rejection_wait, [this] { on_not_run(); });
        return answer_verdict::take;
    }
    bool success = head.status >= 200 && head.status < 300;
    if (success && !note.whole)
        return answer_verdict::refuse;
    answer_failed_ = head.status >= 500;
    bool small = head.framing != transport::http_framing::chunked && head.length <= most_held_bytes;
    bool held =
        !exchange_->started() && (!success || (route_->rule != state::run_rule::stream && small));
    if (held) {
        use_ = answer_use::hold;
        held_ = {head.status, services_.dialect.answer_fields(head), {}};
        return answer_verdict::take;
    }
    if (exchange_->started() && !success)
        return answer_verdict::refuse; // a resumed stream can't turn into a failure
    use_ = answer_use::pass;
    if (!exchange_->started())
        start_answer(head);
    return answer_verdict::take;
}

void forward_session::learn_from(const answer_note& note) {
    auto now = services_.loop.now();
    auto& state = services_.state;
    const auto& server = choice_->server;
    std::int64_t left_out = 0;
    if (!note.ignored.empty() &&
        services_.lines.take(event_id::answer_field_ignored, now, left_out))
        services_.log.warn(event_id::answer_field_ignored,
                           {{"backend_server", server},
                            {"why", note.ignored},
                            {"left_out", std::to_string(left_out)}});
    if (note.leaving && state.directory.on_departure({server, last_born_ms_},
                                                     coordination::departure_source::answer, now))
        services_.log.write(event_id::replica_leaves,
                            {{"backend_server", server}, {"said_by", "answer"}});
    if (!note.rest_s || *note.rest_s <= 0)
        return;
    state.router.on_rest(server, *note.rest_s, now);
    if (services_.lines.take(event_id::replica_rests, now, left_out))
        services_.log.write(event_id::replica_rests, {{"backend_server", server},
                                                      {"seconds", std::to_string(*note.rest_s)},
                                                      {"left_out", std::to_string(left_out)}});
}

void forward_session::start_answer(const transport::http_head& head) {
    // A stream that may go on elsewhere has no length yet.
    std::optional<std::uint64_t> length;
    bool whole_length = head.framing == transport::http_framing::length ||
                        head.framing == transport::http_framing::none;
    if (whole_length && route_->rule != state::run_rule::stream)
        length = head.length;
    exchange_->start(head.status, services_.dialect.answer_fields(head), length);
}

void forward_session::note_first_answer() {
    if (first_answer_seen_)
        return;
    first_answer_seen_ = true;
    auto now = services_.loop.now();
    services_.state.router.on_first_answer(*choice_, now - sent_at_, now);
    first_answer_ms_ = coordination::to_seconds(now - sent_at_) * 1000;
    note("first part of an answer");
    services_.measures.observe(measure::first_token, "pool", pool_,
                               coordination::to_seconds(now - exchange_->received()));
}

void forward_session::on_piece(std::string_view piece) {
    if (ended_)
        return;
    switch (use_) {
    case answer_use::reject:
        rejection_bytes_ += piece.size();
        if (rejection_bytes_ > most_rejection_bytes)
            on_not_run();
        return;
    case answer_use::hold:
        hold(piece);
        return;
    case answer_use::pass:
        if (route_->rule == state::run_rule::stream) {
            pass_events(piece);
        } else {
            note_first_answer();
            pass_on(piece);
        }
        return;
    }
}

void forward_session::pass_events(std::string_view piece) {
    auto events = relay_.feed(piece);
    if (relay_.overflowing()) {
        on_failure({transport::errc::connection_lost, "an event without end", true});
        return;
    }
    if (events.empty())
        return;
    note_first_answer();
    last_event_at_ = services_.loop.now();
    pass_on(events);
}

void forward_session::hold(std::string_view piece) {
    held_.body.append(piece);
    if (held_.body.size() <= most_held_bytes)
        return;
    if (unproven_refusal()) {
        may_have_run_ = true;
        settle(call_end::broken);
        refuse(502, "the server's answer " + std::to_string(held_.status) + " has no end");
        return;
    }
    stop_holding();
}

void forward_session::stop_holding() {
    use_ = answer_use::pass;
    exchange_->start(held_.status, held_.fields, std::nullopt);
    note_first_answer();
    pass_on(std::exchange(held_.body, {}));
}

// Passed on, it would promise that the request did not run, which the server has not said.
bool forward_session::unproven_refusal() const {
    auto status = held_.status;
    bool promise = status == 503 || status == 429 || status == 408 || status == 421;
    return promise && route_->rule != state::run_rule::repeatable;
}

void forward_session::pass_on(std::string_view bytes) {
    exchange_->write(bytes);
    if (exchange_->unwritten() <= most_unwritten_bytes || call_ == nullptr)
        return;
    call_->pause(true);
    exchange_->on_drained([weak = weak_from_this()] {
        auto self = weak.lock();
        if (self != nullptr && self->call_ != nullptr)
            self->call_->pause(false);
    });
}

void forward_session::on_end() {
    if (ended_)
        return;
    switch (use_) {
    case answer_use::reject:
        on_not_run();
        return;
    case answer_use::hold:
        note_first_answer();
        reply_held();
        return;
    case answer_use::pass:
        settle(call_end::answered);
        if (route_->rule == state::run_rule::stream)
            exchange_->write(relay_.finish());
        exchange_->end();
        finish(event_id::request_finished, "answered");
        return;
    }
}

void forward_session::reply_held() {
    auto status = held_.status;
    settle(answer_failed_ ? call_end::error : call_end::answered);
    bool repeat = answer_failed_ && route_->rule == state::run_rule::repeatable;
    if (repeat && may_send_again()) {
        may_have_run_ = true;
        question_.excluded.push_back(last_server_);
        dispatch();
        return;
    }
    if (unproven_refusal()) {
        may_have_run_ = true;
        refuse(502, "the server answered " + std::to_string(status) + " and may have run it");
        return;
    }
    exchange_->reply(held_);
    finish(event_id::request_finished, "answered " + std::to_string(status));
}

} // namespace azureyoke::app
