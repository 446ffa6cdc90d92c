#include "azureyoke/src/app/dispatch_queue.h"

#include <algorithm>

namespace azureyoke::app {

namespace internal {
namespace {

/// While every replica has a longer backlog, requests wait in the fair queue of this instance.
constexpr transport::duration max_replica_backlog = std::chrono::milliseconds(500);
constexpr transport::duration pump_period = std::chrono::milliseconds(20);

} // namespace
} // namespace internal

dispatch_queue::dispatch_queue(transport::event_loop& loop,
                               const coordination::replica_router& router)
    : loop_(loop), router_(router),
      timer_(loop.every(internal::pump_period, [this] { dispatch_ready(); })) {}

bool dispatch_queue::has_capacity(const std::string& model) const {
    auto now = loop_.now();
    const auto& tracker = router_.tracker();
    auto replicas = tracker.serving(model, now);
    // Without any replica, the request is dispatched and then refused.
    return replicas.empty() || std::any_of(replicas.begin(), replicas.end(), [&](auto it) {
               return tracker.backlog(it, now) <= internal::max_replica_backlog;
           });
}

std::uint64_t dispatch_queue::push(coordination::queued_request request, const std::string& model,
                                   dispatch_handler handler) {
    request.number = next_number_++;
    auto it = queues_.try_emplace(model, coordination::fair_queue_settings{}).first;
    if (!it->second.push(request, loop_.now()))
        return 0;
    entries_.emplace(request.number, entry{model, std::move(handler)});
    loop_.defer([this] { dispatch_ready(); });
    return request.number;
}

void dispatch_queue::erase(std::uint64_t number) {
    auto it = entries_.find(number);
    if (it == entries_.end())
        return;
    queues_.at(it->second.model).erase(number);
    entries_.erase(it);
}

void dispatch_queue::complete(std::uint64_t number, bool dispatched) {
    auto node = entries_.extract(number);
    if (!node.empty())
        node.mapped().handler(dispatched);
}

void dispatch_queue::dispatch_ready() {
    for (auto& [model, queue] : queues_)
        dispatch_model(model, queue);
}

void dispatch_queue::dispatch_model(const std::string& model, coordination::fair_queue& queue) {
    for (const auto& it : queue.expire(loop_.now()))
        complete(it.number, false);
    while (queue.size() > 0 && has_capacity(model))
        complete(queue.pop()->number, true);
}

} // namespace azureyoke::app
