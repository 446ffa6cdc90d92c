#include "azureyoke/src/transport/front_connection.h"

#include <algorithm>

namespace azureyoke::transport {

namespace internal {
namespace {

/// Bytes of pipelined requests that a connection buffers while it sends an
/// answer. Reading pauses beyond it.
constexpr std::size_t max_pending_input_bytes = 256 * 1024;
/// Bytes of chunk headers, extensions and trailers that a body may have for
/// each of its own bytes. Chunks of one byte have 5, and 8 if their size is
/// written in four digits.
constexpr std::uint64_t max_framing_ratio = 16;
/// Input that is discarded after a refusal while the connection stays, in bodies of the largest
/// size.
constexpr std::uint64_t max_discarded_bodies = 16;
/// Time that the caller has, after the end of the last answer, to read the
/// answer and close its side. The connection is closed then, even if output is
/// still unsent.
constexpr duration max_linger = std::chrono::seconds(2);

} // namespace
} // namespace internal

front_connection::front_connection(front_server& server, int fd)
    : server_(server), stream_(server.loop_, fd, *this),
      reader_(http_reader_kind::requests, server.limits_.max_head_bytes, *this),
      held_(server.memory_.budget(), held_kind::request), wait_started_(server.loop_.now()) {}

front_connection::~front_connection() = default;

bool front_connection::closes_after_answer() const {
    return !keep_alive_ || server_.closing_;
}

void front_connection::on_bytes(std::string_view bytes) {
    if (closed_)
        return;
    if (closing_) {
        discard(bytes.size());
        return;
    }
    auto guard = shared_from_this();
    // Pending input without an open request is about to be parsed, and comes first.
    if (exchange_ != nullptr || !pending_input_.empty()) {
        keep_pending(bytes);
        return;
    }
    consume(bytes);
}

// A caller may send further requests of any size ahead. What does not fit waits
// at the caller.
void front_connection::keep_pending(std::string_view bytes) {
    if (stream_.write_failed())
        return; // nobody waits for the answers
    pending_input_.append(bytes);
    bool may = held_.set(held_.held() + bytes.size());
    if (!may || pending_input_.size() >= internal::max_pending_input_bytes)
        stream_.pause(true);
}

bool front_connection::may_hold(std::size_t bytes) {
    bool may = held_.set(bytes) || held_.others_hold_little();
    if (bytes <= byte_account::guaranteed_bytes)
        return true;
    server_.memory_.add(*this);
    return may || server_.memory_.make_room(*this, server_.loop_.now());
}

bool front_connection::reserve_body(std::size_t bytes) {
    auto capacity = body_.capacity();
    if (bytes <= capacity)
        return true;
    // No more is reserved than the body may have; the length is not believed
    // before it comes.
    auto most =
        head_.framing == http_framing::length ? head_.length : server_.limits_.max_body_bytes;
    auto wanted = std::max(bytes, std::min<std::size_t>(2 * capacity, most));
    if (!may_hold(head_bytes_ + wanted)) {
        refuse(front_refusal::no_memory);
        return false;
    }
    body_.reserve(wanted);
    return true;
}

bool front_connection::framing_in_proportion() const {
    return received_bytes_ <=
           (internal::max_framing_ratio + 1) * body_bytes_ + server_.limits_.max_head_bytes;
}

void front_connection::end_for_memory() {
    refuse(front_refusal::no_memory);
}

void front_connection::release_input() {
    server_.memory_.remove(*this);
    // Assigning an empty text would keep the memory.
    std::string().swap(body_);
    std::string().swap(pending_input_);
    head_ = {};
    reader_.release_head();
    head_bytes_ = 0;
    copy_bytes_ = 0;
    (void)held_.set(0);
}

void front_connection::consume(std::string_view bytes) {
    while (!bytes.empty() && !closed_ && !closing_) {
        if (exchange_ != nullptr) {
            keep_pending(bytes);
            return;
        }
        if (reader_.at_boundary()) {
            wait_started_ = server_.loop_.now();
            request_began_ = wait_started_;
        }
        bool in_body = reader_.head_complete();
        auto n = reader_.feed(bytes);
        bytes.remove_prefix(n);
        if (closed_ || closing_)
            return;
        received_bytes_ += in_body ? n : 0;
        if (!reader_.at_boundary() && !reader_.head_complete() &&
            !may_hold(reader_.held_head_bytes())) {
            refuse(front_refusal::no_memory);
            return;
        }
        // A request that has come whole is with its handler, or answered.
        bool incomplete = in_body && !reader_.at_boundary() && reader_.failure().empty();
        if (incomplete && !framing_in_proportion()) {
            refuse(front_refusal::framing_too_large);
            return;
        }
        if (!reader_.failure().empty() && !closed_ && !closing_) {
            refuse(refusal_for_parse_failure());
            return;
        }
    }
}

void front_connection::on_head(http_head head) {
    head_ = std::move(head);
    body_.clear();
    received_bytes_ = 0;
    body_bytes_ = 0;
    head_bytes_ = memory_of(head_.fields) + head_.target.capacity();
    keep_alive_ = head_.keep_alive;
    wait_started_ = server_.loop_.now();
    if (head_.length > server_.limits_.max_body_bytes) {
        refuse(front_refusal::body_too_large);
        return;
    }
    if (!may_hold(head_bytes_ + body_.capacity())) {
        refuse(front_refusal::no_memory);
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
    body_bytes_ += piece.size();
    if (reserve_body(body_.size() + piece.size()))
        body_.append(piece);
}

void front_connection::on_complete() {
    if (closed_ || closing_)
        return;
    wait_started_ = server_.loop_.now();
    // The body is copied once more, into the output to the server.
    if (!may_hold(head_bytes_ + body_.capacity() + body_.size())) {
        refuse(front_refusal::no_memory);
        return;
    }
    copy_bytes_ = body_.size();
    server_.memory_.remove(*this);
    http_request request{std::move(head_.method), std::move(head_.target), std::move(head_.fields),
                         std::exchange(body_, {})};
    exchange_ = std::make_shared<front_exchange>(*this, std::move(request), head_.supports_chunks,
                                                 wait_started_);
    head_ = {};
    auto exchange = exchange_;
    server_.on_request_(exchange);
}

bool front_connection::hold_copy() {
    if (exchange_ == nullptr || copy_bytes_ > 0)
        return true;
    auto bytes = exchange_->request().body.size();
    auto before = held_.held();
    bool may = may_hold(before + bytes);
    server_.memory_.remove(*this); // the request has come whole
    if (may)
        copy_bytes_ = bytes;
    else
        (void)held_.set(before);
    return may;
}

void front_connection::release_copy() {
    (void)held_.set(held_.held() - std::exchange(copy_bytes_, 0));
}

void front_connection::answer_ended() {
    exchange_.reset();
    copy_bytes_ = 0;
    wait_started_ = server_.loop_.now();
    (void)held_.set(pending_input_.capacity());
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
        self->stream_.pause(false);
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
    release_input();
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
    closing_since_ = wait_started_;
    release_input();
    stream_.pause(false); // input is discarded
    stream_.shutdown_output();
}

// Many callers read their answer only after they have sent the whole request. As long as bytes of a
// refused body come, the connection stays, within the time for a body and some bodies' bytes,
// unless the server is about to end.
void front_connection::discard(std::size_t bytes) {
    auto now = server_.loop_.now();
    discarded_bytes_ += bytes;
    if (!server_.closing_ &&
        discarded_bytes_ <= internal::max_discarded_bodies * server_.limits_.max_body_bytes &&
        now - closing_since_ < server_.limits_.body_timeout)
        wait_started_ = now;
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
    release_input(); // the server may end before this object
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
    if (exchange_ != nullptr) {
        stream_.check_paused_end();
        return;
    }
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
