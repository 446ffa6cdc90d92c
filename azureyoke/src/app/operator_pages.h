#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "azureyoke/src/app/configuration_service.h"
#include "azureyoke/src/app/metrics.h"
#include "azureyoke/src/app/peer_mesh.h"
#include "azureyoke/src/app/request_history.h"
#include "azureyoke/src/app/rollout_service.h"
#include "azureyoke/src/app/share_service.h"
#include "azureyoke/src/coordination/configuration_manager.h"
#include "azureyoke/src/coordination/replica_router.h"
#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::app {

/// \brief The data sources of the operator pages. Each must outlive the pages.
struct operator_sources {
    const instance_identity& self;
    const transport::event_loop& loop;
    const app::metrics& metrics;
    const request_history& history;
    const coordination::configuration_manager& configuration;
    const configuration_service& documents;
    const coordination::replica_router& router;
    const peer_mesh& peers;
    const share_service& shares;
    const rollout_service& rollout;
    std::function<bool()> ready;
    std::function<bool()> draining;
};

/// \returns the Prometheus text of the gauge of replicas that ramp up.
std::string ramp_gauge(const coordination::replica_tracker& tracker);

/// \brief Renders the pages served at the operator address. Not thread safe.
class operator_pages {
public:
    explicit operator_pages(operator_sources sources) : sources_(std::move(sources)) {}

    /// \returns the page under `path`, or an answer with status 404.
    transport::http_response page(std::string_view path) const;

private:
    std::string status_json() const;
    nlohmann::json documents() const;
    nlohmann::json replicas() const;

    operator_sources sources_;
};

} // namespace azureyoke::app
