#include "azureyoke/src/transport/front_connection.h"

namespace azureyoke::transport {

namespace internal {
namespace {

/// Bytes of pipelined requests that a connection buffers while it sends an answer.
constexpr std::size_t max_pending_input_bytes = 256 * 1024;
/// Time that the caller has, after the end of the last answer, to read the answer and close its
/// side. The connection is closed then, even if output is still unsent.
constexpr duration max_linger = std::chrono::seconds(2);

} // namespace
} // namespace internal

front_connection::front_connection(front_server& server, int fd)
    : server_(server), stream_(server.loop_, fd, *this),
      reader_(http_reader_kind::requests, server.limits_.max_head_bytes, *this),
      wait_started_(server.loop_.now()) {}

front_connection::~front_connection() = default;

bool front_connection::closes_after_answer() const {
    return !keep_alive_ || server_.closing_;
}

void front_connection::on_bytes(std::string_view bytes) {
    if (closed_ || closing_)
        return;
    auto guard = shared_from_this();
    // Pending input without an open request is about to be parsed, and comes first.
    if (exchange_ != nullptr || !pending_input_.empty()) {
        if (pending_input_.size() + bytes.size() > internal::max_pending_input_bytes)
            close();
        else
            pending_input_.append(bytes);
        return;
    }
    consume(bytes);
}

void front_connection::consume(std::string_view bytes) {
    while (!bytes.empty() && !closed_ && !closing_) {
        if (exchange_ != nullptr) {
            pending_input_.append(bytes);
            return;
        }
        if (reader_.at_boundary())
            wait_started_ = server_.loop_.now();
        auto n = reader_.feed(bytes);
        bytes.remove_prefix(n);
        if (!reader_.failure().empty() && !closed_ && !closing_) {
            refuse(refusal_for_parse_failure());
            return;
        }
    }
}

void front_connection::on_head(http_head head) {
    head_ = std::move(head);
    body_.clear();
    keep_alive_ = head_.keep_alive;
    wait_started_ = server_.loop_.now();
    if (head_.length > server_.limits_.max_body_bytes) {
        refuse(front_refusal::body_too_large);
        return;
    }
    auto expect = find_field(head_.fields, "Expect");
    if (expect && equal_names(*expect, "100-continue"))
        stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
}

void front_connection::on_body(std::string_view piece) {
    if (closed_ || closing_)
        return;
    if (body_.size() + piece.size() > server_.limits_.max_body_bytes) {
        refuse(front_refusal::body_too_large);
        return;
    }
    body_.append(piece);
}

void front_connection::on_complete() {
    if (closed_ || closing_)
        return;
    wait_started_ = server_.loop_.now();
    http_request request{std::move(head_.method), std::move(head_.target), std::move(head_.fields),
                         std::exchange(body_, {})};
    exchange_ = std::make_shared<front_exchange>(*this, std::move(request), head_.supports_chunks,
                                                 wait_started_);
    head_ = {};
    auto exchange = exchange_;
    server_.on_request_(exchange);
}

void front_connection::answer_ended() {
    exchange_.reset();
    wait_started_ = server_.loop_.now();
    if (closes_after_answer()) {
        start_graceful_close();
        return;
    }
    if (pending_input_.empty())
        return;
    // The handler that sent the answer may still be on the stack, so the next request is parsed
    // from the loop.
    server_.loop_.defer([weak = weak_from_this()] {
        auto self = weak.lock();
        if (self == nullptr || self->exchange_ != nullptr)
            return;
        auto bytes = std::exchange(self->pending_input_, {});
        self->consume(bytes);
    });
}

front_refusal front_connection::refusal_for_parse_failure() const {
    if (reader_.head_too_large())
        return front_refusal::head_too_large;
    return reader_.ambiguous_length() ? front_refusal::ambiguous_length : front_refusal::malformed;
}

void front_connection::refuse(front_refusal reason) {
    keep_alive_ = false;
    http_response answer{refusal_status(reason), {}, {}};
    if (server_.render_)
        answer = server_.render_(reason);
    // A temporary exchange sends the refusal: no handler is notified when it ends, and the
    // connection closes afterwards.
    front_exchange once(*this, {}, true, wait_started_);
    once.reply(answer);
}

// Shuts down the output and waits for the caller to close. Closing a socket with unread input
// would reset the connection and could discard an answer that is still in transit.
void front_connection::start_graceful_close() {
    closing_ = true;
    wait_started_ = server_.loop_.now();
    stream_.shutdown_output();
}

void front_connection::on_drained() {
    if (exchange_ != nullptr && exchange_->on_drained_) {
        auto callback = exchange_->on_drained_;
        callback();
    }
}

void front_connection::on_end(bool reset) {
    if (exchange_ != nullptr)
        exchange_->was_reset_ = reset;
    close();
}

void front_connection::close() {
    if (closed_)
        return;
    closed_ = true;
    auto guard = shared_from_this();
    server_.remove(this);
    if (exchange_ != nullptr) {
        auto exchange = std::move(exchange_);
        // The end of the connection would look like the end of such an answer.
        if (exchange->started_ && exchange->ends_by_close_)
            reset_on_close();
        exchange->connection_ = nullptr;
        exchange->on_ending_ = nullptr;
        exchange->on_drained_ = nullptr;
        if (auto callback = std::exchange(exchange->on_closed_, nullptr))
            callback();
    }
    server_.loop_.defer([guard] {});
}

void front_connection::end_answer() {
    auto exchange = exchange_;
    if (exchange == nullptr)
        return;
    if (auto callback = std::exchange(exchange->on_ending_, nullptr))
        callback();
}

void front_connection::enforce_timeouts(instant now) {
    auto waited = now - wait_started_;
    if (closing_) {
        if (waited >= internal::max_linger)
            close();
        return;
    }
    if (exchange_ != nullptr)
        return;
    if (reader_.at_boundary()) {
        if (waited >= server_.limits_.idle_timeout)
            close();
        return;
    }
    bool in_head = !reader_.head_complete();
    if (waited >= (in_head ? server_.limits_.head_timeout : server_.limits_.body_timeout))
        refuse(front_refusal::too_slow);
}

} // namespace azureyoke::transport
