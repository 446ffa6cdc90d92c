// The part of completion_session that relays an engine's response to the caller. Admission and
// dispatch are in completion_session.cpp.
#include "azureyoke/src/app/completion_session.h"

namespace azureyoke::app {

void completion_session::on_engine_head(int status) {
    if (status != 200)
        attempt_failed("the engine answered " + std::to_string(status), true);
}

void completion_session::on_engine_data(std::string_view piece) {
    auto events = decoder_->feed(piece);
    if (decoder_->failed()) {
        attempt_failed("the engine sent an event longer than the limit", true);
        return;
    }
    auto attempt = attempts_;
    for (const auto& it : events) {
        on_engine_event(it);
        if (ended_ || attempt != attempts_ || sink_ == nullptr)
            return;
    }
    pause_engine_if_buffer_full();
}

void completion_session::on_engine_event(const std::string& data) {
    if (data == protocol::stream_end) {
        end_mark_seen_ = true;
        return;
    }
    auto event = protocol::parse_engine_event(data);
    if (!event) {
        attempt_failed(event.error().what, true);
        return;
    }
    auto verdict = relay_.on_event(event->request_id, event->weights, event->position,
                                   !event->finish_reason.empty());
    switch (verdict) {
    case coordination::relay_verdict::pass:
        send_token(*event);
        return;
    case coordination::relay_verdict::repeat:
        return;
    case coordination::relay_verdict::gap:
        attempt_failed("the engine left out tokens", true);
        return;
    case coordination::relay_verdict::foreign:
        services_.log.warn(event_id::answer_discarded, {{"request", scope_.id()}});
        attempt_failed("the engine's answer belongs to another request or other weights", true);
        return;
    case coordination::relay_verdict::after_end:
        attempt_failed("the engine sent tokens after the last one", true);
        return;
    }
}

void completion_session::send_token(const protocol::engine_event& event) {
    auto now = services_.loop.now();
    if (!first_token_seen_) {
        first_token_seen_ = true;
        services_.router.on_first_token(routed_request_, placement_, now);
        services_.measures.observe(measure::first_token, "backend_server",
                                   services_.router.tracker().info(placement_.replica).name,
                                   coordination::to_seconds(now - attempt_start_));
        services_.send_notices();
        services_.queue.dispatch_ready();
    }
    if (event.position == 0)
        services_.measures.observe(measure::first_token, "workspace", workspace_,
                                   coordination::to_seconds(now - scope_.start_time()));
    else
        services_.measures.observe(measure::between_tokens, "workspace", workspace_,
                                   coordination::to_seconds(now - last_token_time_));
    last_token_time_ = now;
    if (event.usage)
        usage_ = *event.usage;
    finish_reason_ = event.finish_reason;
    if (!request_.stream) {
        response_text_ += event.text;
        return;
    }
    auto& exchange = scope_.exchange();
    if (!exchange.started())
        exchange.start(200, {{"Content-Type", "text/event-stream"},
                             {"Cache-Control", "no-store"},
                             {"x-request-id", scope_.id()}});
    exchange.write(protocol::render_stream_event(request_, scope_.id(), event));
}

void completion_session::pause_engine_if_buffer_full() {
    auto max_unwritten = static_cast<std::size_t>(services_.settings.stream_buffer_bytes);
    if (call_ == nullptr || scope_.exchange().unwritten() <= max_unwritten)
        return;
    call_->pause(true);
    scope_.exchange().on_drained([this] {
        if (call_ != nullptr)
            call_->pause(false);
    });
}

void completion_session::on_engine_end() {
    if (!relay_.finished()) {
        attempt_failed(end_mark_seen_ ? "the engine's answer has no last token"
                                      : "the engine's answer ended before its end mark",
                       true);
        return;
    }
    finish_answer();
}

void completion_session::finish_answer() {
    auto now = services_.loop.now();
    services_.router.on_usage(routed_request_, placement_, usage_.cached_tokens, now);
    services_.router.on_success(routed_request_, placement_.replica, now);
    services_.send_notices();
    auto& exchange = scope_.exchange();
    if (request_.stream) {
        exchange.write("data: [DONE]\n\n");
        exchange.end();
    } else {
        exchange.reply({200,
                        {{"Content-Type", "application/json"}, {"x-request-id", scope_.id()}},
                        protocol::render_completion(request_, scope_.id(), response_text_,
                                                    finish_reason_, usage_)});
    }
    end(event_id::request_finished, "finished after " + std::to_string(attempts_) + " attempts");
}

} // namespace azureyoke::app
