#pragma once

#include <functional>
#include <memory>

#include <kj/async-io.h>
#include <kj/async.h>

#include "azureyoke/src/transport/address.h"
#include "azureyoke/src/transport/event_loop.h"

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace azureyoke::transport {

/// \brief Runs KJ promises on a libevent loop, so that a process has a single loop.
///
/// When KJ has work, a deferred callback of the event loop runs it. At most one `kj_loop` may exist
/// per thread, since KJ's current loop is thread-local. Not thread safe.
class kj_loop {
public:
    explicit kj_loop(event_loop& loop);
    ~kj_loop();
    kj_loop(const kj_loop&) = delete;
    kj_loop& operator=(const kj_loop&) = delete;
    kj_loop(kj_loop&&) = delete;
    kj_loop& operator=(kj_loop&&) = delete;

    event_loop& events() { return loop_; }

    kj::WaitScope& scope() { return *scope_; }

private:
    class event_port;

    event_loop& loop_;
    std::unique_ptr<event_port> event_port_;
    std::unique_ptr<kj::EventLoop> kj_;
    std::unique_ptr<kj::WaitScope> scope_;
};

/// \brief Starts to connect to `to`. A failure to connect is reported by the first operation on
/// the stream.
kj::Own<kj::AsyncIoStream> connect_stream(event_loop& loop, const address& to);

/// \brief Accepts connections as KJ streams.
class stream_listener {
public:
    using handler = std::function<void(kj::Own<kj::AsyncIoStream>)>;

    stream_listener(event_loop& loop, handler on_stream);
    ~stream_listener();
    stream_listener(const stream_listener&) = delete;
    stream_listener& operator=(const stream_listener&) = delete;
    stream_listener(stream_listener&&) = delete;
    stream_listener& operator=(stream_listener&&) = delete;

    result<address> listen(const address& at);

private:
    static void on_accept(evconnlistener* listener, int fd, sockaddr* from, int length, void* self);

    event_loop& loop_;
    handler on_stream_;
    evconnlistener* listener_ = nullptr;
};

} // namespace azureyoke::transport
