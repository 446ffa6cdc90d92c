#pragma once

#include <functional>

#include "azureyoke/src/transport/backend_pool.h"

namespace azureyoke::transport {

/// A larger answer is given up: the store's largest page is 1 MB before its encoding.
constexpr std::size_t most_fetched_bytes = 4 * 1024 * 1024;

/// \brief Sends a request and collects its whole answer, or fails after `timeout` or beyond
/// `most_fetched_bytes`.
///
/// `done` is called once, from the loop. Not thread safe.
void fetch(event_loop& loop, backend_pool& pool, const address& to, const http_request& request,
           duration timeout, std::function<void(result<http_response>)> done);

} // namespace azureyoke::transport
