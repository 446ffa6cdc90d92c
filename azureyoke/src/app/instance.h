#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "azureyoke/src/app/address_binder.h"
#include "azureyoke/src/app/audit_service.h"
#include "azureyoke/src/app/caller_services.h"
#include "azureyoke/src/app/configuration_service.h"
#include "azureyoke/src/app/front_refusals.h"
#include "azureyoke/src/app/log_rate_limiter.h"
#include "azureyoke/src/app/notice_rate_limiter.h"
#include "azureyoke/src/app/operator_pages.h"
#include "azureyoke/src/app/peer_mesh.h"
#include "azureyoke/src/app/replica_poller.h"
#include "azureyoke/src/app/rollout_service.h"
#include "azureyoke/src/app/snapshot_service.h"
#include "azureyoke/src/app/stall_detector.h"
#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::app {

/// \brief A running instance: connects the sockets, the services and the decision classes.
///
/// Not thread safe: all calls come from the thread of the event loop.
class instance : private peer_listener {
public:
    /// \brief `max_descriptors` is the limit of this process.
    instance(transport::event_loop& loop, instance_settings settings, std::size_t max_descriptors);
    ~instance() override;
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;
    instance(instance&&) = delete;
    instance& operator=(instance&&) = delete;

    /// \brief Binds the addresses, and waits for those in use. Then starts the periodic work.
    void start();
    /// \brief Begins a graceful shutdown. The loop stops when every request has ended, or at the
    /// drain limit.
    void drain();

    const transport::address& callers_address() const { return callers_address_; }

    const transport::address& operators_address() const { return operators_address_; }

private:
    void on_caller_request(const std::shared_ptr<transport::front_exchange>& exchange);
    void route_caller_request(const std::shared_ptr<transport::front_exchange>& exchange);
    void answer_models(const std::shared_ptr<transport::front_exchange>& exchange);
    void on_operator_request(const std::shared_ptr<transport::front_exchange>& exchange);
    void read_instance_list();
    void assign_data_centre_duties(bool assigned);
    void gossip();
    void announce_version(const state::document_stamp& stamp);
    void send_notices();
    void on_share_message(const std::string& from,
                          const coordination::share_payload& payload) override;
    bool on_lease_renewal_request(const std::string& from, std::uint64_t incarnation) override;
    void on_dispatch_notice(const state::dispatch_notice& notice) override;
    void on_document_stamps(const std::string& from,
                            const std::vector<state::document_stamp>& stamps) override;
    void on_document_requested(const std::string& from, const std::string& name) override;
    void on_document(const std::string& from, const state::document_copy& copy) override;
    void on_drain_notice(const state::drain_notice& notice) override;
    void on_members() override;
    void on_configuration(const std::shared_ptr<const state::document>& before,
                          const std::shared_ptr<const state::document>& after);
    void on_bound();
    void check_drained();
    void leave_fleet();
    bool ready() const;

    transport::event_loop& loop_;
    instance_settings settings_;
    instance_identity self_;
    event_log log_;
    log_rate_limiter log_limiter_;
    metrics metrics_;
    request_history history_;
    transport::http_client client_;
    transport::http_client platform_client_;
    protocol::http_platform platform_;
    audit_service audit_;
    coordination::configuration_manager configuration_;
    coordination::replica_router router_;
    coordination::retry_budget retries_;
    peer_mesh peers_;
    share_service shares_;
    dispatch_queue queue_;
    caller_services services_;
    configuration_service documents_;
    replica_poller poller_;
    rollout_service rollout_;
    snapshot_service snapshots_;
    transport::byte_budget held_bytes_;
    transport::request_memory request_memory_;
    front_refusals refusals_;
    transport::front_server callers_;
    transport::front_server operators_;
    transport::address callers_address_;
    transport::address operators_address_;
    transport::address peers_address_;
    std::unique_ptr<transport::timer> list_timer_;
    std::unique_ptr<transport::timer> gossip_timer_;
    std::map<std::string, transport::instant> last_listed_times_;
    notice_rate_limiter notice_rate_limiter_;
    int gossip_rounds_ = 0;
    int skipped_list_reads_ = 0;
    operator_pages pages_;
    stall_detector stalls_;
    address_binder binder_;
    std::uint64_t next_id_ = 0;
    transport::instant start_time_;
    bool draining_ = false;
    bool left_fleet_ = false;
    transport::instant drain_start_;
    std::unique_ptr<transport::timer> drain_timer_;
};

} // namespace azureyoke::app
