#include "azureyoke/src/transport/kj_loop.h"

#include <cerrno>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <kj/debug.h>

#include "azureyoke/src/transport/socket_address.h"

namespace azureyoke::transport {

/// Makes KJ wait for events in the libevent loop and run its own work from that loop.
class kj_loop::event_port final : public kj::EventPort {
public:
    event_port(event_loop& loop, kj_loop& owner) : loop_(loop), owner_(owner) {}

    bool wait() override {
        loop_.run_once(true);
        return false;
    }

    bool poll() override {
        loop_.run_once(false);
        return false;
    }

    void setRunnable(bool runnable) override {
        if (!runnable || scheduled_)
            return;
        scheduled_ = true;
        loop_.defer([this] {
            scheduled_ = false;
            owner_.kj_->run();
        });
    }

private:
    event_loop& loop_;
    kj_loop& owner_;
    bool scheduled_ = false;
};

kj_loop::kj_loop(event_loop& loop)
    : loop_(loop), event_port_(std::make_unique<event_port>(loop, *this)),
      kj_(std::make_unique<kj::EventLoop>(*event_port_)),
      scope_(std::make_unique<kj::WaitScope>(*kj_)) {}

kj_loop::~kj_loop() = default;

namespace internal {
namespace {

/// When more output than this is buffered, a write completes only after the output has been sent.
constexpr std::size_t max_unwritten_bytes = 256 * 1024;
/// Input that may be buffered before reading from the socket stops.
constexpr std::size_t max_unread_bytes = 256 * 1024;

/// A KJ stream over a libevent bufferevent.
class bufferevent_stream final : public kj::AsyncIoStream {
public:
    explicit bufferevent_stream(bufferevent* bev) : bev_(bev) {
        bufferevent_setcb(bev_, &bufferevent_stream::on_readable, &bufferevent_stream::on_writable,
                          &bufferevent_stream::on_event, this);
        bufferevent_setwatermark(bev_, EV_READ, 0, max_unread_bytes);
        bufferevent_enable(bev_, EV_READ | EV_WRITE);
    }

    ~bufferevent_stream() noexcept(false) { bufferevent_free(bev_); }

    bufferevent_stream(const bufferevent_stream&) = delete;
    bufferevent_stream& operator=(const bufferevent_stream&) = delete;
    bufferevent_stream(bufferevent_stream&&) = delete;
    bufferevent_stream& operator=(bufferevent_stream&&) = delete;

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                     std::size_t max_bytes) override {
        auto pair = kj::newPromiseAndFulfiller<std::size_t>();
        pending_read_ = {kj::mv(pair.fulfiller), static_cast<char*>(buffer), min_bytes, max_bytes,
                         0};
        continue_read();
        return kj::mv(pair.promise);
    }

    kj::Promise<void> write(const void* buffer, std::size_t size) override {
        if (closed_)
            return KJ_EXCEPTION(DISCONNECTED, "the peer has closed the connection");
        bufferevent_write(bev_, buffer, size);
        return when_output_drains();
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
        if (closed_)
            return KJ_EXCEPTION(DISCONNECTED, "the peer has closed the connection");
        for (auto piece : pieces)
            bufferevent_write(bev_, piece.begin(), piece.size());
        return when_output_drains();
    }

    kj::Promise<void> whenWriteDisconnected() override {
        if (closed_)
            return kj::READY_NOW;
        auto pair = kj::newPromiseAndFulfiller<void>();
        disconnect_fulfiller_ = kj::mv(pair.fulfiller);
        return kj::mv(pair.promise);
    }

    void shutdownWrite() override {
        auto fd = bufferevent_getfd(bev_);
        if (fd >= 0)
            shutdown(fd, SHUT_WR);
    }

private:
    struct pending_read {
        kj::Own<kj::PromiseFulfiller<std::size_t>> fulfiller;
        char* buffer = nullptr;
        std::size_t min_bytes = 0;
        std::size_t max_bytes = 0;
        std::size_t bytes_read = 0;
    };

    kj::Promise<void> when_output_drains() {
        if (evbuffer_get_length(bufferevent_get_output(bev_)) <= max_unwritten_bytes)
            return kj::READY_NOW;
        auto pair = kj::newPromiseAndFulfiller<void>();
        write_fulfiller_ = kj::mv(pair.fulfiller);
        return kj::mv(pair.promise);
    }

    void continue_read() {
        if (pending_read_.buffer == nullptr)
            return;
        evbuffer* in = bufferevent_get_input(bev_);
        auto n = evbuffer_remove(in, pending_read_.buffer + pending_read_.bytes_read,
                                 pending_read_.max_bytes - pending_read_.bytes_read);
        pending_read_.bytes_read += n > 0 ? static_cast<std::size_t>(n) : 0;
        if (pending_read_.bytes_read < pending_read_.min_bytes && !closed_)
            return;
        pending_read_.buffer = nullptr;
        pending_read_.fulfiller->fulfill(kj::cp(pending_read_.bytes_read));
    }

    static void on_readable(bufferevent* /*bev*/, void* self) {
        static_cast<bufferevent_stream*>(self)->continue_read();
    }

    static void on_writable(bufferevent* /*bev*/, void* self) {
        auto* it = static_cast<bufferevent_stream*>(self);
        if (it->write_fulfiller_.get() != nullptr)
            it->write_fulfiller_->fulfill();
    }

    static void on_event(bufferevent* /*bev*/, short events, void* self) {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        auto* it = static_cast<bufferevent_stream*>(self);
        it->closed_ = true;
        it->continue_read();
        if (it->write_fulfiller_.get() != nullptr)
            it->write_fulfiller_->reject(
                KJ_EXCEPTION(DISCONNECTED, "the peer has closed the connection"));
        if (it->disconnect_fulfiller_.get() != nullptr)
            it->disconnect_fulfiller_->fulfill();
    }

    bufferevent* bev_;
    pending_read pending_read_;
    kj::Own<kj::PromiseFulfiller<void>> write_fulfiller_;
    kj::Own<kj::PromiseFulfiller<void>> disconnect_fulfiller_;
    bool closed_ = false;
};

} // namespace
} // namespace internal

kj::Own<kj::AsyncIoStream> connect_stream(event_loop& loop, const address& to) {
    auto* bev = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    auto stream = kj::heap<internal::bufferevent_stream>(bev);
    auto at = to_socket_address(to);
    bufferevent_socket_connect(bev, at.get(), static_cast<int>(at.length));
    disable_nagle(static_cast<int>(bufferevent_getfd(bev)));
    return stream;
}

stream_listener::stream_listener(event_loop& loop, handler on_stream)
    : loop_(loop), on_stream_(std::move(on_stream)) {}

stream_listener::~stream_listener() {
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

result<address> stream_listener::listen(const address& at) {
    auto bind_to = to_socket_address(at);
    listener_ = evconnlistener_new_bind(loop_.base(), &stream_listener::on_accept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                        bind_to.get(), static_cast<int>(bind_to.length));
    if (listener_ == nullptr)
        return tl::unexpected(bind_error(to_string(at), errno));
    return bound_address(evconnlistener_get_fd(listener_));
}

void stream_listener::on_accept(evconnlistener* /*listener*/, int fd, sockaddr* /*from*/,
                                int /*length*/, void* self) {
    auto* it = static_cast<stream_listener*>(self);
    disable_nagle(fd);
    auto* bev = bufferevent_socket_new(it->loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    it->on_stream_(kj::heap<internal::bufferevent_stream>(bev));
}

} // namespace azureyoke::transport
