#pragma once

#include <string>

#include "azureyoke/src/app/request_history.h"
#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::app {

/// \returns the trace of a request in `history` as JSON, or status 404 when there is none.
/// Thread safe.
transport::http_response trace_page(const request_history& history, const std::string& request_id);

} // namespace azureyoke::app
