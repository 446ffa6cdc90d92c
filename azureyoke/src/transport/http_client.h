#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "azureyoke/src/transport/address.h"
#include "azureyoke/src/transport/event_loop.h"
#include "azureyoke/src/transport/http_message.h"

struct evhttp_connection;
struct evhttp_request;

namespace azureyoke::transport {

/// \brief Timeouts and sizes of an `http_client`.
struct http_client_limits {
    duration connect_timeout = std::chrono::milliseconds(500);
    duration first_byte_timeout = std::chrono::seconds(60);
    duration idle_timeout = std::chrono::seconds(20);
    std::size_t max_header_bytes = 64 * 1024;
    std::size_t max_body_bytes = 64 * 1024 * 1024;
    std::size_t max_idle_connections = 64; ///< Per address.

    friend bool operator==(const http_client_limits&, const http_client_limits&) = default;
};

/// \brief Receives one answer in order. The last call is exactly one of `on_end` and
/// `on_failure`.
class http_response_sink {
public:
    virtual ~http_response_sink() = default;
    virtual void on_head(int status, const http_fields& fields) = 0;
    virtual void on_piece(std::string_view piece) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(const error& ec) = 0;
};

class http_client;

/// \brief Handle of a request in progress. Its destructor cancels the request and closes the
/// connection.
class http_call {
public:
    http_call(http_client& client, const address& to, const http_request& request, bool reuse,
              std::shared_ptr<http_response_sink> sink);
    ~http_call();
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    http_call(http_call&&) = delete;
    http_call& operator=(http_call&&) = delete;

    /// \brief Stops or resumes reading the answer, for backpressure.
    void pause(bool paused);

private:
    friend class http_client;
    struct state;
    std::shared_ptr<state> state_;
};

/// \brief HTTP/1.1 client based on evhttp, with a pool of idle connections per address.
///
/// A connection carries one request at a time. It is closed when its request fails or is cancelled,
/// so that a late answer is never taken for the answer to another request. Not thread safe.
class http_client {
public:
    http_client(event_loop& loop, const http_client_limits& limits);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// \brief Sends a request. When `reuse` is false, a new connection is opened; this is for
    /// requests that must not fail because the peer has closed an idle connection.
    std::unique_ptr<http_call> send(const address& to, const http_request& request, bool reuse,
                                    std::shared_ptr<http_response_sink> sink);

    /// \brief Sends a request and passes the complete answer, or the failure, to `done`. The call
    /// cannot be cancelled.
    void fetch(const address& to, const http_request& request,
               std::function<void(result<http_response>)> done, bool reuse = true);

private:
    friend class http_call;
    evhttp_connection* acquire(const address& to, bool reuse);
    /// Schedules `finish_release` on the loop, since an evhttp callback may be on the stack.
    void release(const address& to, evhttp_connection* connection, bool reusable);
    void finish_release(const address& to, evhttp_connection* connection, bool reusable);

    event_loop& loop_;
    http_client_limits limits_;
    std::map<address, std::vector<evhttp_connection*>> idle_;
    std::set<evhttp_connection*> releasing_; ///< To be pooled or freed by `finish_release`.
    std::set<http_call::state*> active_calls_;
    std::shared_ptr<http_client*> self_; ///< Set to null when the client is destroyed.
};

} // namespace azureyoke::transport
