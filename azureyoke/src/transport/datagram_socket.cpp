#include "azureyoke/src/transport/datagram_socket.h"

#include <array>
#include <cerrno>
#include <utility>

#include <unistd.h>

#include <event2/event.h>
#include <event2/util.h>

#include "azureyoke/src/transport/socket_address.h"

namespace azureyoke::transport {

namespace internal {
namespace {

/// Datagrams handled per readable event, so that a flood does not starve other events.
constexpr int max_datagrams_per_event = 64;

} // namespace
} // namespace internal

datagram_socket::datagram_socket(event_loop& loop, handler on_datagram)
    : loop_(loop), on_datagram_(std::move(on_datagram)) {}

datagram_socket::~datagram_socket() {
    if (event_ != nullptr)
        event_free(event_);
    if (fd_ >= 0)
        close(fd_);
}

result<address> datagram_socket::bind(const address& at) {
    auto bind_to = to_socket_address(at);
    fd_ = socket(bind_to.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0 || ::bind(fd_, bind_to.get(), bind_to.length) != 0) {
        auto failure = bind_error(to_string(at), errno);
        if (fd_ >= 0)
            close(std::exchange(fd_, -1));
        return tl::unexpected(failure);
    }
    event_ =
        event_new(loop_.base(), fd_, EV_READ | EV_PERSIST, &datagram_socket::on_readable, this);
    event_add(event_, nullptr);
    return bound_address(fd_);
}

void datagram_socket::send(const address& to, std::string_view bytes) const {
    auto at = to_socket_address(to);
    (void)sendto(fd_, bytes.data(), bytes.size(), 0, at.get(), at.length);
}

void datagram_socket::on_readable(int fd, short /*events*/, void* self) {
    std::array<char, 65'536> buf{};
    for (int i = 0; i < internal::max_datagrams_per_event; ++i) {
        auto n = recv(fd, buf.data(), buf.size(), 0);
        if (n < 0)
            return;
        static_cast<datagram_socket*>(self)->on_datagram_(
            {buf.data(), static_cast<std::size_t>(n)});
    }
}

} // namespace azureyoke::transport
