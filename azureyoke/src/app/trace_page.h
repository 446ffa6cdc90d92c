#pragma once

#include <string>

#include "azureyoke/src/app/request_history.h"
#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::app {

/// \brief The page that tells what `history` knows of a request; status 404 when it knows nothing.
/// Thread safe.
transport::http_response trace_page(const request_history& history, const std::string& request_id);

} // namespace azureyoke::app
