#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "azureyoke/src/transport/http_reader.h"
#include "azureyoke/src/transport/request_memory.h"
#include "azureyoke/src/transport/tcp_stream.h"

namespace azureyoke::transport {

/// \brief Limits on the size and duration of requests; they may change while the server runs.
struct front_limits {
    std::size_t max_head_bytes = 64 * 1024;
    std::size_t max_body_bytes = 8 * 1024 * 1024;
    duration head_timeout = std::chrono::seconds(10);
    duration body_timeout = std::chrono::seconds(30);
    duration idle_timeout = std::chrono::seconds(60);
    std::size_t max_connections = 0; ///< 0: no limit.

    friend bool operator==(const front_limits&, const front_limits&) = default;
};

/// \brief Reason why the server refused a request before passing it to the
/// handler.
enum class front_refusal {
    malformed,
    ambiguous_length,
    head_too_large,
    body_too_large,
    framing_too_large, ///< Chunk headers, extensions and trailers outweigh the
                       ///< body by far.
    too_slow,
    no_memory ///< The bytes that the process may hold are used up.
};

/// \brief What a server did when it had more connections than it may have or than it can accept.
enum class connection_shortage {
    idle_closed,  ///< Closed the connection that was idle for longest, in favour of a new one.
    left_waiting, ///< Left new connections in the queue: none was idle for long enough.
    new_closed,   ///< Closed a new connection unread, after others had waited for too long.
    no_descriptor ///< Could not accept a new connection: the process is out of descriptors.
};

/// \returns the name of `what` in logs and metrics.
const char* name_of(connection_shortage what);

/// \returns the name of `reason` in logs and metrics.
const char* name_of(front_refusal reason);
/// \returns the HTTP status for a refusal.
int refusal_status(front_refusal reason);
/// \returns a description of the violated rule.
const char* refusal_reason(front_refusal reason);

class front_server;
class front_connection;

/// \brief One request of a caller and the answer to it.
///
/// The handler may hold the exchange after it returns. Once the caller has disconnected, writes are
/// ignored. Not thread safe.
class front_exchange {
public:
    /// \brief `accepts_chunks` is false if the caller's HTTP version has no chunked encoding.
    front_exchange(front_connection& connection, http_request request, bool accepts_chunks,
                   instant received);

    const http_request& request() const { return request_; }

    /// \returns the time at which the last byte of the request was read.
    instant received() const { return received_; }

    /// \returns true once the caller has disconnected or the whole answer has been written.
    bool finished() const { return connection_ == nullptr; }

    /// \returns whether the caller reset its connection, as opposed to an orderly close.
    bool was_reset() const { return was_reset_; }

    bool started() const { return started_; }

    /// \brief Sends a complete answer.
    /// \pre `!started()`
    void reply(const http_response& answer);
    /// \brief Sends the head of an answer whose body has `length` bytes. Without a length, the
    /// body is sent in chunks, or ends with the connection if the caller does not accept chunks.
    /// \pre `!started()`
    void start(int status, const http_fields& fields,
               std::optional<std::uint64_t> length = std::nullopt);
    /// \brief Sends a piece of the body.
    /// \pre `started()`
    void write(std::string_view piece);
    /// \brief Completes an answer.
    /// \pre `started()`
    void end();
    /// \brief Closes the connection so that the caller detects a truncated answer.
    void abort();

    /// \brief Counts the copy of the body that is sent to a server; it is counted when the handler
    /// gets the request. A handler that has called `release_copy` calls this before the next send.
    /// \returns false if the process has no memory for it.
    bool hold_copy();
    /// \brief Stops counting the copy, which the handler does not hold any more.
    void release_copy();

    /// \returns the bytes still buffered, not yet accepted by the socket.
    std::size_t unwritten() const;

    /// \returns the memory that the unsent answer takes, in bytes.
    std::size_t held_output() const;

    /// \brief Sets the callback for a caller that disconnects before the answer has ended.
    void on_closed(std::function<void()> callback) { on_closed_ = std::move(callback); }

    /// \brief Sets the callback for a server that ends: the answer must end now.
    void on_ending(std::function<void()> callback) { on_ending_ = std::move(callback); }

    /// \brief Sets the callback that runs when all output has been sent.
    void on_drained(std::function<void()> callback) { on_drained_ = std::move(callback); }

private:
    friend class front_connection;
    front_connection* detach();

    front_connection* connection_;
    http_request request_;
    bool accepts_chunks_;
    instant received_;
    std::function<void()> on_closed_;
    std::function<void()> on_ending_;
    std::function<void()> on_drained_;
    bool was_reset_ = false;
    bool started_ = false;
    bool sends_chunks_ = false;
    bool ends_by_close_ = false; ///< The end of the body is marked only by closing the connection.
};

/// \brief HTTP/1.1 server that passes complete requests to a handler and streams answers.
///
/// A connection handles one request at a time; pipelined requests wait until the current answer
/// has ended. Not thread safe.
class front_server : private accept_control {
public:
    using handler = std::function<void(std::shared_ptr<front_exchange>)>;
    /// \brief Builds the answer to a request that the server refuses. The connection is closed
    /// afterwards.
    using refusal_renderer = std::function<http_response(front_refusal)>;
    using shortage_handler = std::function<void(connection_shortage)>;

    /// \brief Without `render`, refusals consist of a status and an empty body.
    /// `on_shortage` may be null. `memory` bounds what connections hold and
    /// outlives the server; if it is null, only `limits` bound each of them.
    front_server(event_loop& loop, const front_limits& limits, handler on_request,
                 refusal_renderer render = nullptr, shortage_handler on_shortage = nullptr,
                 request_memory* memory = nullptr);
    ~front_server() override;
    front_server(const front_server&) = delete;
    front_server& operator=(const front_server&) = delete;
    front_server(front_server&&) = delete;
    front_server& operator=(front_server&&) = delete;

    result<address> listen(const address& at);

    void set_limits(const front_limits& limits) { limits_ = limits; }

    /// \brief Accepts the connections already in the backlog, then closes the listening socket.
    void stop_listening() { listener_.stop(); }

    /// \brief Makes every later answer carry `Connection: close`, and closes its connection.
    void close_after_answers() { closing_ = true; }

    /// \brief Tells the handlers of open requests that their answers must end now.
    void end_answers();

    /// \brief Closes the connections on which no request is being read or answered. Those whose
    /// last answer has been sent close by themselves, once their callers have had time to read it.
    void close_idle();

    /// \returns the number of connections on which a request is being read or an answer is not
    /// fully sent.
    std::size_t busy_connections() const;

private:
    friend class front_connection;
    void accept(int fd);
    bool may_accept() override;
    void on_shortage() override;

    bool has_room() const {
        return limits_.max_connections == 0 || connections_.size() < limits_.max_connections;
    }

    /// \returns whether there was one.
    bool close_longest_idle();
    void report(connection_shortage what) const;
    void check_connections();
    void remove(front_connection* connection);

    event_loop& loop_;
    front_limits limits_;
    byte_budget no_budget_{std::numeric_limits<std::size_t>::max() / 4};
    request_memory own_memory_{no_budget_};
    request_memory& memory_;
    handler on_request_;
    refusal_renderer render_;
    shortage_handler on_shortage_;
    tcp_listener listener_;
    std::map<front_connection*, std::shared_ptr<front_connection>> connections_;
    std::unique_ptr<timer> sweep_timer_;
    std::optional<instant> crowded_since_; ///< New connections wait since then.
    bool closing_ = false;
};

} // namespace azureyoke::transport
