#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "azureyoke/src/coordination/stream_bindings.h"

namespace azureyoke::app {

struct kept_stream {
    std::string stream;
    coordination::stream_binding binding; ///< Its time counts on the receiver's clock.

    friend bool operator==(const kept_stream&, const kept_stream&) = default;
};

/// \brief Bindings that the receiver is to keep.
struct streams_to_keep {
    std::vector<kept_stream> streams;

    friend bool operator==(const streams_to_keep&, const streams_to_keep&) = default;
};

/// \brief Asks for the version that a stream began on.
struct stream_question {
    std::string reply_to; ///< Address for the reply.
    std::uint64_t number = 0;
    std::string stream;
    std::string pool;

    friend bool operator==(const stream_question&, const stream_question&) = default;
};

struct stream_reply {
    std::uint64_t number = 0;
    std::optional<std::string> software; ///< Absent when the stream is not known.
    std::set<std::string> versions;      ///< On which the pool's streams may have begun.
    bool complete = false;               ///< No version is missing in `versions`.

    friend bool operator==(const stream_reply&, const stream_reply&) = default;
};

using stream_message = std::variant<streams_to_keep, stream_question, stream_reply>;

/// \returns the message in CBOR; times are encoded as times left at `now`. Thread safe.
std::string to_bytes(const stream_message& message, coordination::instant now);
/// \returns the bindings in messages of at most `max_bytes` bytes. Thread safe.
std::vector<std::string> to_messages(const std::vector<kept_stream>& streams,
                                     coordination::instant now, std::size_t max_bytes);
/// \returns nothing when the bytes are not a valid message. Thread safe.
std::optional<stream_message> parse_stream_message(std::string_view bytes,
                                                   coordination::instant now);

} // namespace azureyoke::app
