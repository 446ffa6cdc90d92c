#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/share_service.h"
#include "azureyoke/src/coordination/membership.h"
#include "azureyoke/src/protocol/peer_link.h"
#include "azureyoke/src/transport/datagram_socket.h"

namespace azureyoke::app {

/// \brief Receives the messages of peers, except replies to lease renewal requests.
class peer_listener {
public:
    virtual ~peer_listener() = default;
    virtual void on_share_message(const std::string& from,
                                  const coordination::share_payload& payload) = 0;
    virtual bool on_lease_renewal_request(const std::string& from, std::uint64_t incarnation) = 0;
    virtual void on_dispatch_notice(const state::dispatch_notice& notice) = 0;
    virtual void on_document_stamps(const std::string& from,
                                    const std::vector<state::document_stamp>& stamps) = 0;
    virtual void on_document_requested(const std::string& from, const std::string& name) = 0;
    virtual void on_document(const std::string& from, const state::document_copy& copy) = 0;
    virtual void on_drain_notice(const state::drain_notice& notice) = 0;
    /// \brief The set of live members changed.
    virtual void on_members() = 0;
};

/// \brief Membership of one instance and its connections to live peers. Not thread safe.
class peer_mesh : public share_transport, public protocol::peer_receiver {
public:
    peer_mesh(transport::event_loop& loop, const event_log& log, const std::string& fleet,
              instance_identity self);
    ~peer_mesh() override;
    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;
    peer_mesh(peer_mesh&&) = delete;
    peer_mesh& operator=(peer_mesh&&) = delete;

    /// \brief Binds TCP and UDP on the same port.
    /// \pre Called once.
    transport::result<transport::address> listen(const transport::address& at,
                                                 peer_listener& listener);

    /// \brief Adds an instance from the platform's list.
    void seed(const state::member_record& record);
    void leave();

    std::vector<state::member_record> members() const { return members_.live_members(); }

    void send(const coordination::share_message& message) override;
    void ask_lessor(const std::string& lessor, std::function<void()> done) override;
    void post(const std::string& peer, protocol::peer_message message);
    void post_to_all(const protocol::peer_message& message);
    /// \brief Posts to live peers chosen at random: `near` in the own data centre, `far` in others.
    void post_to_random(std::size_t near, std::size_t far, const protocol::peer_message& message);

    /// \brief Bytes of membership datagrams sent so far.
    std::uint64_t probe_bytes() const { return probe_bytes_; }

private:
    void on_peer_message(const std::string& from, const protocol::peer_message& message) override;
    void on_peer_refused(const std::string& from, const std::string& why) override;
    void on_datagram(std::string_view bytes);
    void tick();
    void report_changes();
    protocol::peer_link* find_or_open_link(const std::string& peer);

    transport::event_loop& loop_;
    const event_log& log_;
    instance_identity self_;
    protocol::peer_identity identity_;
    transport::kj_loop kj_;
    std::unique_ptr<protocol::peer_server> server_;
    transport::datagram_socket socket_;
    coordination::membership members_;
    peer_listener* listener_ = nullptr;
    std::map<std::string, std::unique_ptr<protocol::peer_link>> links_;
    std::map<std::string, transport::instant> retry_at_; ///< When a lost link may be opened again.
    std::map<std::uint64_t, std::function<void()>> pending_queries_;
    std::uint64_t next_query_ = 1;
    std::mt19937_64 random_;
    std::uint64_t probe_bytes_ = 0;
    std::unique_ptr<transport::timer> tick_timer_;
};

} // namespace azureyoke::app
