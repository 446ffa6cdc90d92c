#include "azureyoke/src/transport/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace azureyoke::transport {

result<address> parse_address(std::string_view text) {
    auto parse_error = [&](std::string rule) {
        return tl::unexpected(error{
            errc::bad_address, "address \"" + std::string(text) + "\" " + std::move(rule), false});
    };
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return parse_error("must have the form IP:PORT");
    std::string ip(text.substr(0, colon));
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    in6_addr buf{};
    if (inet_pton(AF_INET, ip.c_str(), &buf) != 1 && inet_pton(AF_INET6, ip.c_str(), &buf) != 1)
        return parse_error("must start with an IP number");
    auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc() || end != digits.data() + digits.size())
        return parse_error("must end in a port from 0 to 65535");
    return address{std::move(ip), port};
}

std::string to_string(const address& at) {
    bool is_ipv6 = at.ip.find(':') != std::string::npos;
    return (is_ipv6 ? "[" + at.ip + "]" : at.ip) + ":" + std::to_string(at.port);
}

} // namespace azureyoke::transport
