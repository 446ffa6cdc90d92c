#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "azureyoke/src/transport/http_reader.h"
#include "azureyoke/src/transport/tcp_stream.h"

namespace azureyoke::transport {

/// \brief What to do with an answer whose head has come.
enum class answer_verdict {
    take,  ///< It answers the request.
    skip,  ///< It answers an earlier request: drop it whole and wait for the next one.
    refuse ///< It is no answer to use: the call fails.
};

/// \brief Receives one answer. Exactly one of `on_end` and `on_failure` comes last.
class backend_answer_sink {
public:
    virtual ~backend_answer_sink() = default;
    virtual answer_verdict on_head(const http_head& head) = 0;
    virtual void on_piece(std::string_view piece) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(const error& ec) = 0;
};

struct backend_pool_limits {
    duration connect_timeout = std::chrono::milliseconds(300);
    std::size_t head_bytes = 64 * 1024;
    std::size_t idle_connections = 16; ///< For each address.
    /// A kept connection that idled for longer may be closing at the other end.
    duration longest_idle = std::chrono::seconds(4);

    friend bool operator==(const backend_pool_limits&, const backend_pool_limits&) = default;
};

class backend_pool;
class backend_connection;

/// \brief A request under way. Destroying it cancels the request by closing its connection.
class backend_call {
public:
    backend_call(std::shared_ptr<backend_connection> connection, int number);
    ~backend_call();
    backend_call(const backend_call&) = delete;
    backend_call& operator=(const backend_call&) = delete;
    backend_call(backend_call&&) = delete;
    backend_call& operator=(backend_call&&) = delete;

    /// \brief Stops or resumes reading, for backpressure.
    void pause(bool paused);

private:
    std::shared_ptr<backend_connection> connection_;
    int number_; ///< Of the call on its connection, which later calls may reuse.
};

/// \brief HTTP/1.1 client that keeps idle connections and passes answers on piece by piece.
///
/// A connection carries one request at a time. One on which anything unexpected was read, that
/// failed, or whose request was not sent whole, is closed. Not thread safe.
class backend_pool {
public:
    backend_pool(event_loop& loop, const backend_pool_limits& limits);
    ~backend_pool();
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;
    backend_pool(backend_pool&&) = delete;
    backend_pool& operator=(backend_pool&&) = delete;

    /// \brief Sends a request whose fields are complete but for the length of its body. `reuse`
    /// false opens a connection of its own.
    std::unique_ptr<backend_call> send(const address& to, const http_request& request, bool reuse,
                                       std::shared_ptr<backend_answer_sink> sink);

private:
    friend class backend_connection;
    std::shared_ptr<backend_connection> acquire(const address& to, bool reuse);
    void keep(const std::shared_ptr<backend_connection>& connection);
    void forget(backend_connection& connection);
    void sweep();

    event_loop& loop_;
    backend_pool_limits limits_;
    std::map<address, std::deque<std::shared_ptr<backend_connection>>> idle_;
    /// With a call on them. Each keeps its sink, which may keep the call: the pool's end frees
    /// both.
    std::set<backend_connection*> busy_;
    std::unique_ptr<timer> sweep_timer_;
    std::shared_ptr<backend_pool*> self_;
};

} // namespace azureyoke::transport
