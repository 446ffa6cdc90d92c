#include "azureyoke/src/transport/http_server.h"

#include <stdexcept>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "azureyoke/src/transport/socket_address.h"

namespace azureyoke::transport {

namespace internal {
namespace {

/// Bytes of a following request that a connection may buffer while an answer is under way.
constexpr std::size_t most_pipelined_bytes = 64 * 1024;
constexpr timeval write_timeout{60, 0};

const char* method_name(evhttp_cmd_type type) {
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

std::string take_all(evbuffer* buf) {
    std::string text(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, text.data(), text.size());
    return text;
}

http_request copy_request(evhttp_request* raw) {
    http_request made;
    made.method = method_name(evhttp_request_get_command(raw));
    made.target = evhttp_request_get_uri(raw);
    const evkeyvalq* fields = evhttp_request_get_input_headers(raw);
    for (const evkeyval* it = fields->tqh_first; it != nullptr; it = it->next.tqe_next)
        made.fields.push_back({it->key, it->value});
    made.body = take_all(evhttp_request_get_input_buffer(raw));
    return made;
}

void add_fields(evhttp_request* raw, const http_fields& fields) {
    evkeyvalq* out = evhttp_request_get_output_headers(raw);
    for (const auto& it : fields)
        evhttp_add_header(out, it.name.c_str(), it.value.c_str());
}

} // namespace
} // namespace internal

http_exchange::http_exchange(evhttp_request* request, event_loop& loop)
    : raw_(request), loop_(loop), request_(internal::copy_request(request)) {}

http_exchange::~http_exchange() = default;

// evhttp stops reading once the request is whole, so that it would learn of a client that leaves
// only from a failed write. Reading goes on here, into a bounded buffer and with no callback.
void http_exchange::watch_close() {
    evhttp_connection* connection = evhttp_request_get_connection(raw_);
    evhttp_connection_set_closecb(connection, &http_exchange::connection_closed, this);
    bufferevent* bev = evhttp_connection_get_bufferevent(connection);
    bufferevent_data_cb on_write = nullptr;
    bufferevent_event_cb on_event = nullptr;
    void* arg = nullptr;
    bufferevent_getcb(bev, nullptr, &on_write, &on_event, &arg);
    bufferevent_setcb(bev, nullptr, on_write, on_event, arg);
    bufferevent_setwatermark(bev, EV_READ, 0, internal::most_pipelined_bytes);
    bufferevent_set_timeouts(bev, nullptr, &internal::write_timeout);
    bufferevent_enable(bev, EV_READ);
    send_at_once(static_cast<int>(bufferevent_getfd(bev)));
}

void http_exchange::connection_closed(evhttp_connection* /*connection*/, void* self) {
    auto* it = static_cast<http_exchange*>(self);
    if (it->closed_)
        return;
    it->closed_ = true;
    if (it->ended_) {
        it->let_go(); // evhttp frees a request whose answer was ended
        return;
    }
    auto keep = it->self_;
    // libevent is inside its own teardown: the request is released from the loop.
    it->loop_.defer([keep] {
        if (keep->on_closed_)
            keep->on_closed_();
        keep->ended_ = true;
        evhttp_send_reply_end(keep->raw_); // frees a request whose connection has gone
        keep->let_go();
    });
}

void http_exchange::let_go() {
    raw_ = nullptr;
    gone_ = true;
    on_closed_ = nullptr;
    on_drained_ = nullptr;
    loop_.defer([keep = std::move(self_)] {});
}

void http_exchange::reply_sent(evhttp_request* raw, void* self) {
    auto* it = static_cast<http_exchange*>(self);
    evhttp_connection_set_closecb(evhttp_request_get_connection(raw), nullptr, nullptr);
    it->let_go();
}

/// After this the answer only waits to be written; the exchange stays until it is.
evhttp_request* http_exchange::begin_end() {
    ended_ = true;
    evhttp_request_set_on_complete_cb(raw_, &http_exchange::reply_sent, this);
    return raw_;
}

void http_exchange::add_head(const http_fields& fields) {
    internal::add_fields(raw_, fields);
    if (close_after_)
        internal::add_fields(raw_, {{"Connection", "close"}});
}

void http_exchange::reply(const http_response& response) {
    if (closed_ || ended_)
        return;
    add_head(response.fields);
    evbuffer* buf = evbuffer_new();
    evbuffer_add(buf, response.body.data(), response.body.size());
    started_ = true;
    evhttp_send_reply(begin_end(), response.status, nullptr, buf);
    evbuffer_free(buf);
}

void http_exchange::start(int status, const http_fields& fields) {
    if (closed_ || ended_)
        return;
    if (started_)
        throw std::logic_error("http_exchange::start: an answer starts only once");
    started_ = true;
    add_head(fields);
    evhttp_send_reply_start(raw_, status, nullptr);
}

void http_exchange::write(std::string_view piece) {
    if (closed_ || ended_ || piece.empty())
        return;
    if (!started_)
        throw std::logic_error("http_exchange::write: the answer must be started first");
    evbuffer* buf = evbuffer_new();
    evbuffer_add(buf, piece.data(), piece.size());
    evhttp_send_reply_chunk_with_cb(raw_, buf, &http_exchange::drained, this);
    evbuffer_free(buf);
}

void http_exchange::drained(evhttp_connection* /*connection*/, void* self) {
    auto* it = static_cast<http_exchange*>(self);
    if (it->on_drained_)
        it->on_drained_();
}

void http_exchange::end() {
    if (closed_ || ended_)
        return;
    on_drained_ = nullptr;
    evhttp_send_reply_end(begin_end());
}

void http_exchange::abort() {
    if (closed_ || ended_)
        return;
    evhttp_connection* connection = evhttp_request_get_connection(raw_);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    ended_ = true;
    let_go();
    evhttp_connection_free(connection); // frees the request too
}

std::size_t http_exchange::buffered_bytes() const {
    if (closed_ || ended_)
        return 0;
    bufferevent* bev = evhttp_connection_get_bufferevent(evhttp_request_get_connection(raw_));
    return evbuffer_get_length(bufferevent_get_output(bev));
}

http_server::http_server(event_loop& loop, const http_server_limits& limits, handler on_request)
    : loop_(loop), on_request_(std::move(on_request)), http_(evhttp_new(loop.base())) {
    // Bodies over the limit are read to their end and dropped: a client that is still sending would
    // see a reset in place of its 413.
    evhttp_set_flags(http_, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_max_headers_size(http_, static_cast<ev_ssize_t>(limits.header_bytes));
    evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(limits.body_bytes));
    evhttp_set_timeout(http_, static_cast<int>(limits.read_timeout.count()));
    evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                          EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                          EVHTTP_REQ_PATCH);
    evhttp_set_gencb(http_, &http_server::dispatch, this);
}

http_server::~http_server() {
    evhttp_free(http_);
}

void http_server::dispatch(evhttp_request* request, void* self) {
    auto* server = static_cast<http_server*>(self);
    auto exchange = std::make_shared<http_exchange>(request, server->loop_);
    exchange->self_ = exchange;
    exchange->watch_close();
    server->on_request_(std::move(exchange));
}

result<address> http_server::listen(const address& at) {
    socket_ = evhttp_bind_socket_with_handle(http_, at.ip.c_str(), at.port);
    if (socket_ == nullptr)
        return tl::unexpected(
            error{errc::bind_failed, "address " + to_string(at) + " is not free to bind", false});
    return bound_address(evhttp_bound_socket_get_fd(socket_));
}

void http_server::stop_accepting() {
    if (socket_ != nullptr)
        evhttp_del_accept_socket(http_, socket_);
    socket_ = nullptr;
}

} // namespace azureyoke::transport
