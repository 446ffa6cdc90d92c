#pragma once

#include <functional>
#include <string>
#include <vector>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/peer_board.h"
#include "azureyoke/src/coordination/table_lease.h"
#include "azureyoke/src/coordination/weights_rollout.h"

namespace azureyoke::app {

/// \brief Brings backend servers to the named weights: holds the lease for it when it is this
/// instance's turn, gives the orders and tells the peers. Not thread safe.
class weights_service {
public:
    weights_service(transport::event_loop& loop, const forward_settings& settings,
                    std::uint64_t incarnation, forward_state& state, record_store& records,
                    server_orders& orders, peer_board& peers, const event_log& log);

    void start();

    /// \brief The instance leaves: it orders nothing more and gives the lease back.
    void stop() { stopping_ = true; }

    /// \brief The store came back from an older copy: the lease must be taken anew there.
    void on_registry_era(std::int64_t era) { lease_.on_era(era); }

    bool holds_lease() const;
    /// \brief What peers are told of servers that change or have changed.
    std::vector<weights_notice> notices() const;

private:
    struct told_notice {
        weights_notice what;
        transport::instant at;
    };

    void tick();
    std::vector<coordination::rollout_server> servers() const;
    bool my_turn(transport::instant now);
    void run(const coordination::lease_action& action);
    void order(const coordination::weights_action& action);
    void look(const coordination::weights_action& action);
    void on_loading(const coordination::weights_action& action, bool loading);
    void tell_completed();
    void tell(const weights_notice& notice);

    transport::event_loop& loop_;
    const forward_settings& settings_;
    forward_state& state_;
    record_store& records_;
    server_orders& orders_;
    peer_board& peers_;
    const event_log& log_;
    coordination::table_lease lease_;
    coordination::weights_rollout rollout_;
    std::unique_ptr<transport::timer> timer_;
    transport::instant work_since_;
    std::vector<told_notice> told_;
    bool held_ = false;
    bool stopping_ = false;
};

} // namespace azureyoke::app
