#pragma once

#include <string>
#include <system_error>

#include <tl/expected.hpp>

namespace azureyoke::transport {

enum class errc {
    bad_address,
    bind_failed,
    connect_failed,
    timed_out,
    connection_lost,
    oversize,
    invalid_answer ///< The peer answered something that is no answer, on a sound
                   ///< connection.
};

/// \brief Failure of a socket operation.
struct error {
    errc code = errc::connection_lost;
    std::string what;
    /// False only if no byte of the request can have reached the peer.
    bool may_have_sent_bytes = true;
    /// The peer ended the connection, as opposed to an end that this side chose.
    bool ended_by_peer = false;

    friend bool operator==(const error&, const error&) = default;
};

/// \returns the failure to bind an address, with the system's reason. Thread safe.
inline error bind_error(const std::string& address, int code) {
    return {errc::bind_failed,
            "address " + address + " could not be bound: " + std::generic_category().message(code),
            false};
}

template <class T>
using result = tl::expected<T, error>;

} // namespace azureyoke::transport
