#include "azureyoke/src/transport/http_client.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "azureyoke/src/transport/answer_completion.h"
#include "azureyoke/src/transport/socket_address.h"

namespace azureyoke::transport {

namespace internal {
namespace {

evhttp_cmd_type command_of(const std::string& method) {
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    if (method == "OPTIONS")
        return EVHTTP_REQ_OPTIONS;
    return EVHTTP_REQ_GET;
}

http_fields copy_fields(const evkeyvalq* list) {
    http_fields fields;
    for (const evkeyval* it = list->tqh_first; it != nullptr; it = it->next.tqe_next)
        fields.push_back({it->key, it->value});
    return fields;
}

} // namespace
} // namespace internal

struct http_call::state : std::enable_shared_from_this<http_call::state> {
    http_client& client;
    address to;
    std::shared_ptr<http_response_sink> sink;
    evhttp_connection* connection = nullptr;
    std::unique_ptr<timer> deadline;
    std::size_t received = 0;
    bool reusable = false;
    /// At least one byte of the request was passed to the kernel.
    bool may_have_sent_bytes = false;
    bool head_received = false;
    bool done = false;
    bool paused = false;
    bool failed = false;
    int interim_answers = 0;

    state(http_client& owner, address peer, std::shared_ptr<http_response_sink> receiver)
        : client(owner), to(std::move(peer)), sink(std::move(receiver)) {
        client.active_calls_.insert(this);
    }

    evhttp_connection* detach() {
        done = true;
        deadline.reset();
        client.active_calls_.erase(this);
        evhttp_connection* it = std::exchange(connection, nullptr);
        bufferevent* bev = evhttp_connection_get_bufferevent(it);
        evbuffer_remove_cb(bufferevent_get_output(bev), &state::on_output_changed, this);
        return it;
    }

    void set_deadline(duration wait, errc code, const char* message) {
        deadline = client.loop_.after(wait, [this, code, message] { fail(code, message); });
    }

    /// Cancels the call. An evhttp callback may be on the stack, so the connection and its request
    /// are freed later, from the loop. Until then the connection neither reads nor writes, and
    /// this state is kept alive for callbacks that evhttp may still make.
    void cancel() {
        evhttp_connection* it = detach();
        bufferevent_disable(evhttp_connection_get_bufferevent(it), EV_READ | EV_WRITE);
        client.release(to, it, false);
        client.loop_.defer([guard = shared_from_this()] {});
    }

    void fail(errc code, std::string message) {
        if (done)
            return;
        auto guard = shared_from_this();
        bool any_sent = may_have_sent_bytes;
        cancel();
        sink->on_failure({code, std::move(message), any_sent});
    }

    static void on_output_changed(evbuffer* /*buf*/, const evbuffer_cb_info* info, void* self) {
        auto* it = static_cast<state*>(self);
        if (info->n_deleted == 0 || it->may_have_sent_bytes)
            return;
        it->may_have_sent_bytes = true;
        it->set_deadline(it->client.limits_.first_byte_timeout, errc::timed_out,
                         "no answer began in time");
    }

    static int on_header_done(evhttp_request* request, void* self) {
        auto* it = static_cast<state*>(self);
        if (it->done)
            return 0;
        auto guard = it->shared_from_this();
        auto status = evhttp_request_get_response_code(request);
        if (answer_completion::is_interim(status)) {
            it->skip_interim(request);
            return 0;
        }
        if (!answer_completion::is_final(status)) {
            it->fail(errc::invalid_answer,
                     "the answer has the invalid status " + std::to_string(status));
            return 0;
        }
        it->head_received = true;
        it->restart_idle_timer();
        it->sink->on_head(status, internal::copy_fields(evhttp_request_get_input_headers(request)));
        return 0;
    }

    /// Makes evhttp read on after an interim answer, which it does by itself only after 100.
    void skip_interim(evhttp_request* request) {
        if (++interim_answers > answer_completion::max_interim_answers) {
            fail(errc::invalid_answer, "interim answers without end");
            return;
        }
        constexpr int interim_continue = 100;
        request->response_code = interim_continue;
        evhttp_clear_headers(evhttp_request_get_input_headers(request));
    }

    void restart_idle_timer() {
        if (!paused)
            set_deadline(client.limits_.idle_timeout, errc::timed_out,
                         "the answer stopped part way");
    }

    static void on_piece_ready(evhttp_request* request, void* self) {
        auto* it = static_cast<state*>(self);
        if (it->done)
            return;
        evbuffer* buf = evhttp_request_get_input_buffer(request);
        std::string piece(evbuffer_get_length(buf), '\0');
        evbuffer_remove(buf, piece.data(), piece.size());
        it->received += piece.size();
        it->restart_idle_timer();
        auto guard = it->shared_from_this();
        it->sink->on_piece(piece);
    }

    static void on_request_failed(evhttp_request_error /*ec*/, void* self) {
        static_cast<state*>(self)->reusable = false;
        static_cast<state*>(self)->failed = true;
    }

    static void on_request_done(evhttp_request* request, void* self) {
        auto* it = static_cast<state*>(self);
        if (it->done)
            return;
        auto guard = it->shared_from_this();
        it->complete(request);
    }

    void complete(evhttp_request* answer) {
        bool complete_answer = answer != nullptr && !failed && head_received &&
                               evhttp_request_get_response_code(answer) != 0;
        bool any_sent = may_have_sent_bytes;
        std::string remaining_body;
        if (complete_answer) {
            evbuffer* buf = evhttp_request_get_input_buffer(answer);
            remaining_body.resize(evbuffer_get_length(buf));
            evbuffer_remove(buf, remaining_body.data(), remaining_body.size());
        }
        client.release(to, detach(), complete_answer && reusable);
        if (!complete_answer) {
            sink->on_failure({any_sent ? errc::connection_lost : errc::connect_failed,
                              any_sent ? "connection lost before the answer was whole"
                                       : "no connection to " + to_string(to),
                              any_sent});
            return;
        }
        if (!remaining_body.empty())
            sink->on_piece(remaining_body);
        sink->on_end();
    }
};

http_call::http_call(http_client& client, const address& to, const http_request& request,
                     bool reuse, std::shared_ptr<http_response_sink> sink)
    : state_(std::make_shared<state>(client, to, std::move(sink))) {
    state* it = state_.get();
    it->reusable = reuse;
    it->connection = client.acquire(to, reuse);
    evhttp_request* raw = evhttp_request_new(&state::on_request_done, it);
    evhttp_request_set_header_cb(raw, &state::on_header_done);
    evhttp_request_set_chunked_cb(raw, &state::on_piece_ready);
    evhttp_request_set_error_cb(raw, &state::on_request_failed);
    evkeyvalq* out = evhttp_request_get_output_headers(raw);
    evhttp_add_header(out, "Host", to_string(to).c_str());
    for (const auto& field : request.fields)
        evhttp_add_header(out, field.name.c_str(), field.value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(), request.body.size());
    evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(it->connection)),
                    &state::on_output_changed, it);
    it->set_deadline(client.limits_.connect_timeout, errc::timed_out, "no connection in time");
    // On failure evhttp frees the request, and the connect deadline reports the failure.
    (void)evhttp_make_request(it->connection, raw, internal::command_of(request.method),
                              request.target.c_str());
    disable_nagle(
        static_cast<int>(bufferevent_getfd(evhttp_connection_get_bufferevent(it->connection))));
}

http_call::~http_call() {
    if (!state_->done)
        state_->cancel();
}

void http_call::pause(bool paused) {
    if (state_->done || state_->paused == paused)
        return;
    state_->paused = paused;
    bufferevent* bev = evhttp_connection_get_bufferevent(state_->connection);
    if (paused) {
        bufferevent_disable(bev, EV_READ);
        state_->deadline.reset();
        return;
    }
    bufferevent_enable(bev, EV_READ);
    state_->restart_idle_timer();
}

http_client::http_client(event_loop& loop, const http_client_limits& limits)
    : loop_(loop), limits_(limits), self_(std::make_shared<http_client*>(this)) {}

http_client::~http_client() {
    *self_ = nullptr;
    auto active_calls = active_calls_;
    for (auto* it : active_calls) {
        // The sink may own the call and thereby this state, so it is destroyed last.
        auto sink = std::move(it->sink);
        evhttp_connection_free(it->detach());
    }
    for (auto* it : releasing_)
        evhttp_connection_free(it);
    for (auto& [at, list] : idle_) {
        for (auto* it : list)
            evhttp_connection_free(it);
    }
}

evhttp_connection* http_client::acquire(const address& to, bool reuse) {
    auto& list = idle_[to];
    if (reuse && !list.empty()) {
        evhttp_connection* it = list.back();
        list.pop_back();
        evhttp_connection_set_closecb(it, nullptr, nullptr);
        return it;
    }
    evhttp_connection* it =
        evhttp_connection_base_new(loop_.base(), nullptr, to.ip.c_str(), to.port);
    evhttp_connection_set_max_headers_size(it, static_cast<ev_ssize_t>(limits_.max_header_bytes));
    evhttp_connection_set_max_body_size(it, static_cast<ev_ssize_t>(limits_.max_body_bytes));
    // Effectively disables evhttp's own timeout: http_call enforces all deadlines.
    evhttp_connection_set_timeout(it, 24 * 3600);
    return it;
}

void http_client::release(const address& to, evhttp_connection* connection, bool reusable) {
    releasing_.insert(connection);
    loop_.defer([self = self_, to, connection, reusable] {
        if (*self != nullptr)
            (*self)->finish_release(to, connection, reusable);
    });
}

void http_client::finish_release(const address& to, evhttp_connection* connection, bool reusable) {
    releasing_.erase(connection);
    auto& list = idle_[to];
    if (reusable && list.size() < limits_.max_idle_connections)
        list.push_back(connection);
    else
        evhttp_connection_free(connection);
}

std::unique_ptr<http_call> http_client::send(const address& to, const http_request& request,
                                             bool reuse, std::shared_ptr<http_response_sink> sink) {
    return std::make_unique<http_call>(*this, to, request, reuse, std::move(sink));
}

namespace internal {
namespace {

/// Buffers one answer. Owns its call until the answer has ended.
class collecting_sink : public http_response_sink {
public:
    explicit collecting_sink(event_loop& loop, std::function<void(result<http_response>)> done)
        : loop_(loop), done_(std::move(done)) {}

    void set_call(std::unique_ptr<http_call> call) { call_ = std::move(call); }

    void on_head(int status, const http_fields& fields) override {
        response_.status = status;
        response_.fields = fields;
    }

    void on_piece(std::string_view piece) override { response_.body.append(piece); }

    void on_end() override { finish(std::move(response_)); }

    void on_failure(const error& ec) override { finish(tl::unexpected(ec)); }

private:
    void finish(result<http_response> answer) {
        // The call owns this sink. Releasing the call from the loop keeps both alive until this
        // function has returned.
        loop_.defer([call = std::shared_ptr<http_call>(std::move(call_))] {});
        done_(std::move(answer));
    }

    event_loop& loop_;
    std::function<void(result<http_response>)> done_;
    http_response response_;
    std::unique_ptr<http_call> call_;
};

} // namespace
} // namespace internal

void http_client::fetch(const address& to, const http_request& request,
                        std::function<void(result<http_response>)> done, bool reuse) {
    auto sink = std::make_shared<internal::collecting_sink>(loop_, std::move(done));
    sink->set_call(send(to, request, reuse, sink));
}

} // namespace azureyoke::transport
