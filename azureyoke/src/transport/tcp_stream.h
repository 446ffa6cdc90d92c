#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "azureyoke/src/transport/address.h"
#include "azureyoke/src/transport/event_loop.h"

struct event;

namespace azureyoke::transport {

/// \brief Receives what happens on a TCP stream. Each call may destroy the stream.
class tcp_stream_sink {
public:
    virtual ~tcp_stream_sink() = default;

    virtual void on_connected() {}

    virtual void on_bytes(std::string_view bytes) = 0;
    /// \brief The peer has ended its side, or the connection broke. Comes once and last.
    virtual void on_end(bool reset) = 0;

    /// \brief All that was written has left this process.
    virtual void on_drained() {}
};

/// \brief A non-blocking TCP connection on the loop, read and written with plain system calls.
///
/// The peer's end of file counts as its end: half-open connections are not kept.
/// Not thread safe.
class tcp_stream {
public:
    /// \brief Takes over an accepted socket.
    tcp_stream(event_loop& loop, int fd, tcp_stream_sink& sink);
    /// \brief Starts to connect; a failure is reported by `on_end` from the loop.
    tcp_stream(event_loop& loop, const address& to, tcp_stream_sink& sink);
    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;
    tcp_stream(tcp_stream&&) = delete;
    tcp_stream& operator=(tcp_stream&&) = delete;

    /// \brief Sends at once what the socket takes and keeps the rest.
    void write(std::string_view bytes);

    /// \brief No more is written: once the rest has left, the peer sees the end of file.
    void end_output();

    /// \brief The stream's end is a reset, so that the peer can't take it for an end in order.
    void reset_at_end() const;

    /// \brief Bytes that wait to be written.
    std::size_t unwritten() const { return out_.size() - out_at_; }

    bool connected() const { return connected_; }

    /// \brief True once a byte may have reached the peer.
    bool bytes_left() const { return bytes_left_; }

    /// \brief Stops or resumes reading. A paused stream does not notice the peer's end.
    void pause(bool paused);

private:
    void arm();
    void watch_writable(bool wanted);
    void flush();
    void finish(bool reset);
    static void readable(int fd, short what, void* self);
    static void writable(int fd, short what, void* self);

    event_loop& loop_;
    tcp_stream_sink* sink_;
    int fd_ = -1;
    event* read_ = nullptr;
    event* write_ = nullptr;
    std::string out_;
    std::size_t out_at_ = 0;
    bool connected_ = false;
    bool bytes_left_ = false;
    bool paused_ = false;
    bool ended_ = false;
    bool output_ends_ = false;
    bool write_watched_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// \brief Accepts TCP connections.
class tcp_listener {
public:
    using handler = std::function<void(int fd)>;

    tcp_listener(event_loop& loop, handler on_accept);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    tcp_listener(tcp_listener&&) = delete;
    tcp_listener& operator=(tcp_listener&&) = delete;

    /// \returns the address bound.
    result<address> listen(const address& at);

    /// \brief Accepts what has connected already, and nothing later.
    void stop();

private:
    static void acceptable(int fd, short what, void* self);

    event_loop& loop_;
    handler on_accept_;
    int fd_ = -1;
    event* event_ = nullptr;
};

} // namespace azureyoke::transport
