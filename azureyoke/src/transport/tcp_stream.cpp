#include "azureyoke/src/transport/tcp_stream.h"

#include <array>
#include <cerrno>

#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include "azureyoke/src/transport/socket_address.h"

namespace azureyoke::transport {

namespace internal {
namespace {

/// Bytes that one read may add to what a paused or limited stream holds.
constexpr std::size_t read_buffer_bytes = 16 * 1024;
constexpr int accept_backlog = 512;
constexpr duration accept_pause = std::chrono::milliseconds(20);
/// A connection fails when sent bytes or keep-alive probes stay unacknowledged for this time,
/// since a peer that has lost power or is behind a network partition never answers.
constexpr int unresponsive_peer_timeout_ms = 2500;
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

void set_option(int fd, int level, int name, int value) {
    (void)setsockopt(fd, level, name, &value, sizeof value);
}

void set_socket_options(int fd) {
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, unresponsive_peer_timeout_ms);
}

bool would_block(int code) {
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

} // namespace
} // namespace internal

tcp_stream::tcp_stream(event_loop& loop, int fd, tcp_stream_sink& sink)
    : loop_(loop), sink_(&sink), fd_(fd), connected_(true) {
    internal::set_socket_options(fd_);
    create_read_event();
}

tcp_stream::tcp_stream(event_loop& loop, const address& to, tcp_stream_sink& sink)
    : loop_(loop), sink_(&sink) {
    auto at = to_socket_address(to);
    fd_ = socket(at.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bool connecting = fd_ >= 0;
    if (connecting) {
        internal::set_socket_options(fd_);
        connecting = ::connect(fd_, at.get(), at.length) == 0 || errno == EINPROGRESS;
    }
    if (!connecting) {
        loop_.defer([this, alive = std::weak_ptr<bool>(alive_)] {
            if (alive.lock())
                finish(true);
        });
        return;
    }
    create_read_event();
    watch_writable(true);
}

tcp_stream::~tcp_stream() {
    if (read_event_ != nullptr)
        event_free(read_event_);
    if (write_event_ != nullptr)
        event_free(write_event_);
    if (fd_ >= 0)
        close(fd_);
}

void tcp_stream::create_read_event() {
    read_event_ =
        event_new(loop_.base(), fd_, EV_READ | EV_PERSIST, &tcp_stream::on_readable, this);
    if (connected_)
        event_add(read_event_, nullptr);
}

void tcp_stream::watch_writable(bool wanted) {
    if (write_watched_ == wanted)
        return;
    write_watched_ = wanted;
    if (write_event_ == nullptr)
        write_event_ =
            event_new(loop_.base(), fd_, EV_WRITE | EV_PERSIST, &tcp_stream::on_writable, this);
    if (wanted)
        event_add(write_event_, nullptr);
    else
        event_del(write_event_);
}

void tcp_stream::pause(bool paused) {
    if (paused_ == paused || ended_)
        return;
    paused_ = paused;
    if (!connected_)
        return;
    if (paused)
        event_del(read_event_);
    else
        event_add(read_event_, nullptr);
}

void tcp_stream::check_paused_end() {
    if (!paused_ || ended_)
        return;
    pollfd state{fd_, POLLRDHUP, 0};
    if (::poll(&state, 1, 0) > 0)
        finish((state.revents & POLLERR) != 0);
}

void tcp_stream::write(std::string_view bytes) {
    if (ended_ || write_failed_ || bytes.empty())
        return;
    if (connected_ && unwritten() == 0) {
        may_have_sent_bytes_ = true;
        auto n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n > 0)
            bytes.remove_prefix(static_cast<std::size_t>(n));
        else if (n < 0 && !internal::would_block(errno))
            on_write_failed();
        if (bytes.empty() || write_failed_)
            return;
    }
    drop_sent_output();
    output_.append(bytes);
    if (connected_)
        watch_writable(true);
}

// Output to a slow peer may never be sent completely. Bytes are moved only when at least as many
// are dropped.
void tcp_stream::drop_sent_output() {
    if (output_offset_ < unwritten())
        return;
    output_.erase(0, output_offset_);
    output_offset_ = 0;
}

// What the peer sent before it broke the connection is still read: it may be a
// complete answer. The read event reports the end.
void tcp_stream::on_write_failed() {
    write_failed_ = true;
    output_.clear();
    output_.shrink_to_fit();
    output_offset_ = 0;
    watch_writable(false);
    pause(false); // a paused stream would not notice the end
}

bool tcp_stream::output_acknowledged() const {
    int unacknowledged = 0;
    return !write_failed_ && unwritten() == 0 && ioctl(fd_, SIOCOUTQ, &unacknowledged) == 0 &&
           unacknowledged == 0;
}

void tcp_stream::shutdown_output() {
    shutdown_pending_ = true;
    if (connected_ && unwritten() == 0)
        (void)shutdown(fd_, SHUT_WR);
}

void tcp_stream::reset_on_close() const {
    linger zero_linger{1, 0};
    (void)setsockopt(fd_, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
}

void tcp_stream::flush() {
    while (unwritten() > 0) {
        may_have_sent_bytes_ = true;
        auto n = send(fd_, output_.data() + output_offset_, unwritten(), MSG_NOSIGNAL);
        if (n <= 0) {
            if (n < 0 && !internal::would_block(errno))
                on_write_failed();
            return;
        }
        output_offset_ += static_cast<std::size_t>(n);
    }
    output_.clear();
    output_.shrink_to_fit();
    output_offset_ = 0;
    watch_writable(false);
    if (shutdown_pending_)
        (void)shutdown(fd_, SHUT_WR);
    sink_->on_drained();
}

void tcp_stream::finish(bool reset) {
    if (ended_)
        return;
    ended_ = true;
    if (read_event_ != nullptr)
        event_del(read_event_);
    if (write_watched_)
        watch_writable(false);
    sink_->on_end(reset);
}

void tcp_stream::on_readable(int fd, short /*events*/, void* self) {
    static std::array<char, internal::read_buffer_bytes> buf;
    auto* it = static_cast<tcp_stream*>(self);
    auto n = recv(fd, buf.data(), buf.size(), 0);
    if (n < 0 && internal::would_block(errno))
        return;
    if (n <= 0) {
        it->finish(n < 0 || it->write_failed_);
        return;
    }
    it->sink_->on_bytes({buf.data(), static_cast<std::size_t>(n)});
}

void tcp_stream::on_writable(int fd, short /*events*/, void* self) {
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
        event_add(it->read_event_, nullptr);
    auto alive = std::weak_ptr<bool>(it->alive_);
    it->sink_->on_connected();
    if (!alive.expired() && !it->ended_)
        it->flush();
}

tcp_listener::tcp_listener(event_loop& loop, handler on_accept, accept_control* control)
    : loop_(loop), on_accept_(std::move(on_accept)), control_(control) {}

tcp_listener::~tcp_listener() {
    if (event_ != nullptr)
        event_free(event_);
    if (fd_ >= 0)
        close(fd_);
}

void tcp_listener::stop() {
    if (event_ == nullptr)
        return;
    on_acceptable(fd_, 0, this);
    resume_timer_.reset();
    event_free(std::exchange(event_, nullptr));
    close(std::exchange(fd_, -1));
}

result<address> tcp_listener::listen(const address& at) {
    auto bind_to = to_socket_address(at);
    fd_ = socket(bind_to.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ >= 0)
        internal::set_option(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
    if (fd_ < 0 || ::bind(fd_, bind_to.get(), bind_to.length) != 0 ||
        ::listen(fd_, internal::accept_backlog) != 0) {
        auto failure = bind_error(to_string(at), errno);
        if (fd_ >= 0)
            close(std::exchange(fd_, -1));
        return tl::unexpected(failure);
    }
    event_ = event_new(loop_.base(), fd_, EV_READ | EV_PERSIST, &tcp_listener::on_acceptable, this);
    event_add(event_, nullptr);
    return bound_address(fd_);
}

void tcp_listener::on_acceptable(int fd, short /*events*/, void* self) {
    auto* it = static_cast<tcp_listener*>(self);
    for (;;) {
        if (it->control_ != nullptr && !it->control_->may_accept()) {
            it->pause();
            return;
        }
        int accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            it->on_accept_(accepted);
            continue;
        }
        if (errno != EMFILE && errno != ENFILE && errno != ENOBUFS && errno != ENOMEM)
            return;
        it->pause();
        if (it->control_ != nullptr)
            it->control_->on_shortage();
        return;
    }
}

void tcp_listener::pause() {
    event_del(event_);
    resume_timer_ = loop_.after(internal::accept_pause, [this] { event_add(event_, nullptr); });
}

} // namespace azureyoke::transport
