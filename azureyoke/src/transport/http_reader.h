#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::transport {

enum class http_reader_kind { requests, answers };

/// \brief How a message says where its body ends.
enum class http_framing {
    none,       ///< It has no body.
    length,     ///< `Content-Length`
    chunked,    ///< `Transfer-Encoding: chunked`
    until_close ///< It ends with the connection. Answers only.
};

/// \brief Start line and fields of a message.
struct http_head {
    std::string method; ///< Requests only.
    std::string target; ///< Requests only, as received.
    int status = 0;     ///< Answers only.
    http_fields fields;
    bool keep_alive = false;
    bool chunks = true; ///< Whether the sender's version of HTTP knows chunks.
    http_framing framing = http_framing::none;
    std::uint64_t length = 0; ///< Of the body, when framing is `length`.

    friend bool operator==(const http_head&, const http_head&) = default;
};

class http_reader_sink {
public:
    virtual ~http_reader_sink() = default;
    virtual void on_head(http_head head) = 0;
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_complete() = 0;
};

/// \brief Parses one HTTP/1.1 message after another from a byte stream, over http_parser.
///
/// After each message it stops, so that the caller sees which bytes belong to it. Refuses what two
/// readers could understand differently: both a length and chunks, two lengths, a field name that
/// is no token, an upgrade. Not thread safe.
class http_reader {
public:
    http_reader(http_reader_kind kind, std::size_t most_head_bytes, http_reader_sink& sink);
    ~http_reader();
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;
    http_reader(http_reader&&) = delete;
    http_reader& operator=(http_reader&&) = delete;

    /// \brief Reads up to the end of the current message.
    /// \returns the bytes taken; fewer than given after a message's end or a failure.
    std::size_t feed(std::string_view bytes);
    /// \brief The connection has ended in order; completes an answer without a length.
    void feed_end();

    /// \brief The next answer has no body whatever its fields say: it answers a HEAD request.
    void expect_no_body() { no_body_ = true; }

    /// \brief Why the bytes are no message; empty while they are.
    const std::string& failure() const { return failure_; }

    bool head_too_large() const { return head_too_large_; }

    /// \brief The message states its length more than once.
    bool ambiguous_length() const { return ambiguous_length_; }

    /// \brief True between messages: no byte of the next one was read.
    bool at_boundary() const { return at_boundary_; }

    bool head_complete() const { return head_complete_; }

private:
    struct callbacks;
    struct parser;

    void begin_message();
    int finish_head();

    http_reader_kind kind_;
    std::size_t most_head_bytes_;
    http_reader_sink& sink_;
    std::unique_ptr<parser> parser_;
    http_head head_;
    bool value_last_ = false; ///< The last piece of a field was of its value.
    std::size_t head_bytes_ = 0;
    bool head_complete_ = false;
    bool complete_ = false;
    bool at_boundary_ = true;
    bool no_body_ = false;
    bool head_too_large_ = false;
    bool ambiguous_length_ = false;
    std::string failure_;
};

} // namespace azureyoke::transport
