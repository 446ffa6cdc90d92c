#include "azureyoke/src/transport/tcp_stream.h"

#include <array>
#include <cerrno>

#include <event2/event.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include "azureyoke/src/transport/socket_address.h"

namespace azureyoke::transport {

namespace internal {
namespace {

constexpr std::size_t read_bytes = 64 * 1024;
constexpr int accept_backlog = 512;
/// Unacknowledged bytes or probes older than this end a connection: a peer without power or
/// behind a partition answers nothing.
constexpr int silent_peer_ms = 2500;
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

void set_option(int fd, int level, int name, int value) {
    (void)setsockopt(fd, level, name, &value, sizeof value);
}

void tune(int fd) {
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, silent_peer_ms);
}

bool would_block(int code) {
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

} // namespace
} // namespace internal

tcp_stream::tcp_stream(event_loop& loop, int fd, tcp_stream_sink& sink)
    : loop_(loop), sink_(&sink), fd_(fd), connected_(true) {
    internal::tune(fd_);
    arm();
}

tcp_stream::tcp_stream(event_loop& loop, const address& to, tcp_stream_sink& sink)
    : loop_(loop), sink_(&sink) {
    auto at = to_socket_address(to);
    fd_ = socket(at.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bool begun = fd_ >= 0;
    if (begun) {
        internal::tune(fd_);
        begun = ::connect(fd_, at.get(), at.length) == 0 || errno == EINPROGRESS;
    }
    if (!begun) {
        loop_.defer([this, alive = std::weak_ptr<bool>(alive_)] {
            if (alive.lock())
                finish(true);
        });
        return;
    }
    arm();
    watch_writable(true);
}

tcp_stream::~tcp_stream() {
    if (read_ != nullptr)
        event_free(read_);
    if (write_ != nullptr)
        event_free(write_);
    if (fd_ >= 0)
        close(fd_);
}

void tcp_stream::arm() {
    read_ = event_new(loop_.base(), fd_, EV_READ | EV_PERSIST, &tcp_stream::readable, this);
    if (connected_)
        event_add(read_, nullptr);
}

void tcp_stream::watch_writable(bool wanted) {
    if (write_watched_ == wanted)
        return;
    write_watched_ = wanted;
    if (write_ == nullptr)
        write_ = event_new(loop_.base(), fd_, EV_WRITE | EV_PERSIST, &tcp_stream::writable, this);
    if (wanted)
        event_add(write_, nullptr);
    else
        event_del(write_);
}

void tcp_stream::pause(bool paused) {
    if (paused_ == paused || ended_)
        return;
    paused_ = paused;
    if (!connected_)
        return;
    if (paused)
        event_del(read_);
    else
        event_add(read_, nullptr);
}

void tcp_stream::write(std::string_view bytes) {
    if (ended_ || bytes.empty())
        return;
    if (connected_ && unwritten() == 0) {
        bytes_left_ = true;
        auto n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n > 0)
            bytes.remove_prefix(static_cast<std::size_t>(n));
        else if (n < 0 && !internal::would_block(errno))
            bytes = {}; // the broken connection is reported by the read side
        if (bytes.empty())
            return;
    }
    out_.append(bytes);
    if (connected_)
        watch_writable(true);
}

void tcp_stream::end_output() {
    output_ends_ = true;
    if (connected_ && unwritten() == 0)
        (void)shutdown(fd_, SHUT_WR);
}

void tcp_stream::reset_at_end() const {
    linger at_once{1, 0};
    (void)setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void tcp_stream::flush() {
    while (unwritten() > 0) {
        bytes_left_ = true;
        auto n = send(fd_, out_.data() + out_at_, unwritten(), MSG_NOSIGNAL);
        if (n <= 0) {
            if (n < 0 && !internal::would_block(errno)) {
                watch_writable(false);
                finish(true);
            }
            return;
        }
        out_at_ += static_cast<std::size_t>(n);
    }
    out_.clear();
    out_.shrink_to_fit();
    out_at_ = 0;
    watch_writable(false);
    if (output_ends_)
        (void)shutdown(fd_, SHUT_WR);
    sink_->on_drained();
}

void tcp_stream::finish(bool reset) {
    if (ended_)
        return;
    ended_ = true;
    if (read_ != nullptr)
        event_del(read_);
    if (write_watched_)
        watch_writable(false);
    sink_->on_end(reset);
}

void tcp_stream::readable(int fd, short /*what*/, void* self) {
    static std::array<char, internal::read_bytes> buf;
    auto* it = static_cast<tcp_stream*>(self);
    auto n = recv(fd, buf.data(), buf.size(), 0);
    if (n < 0 && internal::would_block(errno))
        return;
    if (n <= 0) {
        it->finish(n < 0);
        return;
    }
    it->sink_->on_bytes({buf.data(), static_cast<std::size_t>(n)});
}

void tcp_stream::writable(int fd, short /*what*/, void* self) {
    auto* it = static_cast<tcp_stream*>(self);
    if (it->connected_) {
        it->flush();
        return;
    }
    int code = 0;
    socklen_t length = sizeof code;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &length);
    if (code != 0) {
        it->finish(true);
        return;
    }
    it->connected_ = true;
    if (!it->paused_)
        event_add(it->read_, nullptr);
    auto alive = std::weak_ptr<bool>(it->alive_);
    it->sink_->on_connected();
    if (!alive.expired() && !it->ended_)
        it->flush();
}

tcp_listener::tcp_listener(event_loop& loop, handler on_accept)
    : loop_(loop), on_accept_(std::move(on_accept)) {}

tcp_listener::~tcp_listener() {
    if (event_ != nullptr)
        event_free(event_);
    if (fd_ >= 0)
        close(fd_);
}

void tcp_listener::stop() {
    if (event_ == nullptr)
        return;
    acceptable(fd_, 0, this);
    event_free(std::exchange(event_, nullptr));
    close(std::exchange(fd_, -1));
}

result<address> tcp_listener::listen(const address& at) {
    auto bind_to = to_socket_address(at);
    fd_ = socket(bind_to.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ >= 0)
        internal::set_option(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
    if (fd_ < 0 || ::bind(fd_, bind_to.get(), bind_to.length) != 0 ||
        ::listen(fd_, internal::accept_backlog) != 0)
        return tl::unexpected(
            error{errc::bind_failed, "address " + to_string(at) + " is not free to bind", false});
    event_ = event_new(loop_.base(), fd_, EV_READ | EV_PERSIST, &tcp_listener::acceptable, this);
    event_add(event_, nullptr);
    return bound_address(fd_);
}

void tcp_listener::acceptable(int fd, short /*what*/, void* self) {
    for (;;) {
        int made = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (made < 0)
            return;
        static_cast<tcp_listener*>(self)->on_accept_(made);
    }
}

} // namespace azureyoke::transport
