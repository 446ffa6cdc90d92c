#include "azureyoke/src/transport/front_server.h"

#include <array>
#include <charconv>

#include <unistd.h>

#include "azureyoke/src/transport/front_connection.h"

namespace azureyoke::transport {

namespace internal {
namespace {

/// Interval at which the connections' timeouts are checked.
constexpr duration sweep_period = std::chrono::milliseconds(500);
/// A connection that is idle for less than this may carry a request that was not read yet.
constexpr duration min_idle_time = std::chrono::milliseconds(100);
/// New connections wait this long for a place. After that they are closed, so that their callers
/// can go elsewhere.
constexpr duration max_accept_wait = std::chrono::milliseconds(500);

const char* reason_phrase(int status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string render_head(int status, const http_fields& fields, bool close) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
    append_fields(out, fields);
    if (close)
        out += "Connection: close\r\n";
    return out;
}

bool has_no_body(int status) {
    return status == 204 || status == 304;
}

std::string to_hex(std::size_t n) {
    std::array<char, 20> digits{};
    auto end = std::to_chars(digits.data(), digits.data() + digits.size(), n, 16).ptr;
    return {digits.data(), end};
}

} // namespace
} // namespace internal

front_exchange::front_exchange(front_connection& connection, http_request request,
                               bool accepts_chunks, instant received)
    : connection_(&connection), request_(std::move(request)), accepts_chunks_(accepts_chunks),
      received_(received) {}

front_connection* front_exchange::detach() {
    on_closed_ = nullptr;
    on_ending_ = nullptr;
    on_drained_ = nullptr;
    return std::exchange(connection_, nullptr);
}

void front_exchange::reply(const http_response& answer) {
    if (finished())
        return;
    started_ = true;
    auto connection_field = find_field(answer.fields, "Connection");
    if (connection_field && equal_names(*connection_field, "close"))
        connection_->close_after_answer();
    bool close = connection_->closes_after_answer() && !connection_field;
    auto out = internal::render_head(answer.status, answer.fields, close);
    if (!internal::has_no_body(answer.status))
        out += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    out += "\r\n";
    if (request_.method != "HEAD")
        out += answer.body;
    connection_->write(out);
    detach()->answer_ended();
}

void front_exchange::start(int status, const http_fields& fields,
                           std::optional<std::uint64_t> length) {
    if (finished())
        return;
    started_ = true;
    auto out = internal::render_head(status, fields, connection_->closes_after_answer());
    sends_chunks_ = !length && accepts_chunks_ && !internal::has_no_body(status);
    if (sends_chunks_)
        out += "Transfer-Encoding: chunked\r\n";
    else if (length)
        out += "Content-Length: " + std::to_string(*length) + "\r\n";
    ends_by_close_ = !sends_chunks_ && !length;
    out += "\r\n";
    connection_->write(out);
}

void front_exchange::write(std::string_view piece) {
    if (finished() || piece.empty() || request_.method == "HEAD")
        return;
    if (!sends_chunks_) {
        connection_->write(piece);
        return;
    }
    std::string out = internal::to_hex(piece.size()) + "\r\n";
    out.append(piece);
    out += "\r\n";
    connection_->write(out);
}

void front_exchange::end() {
    if (finished())
        return;
    if (sends_chunks_ && request_.method != "HEAD")
        connection_->write("0\r\n\r\n");
    detach()->answer_ended();
}

void front_exchange::abort() {
    if (finished())
        return;
    if (ends_by_close_)
        connection_->reset_on_close();
    detach()->close();
}

bool front_exchange::hold_copy() {
    return finished() || connection_->hold_copy();
}

void front_exchange::release_copy() {
    if (!finished())
        connection_->release_copy();
}

std::size_t front_exchange::unwritten() const {
    return finished() ? 0 : connection_->unwritten();
}

std::size_t front_exchange::held_output() const {
    return finished() ? 0 : connection_->held_output();
}

const char* name_of(connection_shortage what) {
    switch (what) {
    case connection_shortage::idle_closed:
        return "idle_closed";
    case connection_shortage::left_waiting:
        return "left_waiting";
    case connection_shortage::new_closed:
        return "new_closed";
    case connection_shortage::no_descriptor:
        return "no_descriptor";
    }
    return "unnamed";
}

const char* name_of(front_refusal reason) {
    switch (reason) {
    case front_refusal::malformed:
        return "malformed";
    case front_refusal::ambiguous_length:
        return "ambiguous_length";
    case front_refusal::head_too_large:
        return "head_too_large";
    case front_refusal::body_too_large:
        return "body_too_large";
    case front_refusal::framing_too_large:
        return "framing_too_large";
    case front_refusal::too_slow:
        return "too_slow";
    case front_refusal::no_memory:
        return "no_memory";
    }
    return "unnamed";
}

int refusal_status(front_refusal reason) {
    switch (reason) {
    case front_refusal::head_too_large:
    case front_refusal::framing_too_large:
        return 431;
    case front_refusal::body_too_large:
        return 413;
    case front_refusal::too_slow:
        return 408;
    case front_refusal::no_memory:
        return 503;
    case front_refusal::malformed:
    case front_refusal::ambiguous_length:
        return 400;
    }
    return 400;
}

const char* refusal_reason(front_refusal reason) {
    switch (reason) {
    case front_refusal::malformed:
        return "the request is not HTTP/1.1";
    case front_refusal::ambiguous_length:
        return "the request states its length more than once";
    case front_refusal::head_too_large:
        return "the head, a chunk's extension or the trailer is larger than the limit";
    case front_refusal::body_too_large:
        return "the body is larger than the limit";
    case front_refusal::framing_too_large:
        return "the chunks' framing is many times as large as the body";
    case front_refusal::too_slow:
        return "the request did not come whole in time";
    case front_refusal::no_memory:
        return "this instance has no memory for a request of this size now";
    }
    return "the request could not be read";
}

front_server::front_server(event_loop& loop, const front_limits& limits, handler on_request,
                           refusal_renderer render, shortage_handler on_shortage,
                           request_memory* memory)
    : loop_(loop), limits_(limits), memory_(memory == nullptr ? own_memory_ : *memory),
      on_request_(std::move(on_request)), render_(std::move(render)),
      on_shortage_(std::move(on_shortage)), listener_(
                                                loop, [this](int fd) { accept(fd); }, this) {}

front_server::~front_server() {
    auto connections = std::exchange(connections_, {});
    for (auto& [raw, it] : connections)
        it->close();
}

result<address> front_server::listen(const address& at) {
    sweep_timer_ = loop_.every(internal::sweep_period, [this] { check_connections(); });
    return listener_.listen(at);
}

void front_server::report(connection_shortage what) const {
    if (on_shortage_)
        on_shortage_(what);
}

bool front_server::close_longest_idle() {
    front_connection* longest = nullptr;
    for (const auto& [raw, it] : connections_) {
        if (!it->busy() && (longest == nullptr || it->wait_started() < longest->wait_started()))
            longest = raw;
    }
    if (longest == nullptr || loop_.now() - longest->wait_started() < internal::min_idle_time)
        return false;
    longest->close();
    return true;
}

bool front_server::may_accept() {
    bool may = has_room();
    if (!may && close_longest_idle()) {
        report(connection_shortage::idle_closed);
        may = true;
    }
    if (may) {
        crowded_since_.reset();
        return true;
    }
    if (!crowded_since_) {
        crowded_since_ = loop_.now();
        report(connection_shortage::left_waiting);
    }
    return loop_.now() - *crowded_since_ >= internal::max_accept_wait;
}

void front_server::on_shortage() {
    (void)close_longest_idle();
    report(connection_shortage::no_descriptor);
}

void front_server::accept(int fd) {
    if (!has_room()) {
        ::close(fd); // unread: the caller knows that its request did not run
        report(connection_shortage::new_closed);
        return;
    }
    auto accepted = std::make_shared<front_connection>(*this, fd);
    connections_.emplace(accepted.get(), accepted);
}

void front_server::check_connections() {
    auto now = loop_.now();
    auto connections = connections_; // copied, since a check may remove its connection
    for (auto& [raw, it] : connections)
        it->enforce_timeouts(now);
}

void front_server::remove(front_connection* connection) {
    connections_.erase(connection);
}

void front_server::end_answers() {
    auto connections = connections_; // copied, since an answer that ends may close its connection
    for (auto& [raw, it] : connections)
        it->end_answer();
}

void front_server::close_idle() {
    auto connections = connections_; // copied, since close() removes the connection
    for (auto& [raw, it] : connections) {
        if (!it->busy() && !it->closing())
            it->close();
    }
}

std::size_t front_server::busy_connections() const {
    std::size_t n = 0;
    for (const auto& [raw, it] : connections_)
        n += it->busy() ? 1 : 0;
    return n;
}

} // namespace azureyoke::transport
