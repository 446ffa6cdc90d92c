#pragma once

#include <memory>
#include <string>

#include "azureyoke/src/app/forward_pages.h"
#include "azureyoke/src/app/forward_session.h"
#include "azureyoke/src/app/peer_board.h"
#include "azureyoke/src/app/weights_service.h"

namespace azureyoke::app {

/// \brief The outside world of a forwarding instance. All outlive it.
struct forward_world {
    fleet_registry& registry;
    record_store& records;
    server_orders& orders;
    const forward_dialect& dialect;
};

/// \brief One running instance that forwards for a registered fleet.
///
/// Not thread safe; lives on the loop's thread.
class forward_instance : private registry_listener {
public:
    forward_instance(transport::event_loop& loop, forward_settings settings, forward_world world);
    ~forward_instance() override;
    forward_instance(const forward_instance&) = delete;
    forward_instance& operator=(const forward_instance&) = delete;
    forward_instance(forward_instance&&) = delete;
    forward_instance& operator=(forward_instance&&) = delete;

    /// \brief Binds the addresses. \returns why it could not.
    transport::result<void> start();
    /// \brief Begins a graceful shutdown; the loop stops once every request has ended.
    void drain();
    /// \brief The settings file may have changed. Settings that are not valid change nothing; own
    /// addresses and the registry's stay as they are while the process runs.
    void reload(const std::string& text);

private:
    void on_policy(const policy_copy& copy) override;
    void on_named_weights(const std::string& model, std::int64_t version, bool just_named) override;
    void learn_weights(const std::string& model, std::int64_t version, transport::instant since,
                       bool certain);
    void on_servers(const std::vector<state::fleet_server>& list) override;
    void on_server(const state::fleet_server& entry) override;
    void on_server_gone(const std::string& id) override;
    void on_unreadable(const std::string& row, const std::string& why) override;
    void on_registry(bool reachable, const std::string& why) override;
    void on_registry_era(std::int64_t era) override;

    peer_report report(peer_board::reach to);
    void on_peer_report(const peer_report& report);
    void fetch_policy();
    void housekeeping();
    /// Answers a request that could not be read.
    transport::http_response refuse_unread(transport::front_refusal why);
    bool ready() const;
    void check_drained();

    transport::event_loop& loop_;
    forward_settings settings_;
    forward_world world_;
    std::uint64_t incarnation_;
    event_log log_;
    line_budget lines_;
    metrics metrics_;
    request_history history_;
    transport::backend_pool backends_;
    forward_state state_;
    forward_services services_;
    peer_board peers_;
    weights_service weights_;
    transport::front_server callers_;
    transport::front_server readiness_;
    forward_pages pages_;
    transport::front_server operators_;
    std::unique_ptr<transport::timer> housekeeping_timer_;
    std::unique_ptr<transport::timer> policy_timer_;
    std::unique_ptr<transport::timer> drain_timer_;
    bool registry_reachable_ = false;
    std::int64_t registry_era_ = 0; ///< The last one told of; 0 before the first.
    transport::instant registry_lost_;
    transport::instant peer_reached_at_;
    bool draining_ = false;
    bool was_quiet_ = false; ///< No caller was busy at the last look of the drain.
    transport::instant drain_began_;
};

} // namespace azureyoke::app
