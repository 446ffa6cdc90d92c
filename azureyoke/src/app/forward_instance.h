#pragma once

#include <memory>
#include <string>

#include "azureyoke/src/app/address_binder.h"
#include "azureyoke/src/app/descriptor_shares.h"
#include "azureyoke/src/app/forward_pages.h"
#include "azureyoke/src/app/forward_session.h"
#include "azureyoke/src/app/front_refusals.h"
#include "azureyoke/src/app/overload_section.h"
#include "azureyoke/src/app/overload_watch.h"
#include "azureyoke/src/app/part_service.h"
#include "azureyoke/src/app/path_service.h"
#include "azureyoke/src/app/peer_directory.h"
#include "azureyoke/src/app/permit_service.h"
#include "azureyoke/src/app/policy_service.h"
#include "azureyoke/src/app/ramp_service.h"
#include "azureyoke/src/app/registry_relay.h"
#include "azureyoke/src/app/run_watch_service.h"
#include "azureyoke/src/app/software_rollout_service.h"
#include "azureyoke/src/app/speed_section.h"
#include "azureyoke/src/app/stream_service.h"
#include "azureyoke/src/app/weights_service.h"

namespace azureyoke::app {

/// \brief The external dependencies of a forwarding instance. All outlive the instance.
struct forward_dependencies {
    fleet_registry& registry;
    record_store& records;
    server_order_client& orders;
    run_list_client& runs;
    const forward_dialect& dialect;
    rollout_status_store& statuses;
    std::size_t max_descriptors = 1024; ///< Of this process.
};

/// \brief One running instance that forwards for a registered fleet.
///
/// Not thread safe; used only on the loop's thread.
class forward_instance : private registry_listener {
public:
    forward_instance(transport::event_loop& loop, forward_settings settings,
                     forward_dependencies dependencies);
    ~forward_instance() override;
    forward_instance(const forward_instance&) = delete;
    forward_instance& operator=(const forward_instance&) = delete;
    forward_instance(forward_instance&&) = delete;
    forward_instance& operator=(forward_instance&&) = delete;

    /// \brief Binds the addresses, and waits for those in use. Then starts the periodic work.
    void start();
    /// \brief Begins a graceful shutdown. The loop stops when every request has ended, or at the
    /// drain limit.
    void drain();
    /// \brief Applies the drain limit, weights limit, seeds and retry settings in the text of the
    /// settings file. Invalid settings change nothing. All other settings, among them the
    /// instance's own addresses and the registry's address, do not change while the process runs.
    void reload(const std::string& text);

private:
    void on_bound();
    void on_policy(const policy_copy& copy) override;
    /// A newer policy has come into force.
    void on_new_policy(const policy_copy& copy);
    void on_desired_weights(const std::string& model, std::int64_t version,
                            bool time_known) override;
    void update_desired_weights(const std::string& model, std::int64_t version,
                                transport::instant since, bool time_known);
    void on_servers(const std::vector<state::fleet_server>& list) override;
    void on_server(const state::fleet_server& entry) override;
    void on_server_removed(const std::string& id) override;
    void on_rollout_order(const rollout_order_row& order) override;
    void on_unreadable_row(const std::string& row, const std::string& why) override;
    void on_registry_reachable(bool reachable, const std::string& why) override;
    void on_registry_era(std::int64_t era) override;

    peer_report report(peer_directory::report_scope scope);
    void on_peer_report(const peer_report& report);
    void housekeeping();
    /// Whether readers of the registry tell the others of their data centre of changes.
    bool relay_wanted() const;
    /// Returns a function that answers requests which were refused before they
    /// were whole.
    transport::front_server::refusal_renderer refusals_at(const char* listener);
    void on_connection_shortage(transport::connection_shortage what);
    bool ready() const;
    void check_drained();

    transport::event_loop& loop_;
    forward_settings settings_;
    forward_dependencies dependencies_;
    descriptor_shares descriptors_;
    std::uint64_t incarnation_;
    event_log log_;
    log_rate_limiter log_limiter_;
    metrics metrics_;
    request_history history_;
    transport::backend_pool backends_;
    forward_state state_;
    speed_section speeds_; ///< Outlives `peers_`, which calls it.
    peer_directory peers_;
    overload_section overload_;
    overload_watch overload_watch_;
    registry_relay relay_;
    policy_service policies_;
    permit_service permits_;
    part_service parts_;
    stream_service streams_;
    path_service paths_;
    ramp_service ramps_;
    run_watch_service runs_;
    software_rollout_service software_;
    transport::byte_budget held_bytes_;
    transport::request_memory request_memory_;
    front_refusals refusals_;
    forward_services services_;
    weights_service weights_;
    transport::front_server callers_;
    transport::front_server helped_; ///< For instances that reach no server.
    transport::front_server readiness_;
    forward_pages pages_;
    transport::front_server operators_;
    address_binder binder_;
    std::unique_ptr<transport::timer> housekeeping_timer_;
    std::unique_ptr<transport::timer> drain_timer_;
    bool registry_reachable_ = false;
    std::int64_t registry_era_ = 0; ///< The last era reported; 0 before the first.
    transport::instant registry_lost_at_;
    transport::instant peer_reached_registry_at_;
    bool draining_ = false;
    bool was_idle_ = false; ///< No connection was busy at the last drain check.
    transport::instant drain_began_;
};

} // namespace azureyoke::app
