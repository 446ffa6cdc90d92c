#pragma once

#include <functional>
#include <string>
#include <vector>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/peer_directory.h"
#include "azureyoke/src/coordination/table_lease.h"
#include "azureyoke/src/coordination/weights_rollout.h"

namespace azureyoke::app {

/// \brief Rolls out the desired weights to the backend servers. The instance that holds the weights
/// lease sends the orders and notifies the peers. Not thread safe.
class weights_service {
public:
    weights_service(transport::event_loop& loop, const forward_settings& settings,
                    std::uint64_t incarnation, forward_state& state, record_store& records,
                    server_order_client& orders, peer_directory& peers, const event_log& log);

    void start();

    /// \brief Stops sending orders and releases the lease, because the instance leaves.
    void stop() { stopping_ = true; }

    /// \brief The store's era became known, or the store was restored from an older copy: the lease
    /// must be acquired again.
    void on_registry_era(std::int64_t era) { lease_.on_era(era); }

    bool holds_lease() const;
    /// \returns the notices for peers about servers that change weights or have changed them.
    std::vector<weights_notice> notices() const;

private:
    struct sent_notice {
        weights_notice notice;
        transport::instant sent_at;
    };

    void tick();
    std::vector<coordination::rollout_server> rollout_servers() const;
    bool may_take_lease(transport::instant now);
    void perform(const coordination::lease_action& action);
    void send_order(const coordination::weights_action& action);
    void observe(const coordination::weights_action& action);
    void set_loading(const coordination::weights_action& action, bool loading);
    void announce_completed();
    void announce(const weights_notice& notice);

    transport::event_loop& loop_;
    const forward_settings& settings_;
    forward_state& state_;
    record_store& records_;
    server_order_client& orders_;
    peer_directory& peers_;
    const event_log& log_;
    coordination::table_lease lease_;
    coordination::weights_rollout rollout_;
    std::unique_ptr<transport::timer> timer_;
    transport::instant work_since_;
    std::vector<sent_notice> sent_notices_;
    bool was_holder_ = false;
    bool stopping_ = false;
};

} // namespace azureyoke::app
