#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "azureyoke/src/transport/http_reader.h"
#include "azureyoke/src/transport/tcp_stream.h"

namespace azureyoke::transport {

/// \brief What callers may send and how long they may take; may change while the server runs.
struct front_limits {
    std::size_t head_bytes = 64 * 1024;
    std::size_t body_bytes = 8 * 1024 * 1024;
    duration head_timeout = std::chrono::seconds(10);
    duration body_timeout = std::chrono::seconds(30);
    duration idle_timeout = std::chrono::seconds(60);

    friend bool operator==(const front_limits&, const front_limits&) = default;
};

/// \brief Why a request was refused before a handler saw it.
enum class front_refusal { malformed, ambiguous_length, head_too_large, body_too_large, too_slow };

/// \brief The status of a refusal.
int status_of(front_refusal why);
/// \brief The rule that was broken, in words.
const char* reason_of(front_refusal why);

class front_server;
class front_connection;

/// \brief One request of a caller and the answer to it.
///
/// The handler may keep it; once the caller has gone, writes are ignored. Not thread safe.
class front_exchange {
public:
    /// \brief `chunks` is false when the caller's version of HTTP knows none.
    front_exchange(front_connection& connection, http_request request, bool chunks,
                   instant received);

    const http_request& request() const { return request_; }

    /// \brief When the last byte of the request was read.
    instant received() const { return received_; }

    /// \brief True once the caller has gone or the whole answer was handed over.
    bool over() const { return connection_ == nullptr; }

    bool started() const { return started_; }

    /// \brief Sends a whole answer. Precondition: not started.
    void reply(const http_response& answer);
    /// \brief Starts an answer with `length` bytes, or in chunks without it.
    /// Precondition: not started.
    void start(int status, const http_fields& fields,
               std::optional<std::uint64_t> length = std::nullopt);
    /// \brief Sends a piece. Precondition: started.
    void write(std::string_view piece);
    /// \brief Ends an answer that was started.
    void end();
    /// \brief Closes the connection, so that the caller sees the answer cut.
    void abort();

    /// \brief Bytes that wait for the caller to read.
    std::size_t unwritten() const;

    /// \brief Calls back when the caller has gone before the answer ended.
    void on_closed(std::function<void()> call) { on_closed_ = std::move(call); }

    /// \brief Calls back when all that was written has left.
    void on_drained(std::function<void()> call) { on_drained_ = std::move(call); }

private:
    friend class front_connection;
    front_connection* release();

    front_connection* connection_;
    http_request request_;
    bool chunks_;
    instant received_;
    std::function<void()> on_closed_;
    std::function<void()> on_drained_;
    bool started_ = false;
    bool chunked_ = false;
    bool ends_by_close_ = false; ///< Only the connection's end says that the answer is whole.
};

/// \brief HTTP/1.1 server that hands over whole requests and sends answers in pieces.
///
/// A connection carries one request at a time; a request that follows before the answer has ended
/// waits. Not thread safe.
class front_server {
public:
    using handler = std::function<void(std::shared_ptr<front_exchange>)>;
    /// \brief Renders what the server itself refuses; the connection closes after it.
    using refusal_renderer = std::function<http_response(front_refusal)>;

    /// \brief Without `render` refusals have a status only.
    front_server(event_loop& loop, const front_limits& limits, handler on_request,
                 refusal_renderer render = nullptr);
    ~front_server();
    front_server(const front_server&) = delete;
    front_server& operator=(const front_server&) = delete;
    front_server(front_server&&) = delete;
    front_server& operator=(front_server&&) = delete;

    result<address> listen(const address& at);

    void set_limits(const front_limits& limits) { limits_ = limits; }

    /// \brief Takes the connections that were made already, and no later ones.
    void stop_listening() { listener_.stop(); }

    /// \brief From now on each answer announces that its connection closes.
    void close_after_answers() { closing_ = true; }

    /// \brief Closes connections on which no request is being read or answered.
    void close_idle();

    /// \brief Connections on which a request is being read or an answer has not left whole.
    std::size_t busy_connections() const;

private:
    friend class front_connection;
    void accept(int fd);
    void sweep();
    void drop(front_connection* connection);

    event_loop& loop_;
    front_limits limits_;
    handler on_request_;
    refusal_renderer render_;
    tcp_listener listener_;
    std::map<front_connection*, std::shared_ptr<front_connection>> connections_;
    std::unique_ptr<timer> sweep_timer_;
    bool closing_ = false;
};

} // namespace azureyoke::transport
