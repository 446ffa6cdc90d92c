#pragma once

#include <functional>

#include "azureyoke/src/transport/backend_pool.h"

namespace azureyoke::transport {

/// Limit on the body of a fetched answer, so that an endless body does not exhaust memory. The
/// store's largest page is 1 MB before encoding, and a row may be larger.
constexpr std::size_t max_fetched_bytes = 8 * 1024 * 1024;

/// \brief Time limits of a fetch whose body may be large. The time that a body takes depends on its
/// size and on what else the link carries, so that a limit on the whole would cut a sound transfer,
/// and its repetition would need as long again.
struct fetch_limits {
    duration head = std::chrono::milliseconds(700); ///< Until the head of the answer.
    /// A body fails when fewer than `min_progress_bytes` arrive in this time.
    duration stall = std::chrono::milliseconds(1000);
    /// Bound on the whole body, against one that trickles in.
    duration body = std::chrono::seconds(15);

    friend bool operator==(const fetch_limits&, const fetch_limits&) = default;
};

/// Progress that a body must make, 33 kbit/s with the default limits.
constexpr std::size_t min_progress_bytes = 4 * 1024;

/// \brief Sends a request and collects the complete answer. Fails after `timeout`, or when the
/// body exceeds `max_bytes`. An id in `match` only selects the connection: the answer's own is not
/// read.
///
/// `done` is called exactly once, from the event loop. Not thread safe.
void fetch(event_loop& loop, backend_pool& pool, const address& to, const http_request& request,
           duration timeout, std::function<void(result<http_response>)> done,
           std::size_t max_bytes = max_fetched_bytes, const answer_match& match = {});

/// \brief A fetch under way.
class fetch_call {
public:
    virtual ~fetch_call() = default;
    /// \brief Ends the fetch and closes its connection; `done` is not called. Has no effect on a
    /// fetch that has ended.
    virtual void cancel() = 0;
};

/// \brief The same with limits on the progress. `on_head` is called when the head has arrived; it
/// may be null.
std::shared_ptr<fetch_call> fetch(event_loop& loop, backend_pool& pool, const address& to,
                                  const http_request& request, const fetch_limits& limits,
                                  std::function<void()> on_head,
                                  std::function<void(result<http_response>)> done);

} // namespace azureyoke::transport
