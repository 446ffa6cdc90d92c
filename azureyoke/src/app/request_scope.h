#pragma once

#include <memory>
#include <optional>
#include <string>

#include "azureyoke/src/app/caller_services.h"
#include "azureyoke/src/protocol/caller_error.h"
#include "azureyoke/src/protocol/caller_request.h"
#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::app {

/// \brief The state that all kinds of requests share: id, trace, refusal and final log line.
///
/// Not thread safe.
class request_scope {
public:
    request_scope(caller_services& services, std::shared_ptr<transport::front_exchange> exchange);

    const std::string& id() const { return id_; }

    const transport::http_request& request() const { return exchange_->request(); }

    transport::front_exchange& exchange() { return *exchange_; }

    transport::instant start_time() const { return start_time_; }

    void add_trace_step(const std::string& step);

    void set_workspace(const std::string& name) { trace_.workspace = name; }

    /// \brief Answers with an error, or ends a started stream with an error event.
    void refuse(const protocol::caller_error& ec);
    /// \brief Logs the outcome and adds the trace to the history. Later calls have no effect.
    void close(event_id outcome, const std::string& detail);

private:
    caller_services& services_;
    std::shared_ptr<transport::front_exchange> exchange_;
    std::string id_;
    transport::instant start_time_;
    request_trace trace_;
    bool closed_ = false;
};

/// \returns the workspace of `key` in `config`, or the error to answer with.
tl::expected<state::workspace_ref, protocol::caller_error>
authenticate(const state::configuration& config, const std::optional<state::key_digest>& key);

} // namespace azureyoke::app
