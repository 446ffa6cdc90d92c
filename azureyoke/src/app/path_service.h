#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/forward_settings.h"
#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/metrics.h"
#include "azureyoke/src/app/peer_directory.h"
#include "azureyoke/src/app/server_path.h"
#include "azureyoke/src/coordination/helper_choice.h"
#include "azureyoke/src/coordination/path_watch.h"
#include "azureyoke/src/transport/backend_fetch.h"

namespace azureyoke::app {

/// \brief Watches this instance's path to the backend servers, probes it when in doubt, and names
/// instances that requests may be handed on to while it is lost. Not thread safe.
class path_service : public server_path {
public:
    path_service(transport::event_loop& loop, const forward_settings& settings,
                 forward_state& state, const peer_directory& peers,
                 transport::backend_pool& backends, const forward_dialect& dialect,
                 const event_log& log, metrics& measures);

    /// \brief To be called each 100 ms.
    void tick();

    void on_sent() override;
    void on_ended() override;
    void on_heard(bool new_connection) override;
    void on_unreachable(const std::string& server) override;

    bool lost() const override { return watch_.lost(); }

    bool open_connections_work() const override {
        return watch_.open_connections_work(loop_.now());
    }

    void check(const std::string& server, std::function<void(bool reached)> done) override;
    std::optional<request_helper> choose_helper() override;
    void on_handed_on(const std::string& helper) override;

    void on_help_ended(const std::string& helper) override { helpers_.on_ended(helper); }

    void on_help_served(const std::string& helper) override { helpers_.on_served(helper); }

    void on_help_refused(const std::string& helper) override;

private:
    struct target {
        std::string server;
        transport::address address;
        std::string health_path;
    };

    /// \returns up to `count` servers other than `except`, from a random one on.
    std::vector<target> targets(std::size_t count, const std::string& except);
    /// Asks a server for its health; any answer shows that it is reached. `done` may be null.
    void probe(const target& to, std::function<void(bool reached)> done);
    void on_probed(const std::string& server, bool reached);
    /// Probes the last of `list`, and the others until one is reached. \pre `list` is not empty.
    void check_next(std::vector<target> list, std::function<void(bool reached)> done);
    void on_reached();

    transport::event_loop& loop_;
    const forward_settings& settings_;
    forward_state& state_;
    const peer_directory& peers_;
    transport::backend_pool& backends_;
    const forward_dialect& dialect_;
    const event_log& log_;
    metrics& measures_;
    coordination::path_watch watch_;
    coordination::helper_choice helpers_;
    std::minstd_rand random_;
    std::size_t waiting_ = 0; ///< Requests that were sent to servers and have not ended.
    transport::instant next_candidates_;
    std::int64_t handed_on_ = 0; ///< Requests since the path was lost.
};

} // namespace azureyoke::app
