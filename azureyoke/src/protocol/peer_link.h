#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/protocol/peer_messages.h"
#include "azureyoke/src/transport/address.h"
#include "azureyoke/src/transport/kj_loop.h"

namespace azureyoke::protocol {

/// \brief The identity that an instance sends to a peer when a link opens.
struct peer_identity {
    std::string fleet;
    std::string instance;
    std::uint64_t incarnation = 0;

    friend bool operator==(const peer_identity&, const peer_identity&) = default;
};

/// \brief Receives peers' messages. Not thread safe.
class peer_receiver {
public:
    virtual ~peer_receiver() = default;
    virtual void on_peer_message(const std::string& from, const peer_message& message) = 0;
    /// \brief A peer's introduction was refused, or a peer's message of an unknown kind was
    /// skipped. Neither changes any state.
    virtual void on_peer_refused(const std::string& from, const std::string& why) = 0;
};

/// \brief Accepts links from peers.
class peer_server {
public:
    peer_server(transport::kj_loop& loop, peer_identity self, peer_receiver& receiver);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    peer_server(peer_server&&) = delete;
    peer_server& operator=(peer_server&&) = delete;

    transport::result<transport::address> listen(const transport::address& at);

private:
    struct accepted_link;
    void accept(kj::Own<kj::AsyncIoStream> stream);

    transport::kj_loop& loop_;
    peer_identity self_;
    peer_receiver& receiver_;
    transport::stream_listener listener_;
    std::vector<std::unique_ptr<accepted_link>> links_;
};

/// \brief A link to one peer, over which this instance posts messages.
///
/// Messages posted in one iteration of the event loop are sent in one call. Messages are dropped
/// when too many already wait for the peer. `on_lost` is called once when the link is lost; the
/// link cannot be used afterwards.
class peer_link {
public:
    peer_link(transport::kj_loop& loop, const transport::address& to, const peer_identity& self,
              std::function<void(const std::string& why)> on_lost);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(peer_link&&) = delete;

    /// \brief Queues a message, or drops it when the queue is full.
    void post(peer_message message);
    /// \returns the number of messages dropped.
    std::uint64_t dropped() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace azureyoke::protocol
