#pragma once

#include <functional>
#include <string_view>

#include "azureyoke/src/transport/address.h"
#include "azureyoke/src/transport/event_loop.h"

struct event;

namespace azureyoke::transport {

/// \brief Largest datagram that may be sent; it fits into one Ethernet frame.
constexpr std::size_t max_datagram_bytes = 1400;

/// \brief A non-blocking UDP socket driven by the event loop. Not thread safe.
class datagram_socket {
public:
    using handler = std::function<void(std::string_view)>;

    datagram_socket(event_loop& loop, handler on_datagram);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&&) = delete;
    datagram_socket& operator=(datagram_socket&&) = delete;

    /// \brief Binds the socket and starts receiving.
    /// \returns the bound address, with the port chosen by the system when `at` has port 0.
    result<address> bind(const address& at);
    /// \brief Sends without blocking; the datagram is dropped if the socket is not ready.
    /// \pre `bytes.size() <= max_datagram_bytes`
    void send(const address& to, std::string_view bytes) const;

private:
    static void on_readable(int fd, short events, void* self);

    event_loop& loop_;
    handler on_datagram_;
    int fd_ = -1;
    event* event_ = nullptr;
};

} // namespace azureyoke::transport
