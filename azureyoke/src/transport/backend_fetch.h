#pragma once

#include <functional>

#include "azureyoke/src/transport/backend_pool.h"

namespace azureyoke::transport {

/// Limit on the body of a fetched answer, so that an endless body does not exhaust memory. The
/// store's largest page is 1 MB before encoding.
constexpr std::size_t max_fetched_bytes = 4 * 1024 * 1024;

/// \brief Sends a request and collects the complete answer. Fails after `timeout`, or when the
/// body exceeds `max_fetched_bytes`.
///
/// `done` is called exactly once, from the event loop. Not thread safe.
void fetch(event_loop& loop, backend_pool& pool, const address& to, const http_request& request,
           duration timeout, std::function<void(result<http_response>)> done);

} // namespace azureyoke::transport
