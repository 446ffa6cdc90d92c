#include "azureyoke/src/transport/socket_address.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/tcp.h>

namespace azureyoke::transport {

socket_address to_socket_address(const address& at) {
    socket_address out;
    auto* ipv4 = reinterpret_cast<sockaddr_in*>(&out.storage);
    if (inet_pton(AF_INET, at.ip.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(at.port);
        out.length = sizeof(sockaddr_in);
        return out;
    }
    auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&out.storage);
    inet_pton(AF_INET6, at.ip.c_str(), &ipv6->sin6_addr);
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(at.port);
    out.length = sizeof(sockaddr_in6);
    return out;
}

address from_socket_address(const socket_address& at) {
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (at.storage.ss_family == AF_INET) {
        const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&at.storage);
        inet_ntop(AF_INET, &ipv4->sin_addr, text.data(), text.size());
        return {text.data(), ntohs(ipv4->sin_port)};
    }
    const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(&at.storage);
    inet_ntop(AF_INET6, &ipv6->sin6_addr, text.data(), text.size());
    return {text.data(), ntohs(ipv6->sin6_port)};
}

void disable_nagle(int fd) {
    int on = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

address bound_address(int fd) {
    socket_address at;
    at.length = sizeof(at.storage);
    getsockname(fd, at.get(), &at.length);
    return from_socket_address(at);
}

} // namespace azureyoke::transport
