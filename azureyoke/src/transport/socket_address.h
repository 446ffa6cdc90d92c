#pragma once

#include <optional>

#include <netinet/in.h>
#include <sys/socket.h>

#include "azureyoke/src/transport/address.h"

namespace azureyoke::transport {

/// \brief An address in the form used by the socket system calls.
struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = 0;

    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }

    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// \pre `at` was returned by `parse_address` or `from_socket_address`.
socket_address to_socket_address(const address& at);
address from_socket_address(const socket_address& at);
/// \brief Disables Nagle's algorithm. Each token is a small write, and coalescing them would add
/// a delay of 40 ms.
void disable_nagle(int fd);
/// \returns the address to which a socket is bound.
address bound_address(int fd);

} // namespace azureyoke::transport
