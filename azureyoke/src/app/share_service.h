#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/coordination/grant_manager.h"
#include "azureyoke/src/coordination/share_manager.h"
#include "azureyoke/src/protocol/table_service.h"
#include "azureyoke/src/state/configuration.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Sends messages of the share protocol to peers. Messages may be lost.
class share_transport {
public:
    virtual ~share_transport() = default;
    virtual void send(const coordination::share_message& message) = 0;
    /// \brief Asks `lessor` to renew the lease on this instance's grant. Calls `done` only if the
    /// lessor renews it.
    virtual void ask_lessor(const std::string& lessor, std::function<void()> done) = 0;
};

/// \brief Identifies one run of an instance.
struct instance_identity {
    std::string name;
    std::string data_centre;
    std::uint64_t incarnation = 0;

    friend bool operator==(const instance_identity&, const instance_identity&) = default;
};

/// \brief Connects the share decisions of one instance to the event loop, the table and the peers.
///
/// Not thread safe.
class share_service {
public:
    using admission_handler = std::function<void(const coordination::admission_outcome&)>;

    share_service(transport::event_loop& loop, protocol::table_service& table,
                  share_transport& peers, const event_log& log, instance_identity self);

    void apply(const state::configuration& config);
    void set_peers(const std::vector<coordination::share_peer>& peers);

    void set_ended(std::set<std::string> names) { grant_manager_.set_ended(std::move(names)); }

    /// \brief Requests tokens. Calls `done` once, possibly before this function returns.
    coordination::admission_id request_admission(const std::string& workspace, std::int64_t tokens,
                                                 admission_handler done);
    void finish_request(coordination::admission_id id, std::int64_t used);
    void cancel_request(coordination::admission_id id);

    /// \brief Processes a message of the share protocol from the peer `from`.
    void receive(const std::string& from, const coordination::share_payload& payload);
    bool renew_lease_of(const std::string& owner, std::uint64_t incarnation);

    /// \brief Returns this instance's part of the limits to the data centre.
    void leave() { grant_manager_.leave(); }

    bool has_left() const { return grant_manager_.has_left(); }

    std::int64_t part() const { return grant_manager_.part(); }

    bool lease_valid() const { return loop_.now() < grant_manager_.lease_end(); }

private:
    void tick();
    void run_grant_actions(const std::vector<coordination::grant_action>& actions);
    void read_row();
    void write_row(const coordination::grant_action& action);
    void refresh_limits();
    void log_lease_expiry();
    void dispatch_outputs();
    void schedule_wake();

    transport::event_loop& loop_;
    protocol::table_service& table_;
    share_transport& peers_;
    const event_log& log_;
    instance_identity self_;
    std::string row_name_;
    coordination::share_manager share_manager_;
    coordination::grant_manager grant_manager_;
    /// Limits of the workspaces with the part of each that the data centre has.
    std::vector<coordination::share_limit> data_centre_limits_;
    std::int64_t applied_part_ = -1;
    bool lease_was_valid_ = false;
    coordination::admission_id next_ticket_ = 1;
    std::map<coordination::admission_id, admission_handler> pending_handlers_;
    std::unique_ptr<transport::timer> ticker_;
    std::unique_ptr<transport::timer> wake_timer_; ///< Fires at the share manager's next deadline.
    std::optional<transport::instant> wake_at_;
};

} // namespace azureyoke::app
