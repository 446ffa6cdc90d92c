#include "azureyoke/src/transport/front_connection.h"

namespace azureyoke::transport {

namespace internal {
namespace {

/// Bytes of following requests that a connection may hold while an answer is under way.
constexpr std::size_t most_waiting_bytes = 256 * 1024;
constexpr duration most_linger = std::chrono::seconds(2);

} // namespace
} // namespace internal

front_connection::front_connection(front_server& server, int fd)
    : server_(server), stream_(server.loop_, fd, *this),
      reader_(http_reader_kind::requests, server.limits_.head_bytes, *this),
      since_(server.loop_.now()) {}

front_connection::~front_connection() = default;

bool front_connection::closes_after_answer() const {
    return !keep_alive_ || server_.closing_;
}

void front_connection::on_bytes(std::string_view bytes) {
    if (closed_ || closing_)
        return;
    auto keep = shared_from_this();
    if (exchange_ != nullptr) {
        if (waiting_.size() + bytes.size() > internal::most_waiting_bytes)
            close();
        else
            waiting_.append(bytes);
        return;
    }
    consume(bytes);
}

void front_connection::consume(std::string_view bytes) {
    while (!bytes.empty() && !closed_ && !closing_) {
        if (exchange_ != nullptr) {
            waiting_.append(bytes);
            return;
        }
        if (reader_.at_boundary())
            since_ = server_.loop_.now();
        auto n = reader_.feed(bytes);
        bytes.remove_prefix(n);
        if (!reader_.failure().empty() && !closed_ && !closing_) {
            refuse(why_unreadable());
            return;
        }
    }
}

void front_connection::on_head(http_head head) {
    head_ = std::move(head);
    body_.clear();
    keep_alive_ = head_.keep_alive;
    since_ = server_.loop_.now();
    if (head_.length > server_.limits_.body_bytes) {
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
    if (body_.size() + piece.size() > server_.limits_.body_bytes) {
        refuse(front_refusal::body_too_large);
        return;
    }
    body_.append(piece);
}

void front_connection::on_complete() {
    if (closed_ || closing_)
        return;
    since_ = server_.loop_.now();
    http_request request{std::move(head_.method), std::move(head_.target), std::move(head_.fields),
                         std::exchange(body_, {})};
    exchange_ = std::make_shared<front_exchange>(*this, std::move(request), head_.chunks, since_);
    head_ = {};
    auto exchange = exchange_;
    server_.on_request_(exchange);
}

void front_connection::answer_ended() {
    exchange_.reset();
    since_ = server_.loop_.now();
    if (closes_after_answer()) {
        finish_closing();
        return;
    }
    if (waiting_.empty())
        return;
    // Called from within the answer: the next request is read from the loop.
    server_.loop_.defer([weak = weak_from_this()] {
        auto self = weak.lock();
        if (self == nullptr || self->exchange_ != nullptr)
            return;
        auto bytes = std::exchange(self->waiting_, {});
        self->consume(bytes);
    });
}

front_refusal front_connection::why_unreadable() const {
    if (reader_.head_too_large())
        return front_refusal::head_too_large;
    return reader_.ambiguous_length() ? front_refusal::ambiguous_length : front_refusal::malformed;
}

void front_connection::refuse(front_refusal why) {
    keep_alive_ = false;
    http_response answer{status_of(why), {}, {}};
    if (server_.render_)
        answer = server_.render_(why);
    // It answers no exchange: nobody is told of its end, and the connection closes after it.
    front_exchange once(*this, {}, true, since_);
    once.reply(answer);
}

// The peer closes first where it can: a close with unread bytes would reset the connection and
// lose the answer on its way.
void front_connection::finish_closing() {
    closing_ = true;
    since_ = server_.loop_.now();
    stream_.end_output();
}

void front_connection::on_drained() {
    if (exchange_ != nullptr && exchange_->on_drained_) {
        auto call = exchange_->on_drained_;
        call();
    }
}

void front_connection::on_end(bool /*reset*/) {
    close();
}

void front_connection::close() {
    if (closed_)
        return;
    closed_ = true;
    auto keep = shared_from_this();
    server_.drop(this);
    if (exchange_ != nullptr) {
        auto exchange = std::move(exchange_);
        exchange->connection_ = nullptr;
        exchange->on_drained_ = nullptr;
        if (auto call = std::exchange(exchange->on_closed_, nullptr))
            call();
    }
    server_.loop_.defer([keep] {});
}

void front_connection::check_time(instant now) {
    auto waited = now - since_;
    if (closing_) {
        if (waited >= internal::most_linger)
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
