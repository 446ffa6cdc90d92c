#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/part_service.h"
#include "azureyoke/src/app/peer_directory.h"
#include "azureyoke/src/app/permit_service.h"
#include "azureyoke/src/app/policy_service.h"
#include "azureyoke/src/app/software_rollout_service.h"
#include "azureyoke/src/app/weights_service.h"
#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::app {

/// \brief Data shown on the pages of a forwarding instance. All references must outlive the pages.
struct forward_page_sources {
    const forward_settings& settings;
    const transport::event_loop& loop;
    const app::metrics& metrics;
    const request_history& history;
    forward_state& state;
    const peer_directory& peers;
    policy_service& policies;
    permit_service& permits;
    const part_service& parts;
    const weights_service& weights;
    const software_rollout_service& software;
    const server_path& paths;
    std::function<bool()> ready;
    std::function<bool()> draining;
    std::function<bool()> registry_reachable;
    std::function<std::int64_t()> registry_era;
    std::function<std::size_t()> open_answers; ///< Pages being sent, the requested one included.
};

/// \returns the page as JSON text. Bytes that are not valid UTF-8 are replaced: a page shows names
/// and reasons that peers sent. Thread safe.
std::string render_page(const nlohmann::ordered_json& page);

/// \brief Renders the pages served at a forwarding instance's operator address. Not thread safe.
class forward_pages {
public:
    explicit forward_pages(forward_page_sources sources) : sources_(std::move(sources)) {}

    /// \returns the page under `path`, or an answer with status 404.
    transport::http_response page(std::string_view path) const;

private:
    std::string status() const;

    forward_page_sources sources_;
};

} // namespace azureyoke::app
