#pragma once

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/log_rate_limiter.h"
#include "azureyoke/src/app/metrics.h"
#include "azureyoke/src/transport/byte_budget.h"
#include "azureyoke/src/transport/event_loop.h"
#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::app {

/// \brief Records the requests that a front server refuses before they are
/// whole, and shows what an instance holds for callers and servers. All
/// references must outlive the object. Not thread safe.
class front_refusals {
public:
    front_refusals(const transport::event_loop& loop, const event_log& log,
                   log_rate_limiter& limiter, metrics& measures,
                   const transport::byte_budget& budget);

    /// \brief Counts and logs a refusal at the address called `listener`.
    /// \returns the answer, with these fields.
    transport::http_response answer(transport::front_refusal why, const char* listener,
                                    const transport::http_fields& fields);

private:
    const transport::event_loop& loop_;
    const event_log& log_;
    log_rate_limiter& limiter_;
    metrics& measures_;
    const transport::byte_budget& budget_;
};

} // namespace azureyoke::app
