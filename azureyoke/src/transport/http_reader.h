#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::transport {

enum class http_reader_kind { requests, answers };

/// \brief How the end of a message's body is determined.
enum class http_framing {
    none,       ///< The message has no body.
    length,     ///< `Content-Length`
    chunked,    ///< `Transfer-Encoding: chunked`
    until_close ///< The body ends when the connection is closed. Answers only.
};

/// \brief Start line and header fields of a message.
struct http_head {
    std::string method; ///< Requests only.
    std::string target; ///< Requests only, as received.
    int status = 0;     ///< Answers only.
    http_fields fields;
    bool keep_alive = false;
    bool supports_chunks = true; ///< Whether the sender's HTTP version has chunked encoding.
    http_framing framing = http_framing::none;
    std::uint64_t length = 0; ///< Body length in bytes, when framing is `length`.

    friend bool operator==(const http_head&, const http_head&) = default;
};

/// \brief Receives the messages that an `http_reader` parses.
class http_reader_sink {
public:
    virtual ~http_reader_sink() = default;
    virtual void on_head(http_head head) = 0;
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_complete() = 0;
};

/// \brief Parses consecutive HTTP/1.1 messages from a byte stream, using http_parser.
///
/// Parsing stops after each message, so that the caller can tell which bytes belong to it. To
/// prevent request smuggling, messages that two parsers could interpret differently are rejected:
/// a length together with chunked encoding, two lengths, a field name that is not a token, an
/// upgrade. Not thread safe.
class http_reader {
public:
    http_reader(http_reader_kind kind, std::size_t max_head_bytes, http_reader_sink& sink);
    ~http_reader();
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;
    http_reader(http_reader&&) = delete;
    http_reader& operator=(http_reader&&) = delete;

    /// \brief Parses `bytes` up to the end of the current message.
    /// \returns the number of bytes consumed; less than `bytes.size()` at the end of a message or
    /// on a failure.
    std::size_t feed(std::string_view bytes);
    /// \brief Reports the orderly end of the connection, which completes an answer without a
    /// length.
    void feed_end();

    /// \brief Declares that the next answer has no body, whatever its fields say, because it
    /// answers a HEAD request.
    void expect_no_body() { no_body_ = true; }

    /// \returns why the input is not a valid message; empty if there is no failure.
    const std::string& failure() const { return failure_; }

    bool head_too_large() const { return head_too_large_; }

    /// \returns true if the message states its length more than once.
    bool ambiguous_length() const { return ambiguous_length_; }

    /// \returns true between messages, when no byte of the next message has been read.
    bool at_boundary() const { return at_boundary_; }

    bool head_complete() const { return head_complete_; }

    /// \returns the memory that the incomplete head takes at most, in bytes.
    std::size_t held_head_bytes() const;

    /// \brief Frees the incomplete head. \pre `feed` is not called again.
    void release_head() { head_ = {}; }

private:
    struct callbacks;
    struct parser;

    void begin_message();
    int finish_head();

    http_reader_kind kind_;
    std::size_t max_head_bytes_;
    http_reader_sink& sink_;
    std::unique_ptr<parser> parser_;
    http_head head_;
    bool last_piece_was_value_ = false; ///< As opposed to a piece of a field name.
    std::size_t head_bytes_ = 0;
    bool head_complete_ = false;
    bool message_complete_ = false;
    bool at_boundary_ = true;
    bool no_body_ = false;
    bool head_too_large_ = false;
    bool ambiguous_length_ = false;
    std::string failure_;
};

} // namespace azureyoke::transport
