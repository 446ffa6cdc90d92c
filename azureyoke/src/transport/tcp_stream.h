#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "azureyoke/src/transport/address.h"
#include "azureyoke/src/transport/event_loop.h"

struct event;

namespace azureyoke::transport {

/// \brief Receives the events of a TCP stream. Each function may destroy the stream.
class tcp_stream_sink {
public:
    virtual ~tcp_stream_sink() = default;

    virtual void on_connected() {}

    virtual void on_bytes(std::string_view bytes) = 0;
    /// \brief The peer closed its side, or the connection failed (`reset`). Called once, as the
    /// last event.
    virtual void on_end(bool reset) = 0;

    /// \brief The kernel has accepted all output.
    virtual void on_drained() {}
};

/// \brief A non-blocking TCP connection driven by the event loop, using system calls directly.
///
/// The peer's end of file ends the stream: half-open connections are not supported.
/// Not thread safe.
class tcp_stream {
public:
    /// \brief Takes ownership of an accepted socket.
    tcp_stream(event_loop& loop, int fd, tcp_stream_sink& sink);
    /// \brief Starts to connect; a failure is reported to `on_end`, from the loop.
    tcp_stream(event_loop& loop, const address& to, tcp_stream_sink& sink);
    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;
    tcp_stream(tcp_stream&&) = delete;
    tcp_stream& operator=(tcp_stream&&) = delete;

    /// \brief Sends as much as the socket accepts now and buffers the remainder.
    void write(std::string_view bytes);

    /// \brief Shuts down the sending side after the buffered output has been sent.
    void shutdown_output();

    /// \brief Makes the destructor reset the connection, so that the peer cannot mistake the end
    /// for an orderly close.
    void reset_on_close() const;

    /// \returns the number of buffered bytes not yet accepted by the socket;
    /// those that a broken connection will never accept are not kept.
    std::size_t unwritten() const { return output_.size() - output_offset_; }

    /// \returns the memory that the output takes, in bytes.
    std::size_t held_output() const { return output_.capacity(); }

    bool connected() const { return connected_; }

    /// \returns whether a write found the connection broken.
    bool write_failed() const { return write_failed_; }

    /// \returns whether all output was accepted by the socket and acknowledged by
    /// the peer.
    bool output_acknowledged() const;

    /// \returns true once a byte may have reached the peer.
    bool may_have_sent_bytes() const { return may_have_sent_bytes_; }

    /// \brief Stops or resumes reading. A paused stream does not detect by itself that the peer
    /// closed.
    void pause(bool paused);

    /// \brief Reports to `on_end` that the peer of a paused stream closed its side or reset the
    /// connection. Reads nothing. An end that waits behind bytes for which the kernel has no room
    /// is not known. Does nothing on a stream that is not paused.
    void check_paused_end();

private:
    void create_read_event();
    void watch_writable(bool wanted);
    void flush();
    void drop_sent_output();
    void on_write_failed();
    void finish(bool reset);
    static void on_readable(int fd, short events, void* self);
    static void on_writable(int fd, short events, void* self);

    event_loop& loop_;
    tcp_stream_sink* sink_;
    int fd_ = -1;
    event* read_event_ = nullptr;
    event* write_event_ = nullptr;
    std::string output_;
    std::size_t output_offset_ = 0;
    bool connected_ = false;
    bool may_have_sent_bytes_ = false;
    bool paused_ = false;
    bool ended_ = false;
    bool shutdown_pending_ = false;
    bool write_watched_ = false;
    /// A write found the connection broken. The peer's bytes may still be read,
    /// but their end is no orderly one: the failed write has taken the socket's
    /// error, so that the next read reports the end of file.
    bool write_failed_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// \brief Decides whether a `tcp_listener` accepts connections. Not thread safe.
class accept_control {
public:
    virtual ~accept_control() = default;
    /// \returns whether the next connection may be accepted; otherwise it waits for a moment.
    virtual bool may_accept() = 0;
    /// \brief A connection could not be accepted for want of descriptors or memory, and waits.
    virtual void on_shortage() = 0;
};

/// \brief Accepts TCP connections.
class tcp_listener {
public:
    using handler = std::function<void(int fd)>;

    /// \brief `control` may be null; else it outlives the listener.
    tcp_listener(event_loop& loop, handler on_accept, accept_control* control = nullptr);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    tcp_listener(tcp_listener&&) = delete;
    tcp_listener& operator=(tcp_listener&&) = delete;

    /// \returns the bound address.
    result<address> listen(const address& at);

    /// \brief Accepts the connections already in the backlog, then closes the listening socket.
    void stop();

private:
    static void on_acceptable(int fd, short events, void* self);
    /// Leaves waiting connections alone for a moment. They would wake the loop without end.
    void pause();

    event_loop& loop_;
    handler on_accept_;
    accept_control* control_;
    std::unique_ptr<timer> resume_timer_;
    int fd_ = -1;
    event* event_ = nullptr;
};

} // namespace azureyoke::transport
