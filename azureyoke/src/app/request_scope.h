#pragma once

#include <memory>
#include <optional>
#include <string>

#include "azureyoke/src/app/caller_services.h"
#include "azureyoke/src/protocol/caller_error.h"
#include "azureyoke/src/protocol/caller_request.h"
#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::app {

/// \brief What every kind of request shares: its id, its trace, its refusals and its answer.
///
/// Not thread safe.
class request_scope {
public:
    request_scope(caller_services& services, std::shared_ptr<transport::front_exchange> exchange);

    const std::string& id() const { return id_; }

    const transport::http_request& request() const { return exchange_->request(); }

    transport::front_exchange& exchange() { return *exchange_; }

    transport::instant began() const { return began_; }

    void note(const std::string& what);

    void set_workspace(const std::string& name) { trace_.workspace = name; }

    /// \brief Answers with an error, or ends a begun stream with an error event.
    void refuse(const protocol::caller_error& ec);
    /// \brief Logs the end and keeps the trace. Called once.
    void close(event_id how, const std::string& detail);

private:
    caller_services& services_;
    std::shared_ptr<transport::front_exchange> exchange_;
    std::string id_;
    transport::instant began_;
    request_trace trace_;
    bool closed_ = false;
};

/// \brief The workspace whose key came with the request, as the configuration in force has it.
tl::expected<state::workspace_ref, protocol::caller_error>
authenticate(const state::configuration& config, const std::optional<state::key_digest>& key);

} // namespace azureyoke::app
