#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace azureyoke::app {

/// \brief The sender's newest knowledge of the rate that a server allows.
struct limit_report {
    std::string server;
    std::int64_t started_ms = 0; ///< Start of the server's run.
    double per_second = 0;       ///< 0: any number.
    std::int64_t age_us = 0;     ///< Time since the server said so.

    friend bool operator==(const limit_report&, const limit_report&) = default;
};

/// \brief Asks the issuer for a permit to send one request, or only tells it of a changed limit.
struct permit_request {
    std::string instance;
    std::string reply_to;     ///< Address for the reply.
    std::uint64_t number = 0; ///< Identifies the request; 0: no permit is wanted.
    limit_report limit;

    friend bool operator==(const permit_request&, const permit_request&) = default;
};

struct permit_reply {
    std::uint64_t number = 0; ///< 0: no reply, but an invitation to ask again at once.
    bool granted = false;
    std::int64_t wait_us = 0; ///< When to ask again after a denial.
    limit_report limit;       ///< Without a server when the sender knows nothing of it.

    friend bool operator==(const permit_reply&, const permit_reply&) = default;
};

using permit_message = std::variant<permit_request, permit_reply>;

/// \returns the message in CBOR. Thread safe.
std::string to_bytes(const permit_message& message);
/// \returns nothing when the bytes are not a valid message. Thread safe.
std::optional<permit_message> parse_permit_message(std::string_view bytes);

} // namespace azureyoke::app
