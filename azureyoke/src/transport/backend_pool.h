#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "azureyoke/src/transport/failed_calls.h"
#include "azureyoke/src/transport/http_reader.h"
#include "azureyoke/src/transport/tcp_stream.h"

namespace azureyoke::transport {

/// \brief Decision on an answer, taken when its head has been received.
enum class answer_verdict {
    accept, ///< The answer belongs to the request: pass it on.
    skip,   ///< The answer belongs to an earlier request: discard it and read the next one.
    reject  ///< The answer is unusable: the call fails.
};

/// \brief Receives one answer. The last call is exactly one of `on_end` and `on_failure`.
class backend_answer_sink {
public:
    virtual ~backend_answer_sink() = default;

    /// \brief The kernel has accepted the whole request: the call holds no copy of it any more.
    /// May be called before `backend_pool::send` returns, and not at all if the call fails.
    virtual void on_request_written() {}

    virtual answer_verdict on_head(const http_head& head) = 0;
    virtual void on_piece(std::string_view piece) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(const error& ec) = 0;
};

/// \brief Timeouts and sizes of a `backend_pool`.
struct backend_pool_limits {
    duration connect_timeout = std::chrono::milliseconds(300);
    std::size_t max_head_bytes = 64 * 1024;
    std::size_t max_idle_connections = 16; ///< Per backend server address.
    /// Connections beyond this number, to all addresses together, are not kept when idle.
    std::size_t max_kept_connections = 4096;
    /// Idle connections are not reused after this time: the backend server may be closing them.
    duration max_idle_time = std::chrono::seconds(4);

    friend bool operator==(const backend_pool_limits&, const backend_pool_limits&) = default;
};

/// \brief How a call's answer is told from answers to other calls. A faulty server may write an
/// answer once more, where the answer to the next call is due.
struct answer_match {
    enum class rule {
        order,     ///< The server writes each answer once: the next one belongs to the call.
        id,        ///< The answer repeats the id of its call.
        connection ///< The call has a connection of its own: each answer on it belongs to the call.
    };

    rule by = rule::order;
    std::string id; ///< With `rule::id`.

    static answer_match by_id(std::string id) { return {rule::id, std::move(id)}; }

    static answer_match by_connection() { return {rule::connection, {}}; }

    friend bool operator==(const answer_match&, const answer_match&) = default;
};

class backend_pool;
class backend_connection;

/// \brief Handle of a request in progress. Its destructor cancels the request by closing the
/// connection.
class backend_call {
public:
    backend_call(std::shared_ptr<backend_connection> connection, int number);
    ~backend_call();
    backend_call(const backend_call&) = delete;
    backend_call& operator=(const backend_call&) = delete;
    backend_call(backend_call&&) = delete;
    backend_call& operator=(backend_call&&) = delete;

    /// \brief Stops or resumes reading the answer, for backpressure.
    void pause(bool paused);

    /// \brief Closes the connection after its answer, unless it carries a later call already. For
    /// an answer that is of no use although its status is a success.
    ///
    /// \pre The call has ended.
    void retire_connection();

    /// \returns whether the connection carried an earlier call, whose answer a faulty server may
    /// write once more.
    bool on_kept_connection() const { return number_ > 1; }

private:
    std::shared_ptr<backend_connection> connection_;
    int number_; ///< Call number; the connection may already carry a later call.
};

/// \brief HTTP/1.1 client that reuses idle connections and streams answers.
///
/// A connection carries one request at a time. A connection is closed when it failed, when
/// unexpected bytes were read, when its request was not fully sent, or when it has answered too
/// many calls without success to remember them. Not thread safe.
class backend_pool {
public:
    backend_pool(event_loop& loop, const backend_pool_limits& limits);
    ~backend_pool();
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;
    backend_pool(backend_pool&&) = delete;
    backend_pool& operator=(backend_pool&&) = delete;

    /// \brief Sends a request; `Content-Length` is added to its fields. A call with an id uses no
    /// connection that has answered a call with this id without success: a copy of that answer
    /// could not be told from its own.
    std::unique_ptr<backend_call> send(const address& to, const http_request& request,
                                       const answer_match& match,
                                       std::shared_ptr<backend_answer_sink> sink);

    /// \brief The same with a body that is not copied into `head`, whose own body
    /// is ignored.
    std::unique_ptr<backend_call> send(const address& to, const http_request& head,
                                       std::string_view body, const answer_match& match,
                                       std::shared_ptr<backend_answer_sink> sink);

    std::size_t idle_connections() const { return idle_connections_; }

    /// \returns whether there is an idle connection to this address for such a call.
    bool has_idle(const address& to, const answer_match& match) const {
        return find_idle(to, match) != nullptr;
    }

    /// \returns whether an idle connection to this address has answered a call with this id without
    /// success.
    bool has_failed(const address& to, const std::string& id) const;

private:
    friend class backend_connection;
    /// \returns the connection used last of those that such a call may use, or null.
    std::shared_ptr<backend_connection> find_idle(const address& to,
                                                  const answer_match& match) const;
    void add_idle(const std::shared_ptr<backend_connection>& connection);
    void remove_idle(const backend_connection& connection);
    void remove(backend_connection& connection);
    void close_expired();

    event_loop& loop_;
    backend_pool_limits limits_;
    std::map<address, std::deque<std::shared_ptr<backend_connection>>> idle_;
    /// Connections that carry a call. A connection owns its sink, and the sink may own the call;
    /// the pool's destructor breaks this cycle.
    std::set<backend_connection*> busy_;
    std::size_t idle_connections_ = 0; ///< In `idle_`.
    std::unique_ptr<timer> sweep_timer_;
    std::shared_ptr<backend_pool*> self_; ///< Set to null when the pool is destroyed.
};

} // namespace azureyoke::transport
