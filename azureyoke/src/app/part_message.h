#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "azureyoke/src/coordination/part_suspicions.h"

namespace azureyoke::app {

/// \brief What the sender knows about one part.
struct part_report {
    std::string part;
    coordination::part_evidence evidence; ///< Times count on the receiver's clock.

    friend bool operator==(const part_report&, const part_report&) = default;
};

/// \brief What the sender knows about some parts, to be passed on by the receiver.
struct part_news {
    std::vector<part_report> parts;

    friend bool operator==(const part_news&, const part_news&) = default;
};

/// \brief Asks for leave to send a request as the trial of a part.
struct trial_request {
    std::string reply_to; ///< Address for the reply.
    std::uint64_t number = 0;
    part_report part;

    friend bool operator==(const trial_request&, const trial_request&) = default;
};

struct trial_reply {
    std::uint64_t number = 0;
    bool granted = false;
    coordination::duration wait{}; ///< Time until the next trial, after a denial.
    part_report part;

    friend bool operator==(const trial_reply&, const trial_reply&) = default;
};

using part_message = std::variant<part_news, trial_request, trial_reply>;

/// \returns the news in messages of at most `max_bytes` bytes, and at most `max_messages` of them;
/// what does not fit is left out. Thread safe.
std::vector<std::string> to_messages(const part_news& news, coordination::instant now,
                                     std::size_t max_bytes, std::size_t max_messages);
/// \returns the message in CBOR; times are encoded as ages at `now`. Thread safe.
std::string to_bytes(const part_message& message, coordination::instant now);
/// \returns nothing when the bytes are not a valid message. Thread safe.
std::optional<part_message> parse_part_message(std::string_view bytes, coordination::instant now);

} // namespace azureyoke::app
