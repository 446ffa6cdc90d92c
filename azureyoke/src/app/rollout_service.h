#pragma once

#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/app/audit_service.h"
#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/peer_mesh.h"
#include "azureyoke/src/coordination/configuration_manager.h"
#include "azureyoke/src/coordination/replica_router.h"
#include "azureyoke/src/coordination/rollout_planner.h"
#include "azureyoke/src/coordination/table_lease.h"
#include "azureyoke/src/protocol/table_service.h"
#include "azureyoke/src/transport/http_client.h"

namespace azureyoke::app {

/// \brief Acquires, renews and releases a lease in the platform's table. Not thread safe.
class lease_service {
public:
    /// \brief `row` is the table row of the lease; each acquisition is logged to `log`.
    lease_service(transport::event_loop& loop, protocol::table_service& table, const event_log& log,
                  const instance_identity& self, std::string row);

    /// \brief Acquires or renews the lease if `wanted`, and releases it otherwise.
    void tick(bool wanted);

    bool held() const { return lease_.held(loop_.now()); }

    std::int64_t fencing_token() const { return lease_.fencing_token(); }

private:
    void run_actions(const std::vector<coordination::lease_action>& actions);
    void read(std::uint64_t number);
    void write(const coordination::lease_action& action);

    transport::event_loop& loop_;
    protocol::table_service& table_;
    const event_log& log_;
    std::string row_;
    coordination::table_lease lease_;
};

/// \brief Makes the replicas of this data centre load the desired weights of the documents.
///
/// Only the rollout leader, which holds the data centre's lease, sends orders, and only while it
/// also holds the fleet's rollout lease: replicas of one data centre at a time load weights, which
/// bounds the load on the weight store. Orders carry the fencing token of the data centre's lease.
/// Not thread safe.
class rollout_service {
public:
    /// \pre `orders` times out within `lease_settings::max_effect_delay`, which a successor waits
    /// out before it sends orders.
    rollout_service(transport::event_loop& loop, protocol::table_service& table,
                    transport::http_client& orders,
                    const coordination::configuration_manager& configuration,
                    coordination::replica_router& router, peer_mesh& peers, audit_service& audit,
                    const event_log& log, const instance_identity& self);

    /// \brief Sets whether this instance should become the rollout leader of its data centre.
    void set_candidate(bool candidate) { candidate_ = candidate; }

    /// \returns the replicas of this data centre whose weights differ from the desired weights.
    std::vector<coordination::rollout_item> items() const { return planner_.items(replicas()); }

private:
    std::vector<coordination::rollout_replica> replicas() const;
    void tick();
    void announce_drain(const std::string& replica);
    void send_order(const coordination::rollout_action& action);
    void on_order_answer(const std::string& replica,
                         const transport::result<transport::http_response>& answer);

    transport::event_loop& loop_;
    transport::http_client& orders_;
    const coordination::configuration_manager& configuration_;
    coordination::replica_router& router_;
    peer_mesh& peers_;
    audit_service& audit_;
    const event_log& log_;
    coordination::rollout_planner planner_;
    lease_service leader_lease_;
    lease_service rollout_lease_;
    bool candidate_ = false;
    std::unique_ptr<transport::timer> ticker_;
};

} // namespace azureyoke::app
