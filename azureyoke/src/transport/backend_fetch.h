#pragma once

#include <functional>

#include "azureyoke/src/transport/backend_pool.h"

namespace azureyoke::transport {

/// \brief Sends a request and collects its whole answer, or fails after `timeout`.
///
/// `done` is called once, from the loop. Not thread safe.
void fetch(event_loop& loop, backend_pool& pool, const address& to, const http_request& request,
           duration timeout, std::function<void(result<http_response>)> done);

} // namespace azureyoke::transport
