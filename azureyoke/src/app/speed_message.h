#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureyoke::app {

/// \brief A slowdown that a server told to the sender.
struct slowdown_report {
    std::string server;
    std::int64_t percent = 0; ///< 100: as usual.
    std::int64_t age_ms = 0;

    friend bool operator==(const slowdown_report&, const slowdown_report&) = default;
};

/// \brief The time to the first answer of a server to the sender.
struct first_answer_report {
    std::string server;
    std::int64_t nominal_ms = 0;
    std::int64_t took_ms = 0;
    std::int64_t age_ms = 0;
    std::int64_t percent = 0; ///< Slowdown told with the answer; 0: not told.

    friend bool operator==(const first_answer_report&, const first_answer_report&) = default;
};

/// \brief The content of the section `speed` of reports between instances.
struct speed_message {
    std::vector<slowdown_report> slowdowns;
    std::vector<first_answer_report> answers;

    friend bool operator==(const speed_message&, const speed_message&) = default;
};

/// \returns an upper bound of the bytes that an entry takes in a message.
std::size_t encoded_size(const slowdown_report& it);
std::size_t encoded_size(const first_answer_report& it);

/// \returns the message in CBOR. Thread safe.
std::string to_bytes(const speed_message& message);
/// \returns nothing when the bytes are no message, or when a value is not possible.
std::optional<speed_message> parse_speed_message(std::string_view bytes);

} // namespace azureyoke::app
