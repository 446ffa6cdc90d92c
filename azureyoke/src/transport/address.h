#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "azureyoke/src/transport/error.h"

namespace azureyoke::transport {

/// \brief An IP address and a port. Host names are never resolved.
struct address {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const address&, const address&) = default;
};

/// \brief Parses `IPv4:PORT` or `[IPv6]:PORT`. Thread safe.
///
/// \returns the address, or `errc::bad_address` with the rule that the text violates.
result<address> parse_address(std::string_view text);

/// \brief Formats an address so that `parse_address` accepts it.
std::string to_string(const address& at);

} // namespace azureyoke::transport
