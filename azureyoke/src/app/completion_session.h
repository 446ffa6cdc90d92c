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
/// Keeps itself alive until the request has ended. Not thread safe.
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
    void on_admission(const coordination::share_outcome& outcome);
    void enqueue();
    void on_turn();
    void dispatch();
    void send_to(const coordination::placement& made);
    std::string weights_for(coordination::replica_number replica) const;
    void on_engine_head(int status);
    void on_engine_data(std::string_view piece);
    void on_engine_event(const std::string& data);
    void on_engine_end();
    void attempt_failed(const std::string& why, bool bytes_left);
    void retry_or_end(const std::string& why);
    void send_token(const protocol::engine_event& event);
    void finish_answer();
    void on_caller_gone();
    void apply_backpressure();
    void end(event_id how, const std::string& detail);
    void refuse(const protocol::caller_error& ec);
    coordination::routed_request routed() const;
    std::int64_t used_tokens() const;

    caller_services& services_;
    request_scope scope_;
    protocol::completion_kind kind_;
    std::shared_ptr<completion_session> self_;
    std::optional<state::key_digest> key_;
    protocol::completion_request request_;
    std::string workspace_;
    std::string weights_; ///< As the document names them.
    std::int64_t prompt_tokens_ = 0;
    coordination::routed_request routing_;
    coordination::stream_relay relay_;
    coordination::ticket_number ticket_ = 0;
    bool admitted_ = false;
    std::uint64_t queue_number_ = 0; ///< 0 while it does not wait for a replica.
    int weight_ = 1;
    int attempts_ = 0;
    transport::instant attempt_began_;
    bool maybe_ran_ = false;
    bool ended_ = false;
    std::shared_ptr<attempt_sink> sink_;
    std::unique_ptr<transport::http_call> call_;
    coordination::placement placed_;
    std::unique_ptr<protocol::sse_decoder> decoder_;
    std::unique_ptr<transport::timer> deadline_;
    bool first_token_seen_ = false; ///< Of the current attempt.
    bool end_mark_ = false;
    transport::instant last_token_;
    std::string whole_text_;
    std::string finish_reason_;
    protocol::token_usage usage_;
};

} // namespace azureyoke::app
