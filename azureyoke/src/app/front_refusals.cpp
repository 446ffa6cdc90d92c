#include "azureyoke/src/app/front_refusals.h"

namespace azureyoke::app {

front_refusals::front_refusals(const transport::event_loop& loop, const event_log& log,
                               log_rate_limiter& limiter, metrics& measures,
                               const transport::byte_budget& budget)
    : loop_(loop), log_(log), limiter_(limiter), measures_(measures), budget_(budget) {
    using transport::held_kind;
    measures.gauge("azureyoke_held_bytes", "kind", "requests",
                   [&budget] { return static_cast<double>(budget.used(held_kind::request)); });
    measures.gauge("azureyoke_held_bytes", "kind", "answers",
                   [&budget] { return static_cast<double>(budget.used(held_kind::answer)); });
    measures.gauge("azureyoke_held_bytes", "kind", "limit",
                   [&budget] { return static_cast<double>(budget.limit()); });
}

transport::http_response front_refusals::answer(transport::front_refusal why, const char* listener,
                                                const transport::http_fields& fields) {
    auto status = transport::refusal_status(why);
    std::string reason = transport::refusal_reason(why);
    measures_.count("azureyoke_refusals_total", "status", std::to_string(status));
    measures_.count("azureyoke_unread_requests_total", "reason", transport::name_of(why));
    bool no_memory = why == transport::front_refusal::no_memory;
    auto event = no_memory ? event_id::memory_short : event_id::request_refused;
    std::int64_t left_out = 0;
    if (!limiter_.try_acquire(event, loop_.now(), left_out))
        return {status, fields, reason + "\n"};
    if (no_memory)
        log_.warn(event, {{"listener", listener},
                          {"requests", std::to_string(budget_.used(transport::held_kind::request))},
                          {"answers", std::to_string(budget_.used(transport::held_kind::answer))},
                          {"limit", std::to_string(budget_.limit())},
                          {"left_out", std::to_string(left_out)}});
    else
        log_.write(event, {{"detail", std::to_string(status) + ": " + reason},
                           {"listener", listener},
                           {"left_out", std::to_string(left_out)}});
    return {status, fields, reason + "\n"};
}

} // namespace azureyoke::app
