#pragma once

#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/app/request_scope.h"
#include "azureyoke/src/coordination/stream_relay.h"
#include "azureyoke/src/protocol/engine_api.h"
#include "azureyoke/src/protocol/sse_decoder.h"

namespace azureyoke::app {

/// \brief Serves one completion request: admission, placement, relay, retry and resume.
///
/// The session owns itself from `start` until the request has ended. Not thread safe.
class completion_session : public std::enable_shared_from_this<completion_session> {
public:
    completion_session(caller_services& services,
                       std::shared_ptr<transport::front_exchange> exchange,
                       protocol::completion_kind kind);

    void start();

    bool ended() const { return ended_; }

private:
    class attempt_sink;

    void admit();
    void on_admission(const coordination::admission_outcome& outcome);
    void enqueue();
    void on_dequeued();
    void dispatch();
    void send_to(const coordination::placement& placement);
    std::string weights_for(coordination::replica_number replica) const;
    void on_engine_head(int status);
    void on_engine_data(std::string_view piece);
    void on_engine_event(const std::string& data);
    void on_engine_end();
    void attempt_failed(const std::string& reason, bool may_have_sent_bytes);
    void retry_or_end(const std::string& reason);
    void send_token(const protocol::engine_event& event);
    void finish_answer();
    void on_caller_disconnected();
    void pause_engine_if_buffer_full();
    void end(event_id outcome, const std::string& detail);
    void refuse(const protocol::caller_error& ec);
    coordination::routed_request routed() const;
    std::int64_t charged_tokens() const;

    caller_services& services_;
    request_scope scope_;
    protocol::completion_kind kind_;
    std::shared_ptr<completion_session> self_; ///< Keeps the session alive until `end`.
    std::optional<state::key_digest> caller_key_;
    protocol::completion_request request_;
    std::string workspace_;
    std::string requested_weights_; ///< The weights that the document assigns to the model.
    std::int64_t prompt_tokens_ = 0;
    coordination::routed_request routed_request_;
    coordination::stream_relay relay_;
    coordination::admission_id ticket_ = 0;
    bool admitted_ = false;
    std::uint64_t queue_entry_ = 0; ///< 0 unless the request waits in the dispatch queue.
    int weight_ = 1;
    int attempts_ = 0;
    transport::instant attempt_start_;
    bool may_have_run_ = false;
    bool ended_ = false;
    std::shared_ptr<attempt_sink> sink_;
    std::unique_ptr<transport::http_call> call_;
    coordination::placement placement_;
    std::unique_ptr<protocol::sse_decoder> decoder_;
    std::unique_ptr<transport::timer> deadline_;
    bool first_token_seen_ = false; ///< Whether the current attempt returned a token.
    bool end_mark_seen_ = false;
    transport::instant last_token_time_;
    std::string response_text_;
    std::string finish_reason_;
    protocol::token_usage usage_;
};

} // namespace azureyoke::app
