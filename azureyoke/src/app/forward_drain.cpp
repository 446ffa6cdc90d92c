// How forward_instance ends; the rest of it is in forward_instance.cpp.
#include "azureyoke/src/app/forward_instance.h"

namespace azureyoke::app {

namespace internal {
namespace {

constexpr transport::duration drain_check_period = std::chrono::milliseconds(50);
/// Load balancers notice within this time that a leaving instance is not ready.
constexpr transport::duration drain_grace = std::chrono::milliseconds(2500);

} // namespace
} // namespace internal

void forward_instance::drain() {
    if (draining_)
        return;
    draining_ = true;
    drain_began_ = loop_.now();
    log_.write(event_id::instance_stopping, {});
    if (!binder_.bound()) { // nothing is open, and nobody knows this instance
        log_.write(event_id::instance_stopped, {});
        loop_.stop();
        return;
    }
    weights_.stop();
    callers_.close_after_answers();
    helped_.close_after_answers();
    drain_timer_ = loop_.every(internal::drain_check_period, [this] { check_drained(); });
}

void forward_instance::check_drained() {
    auto waited = loop_.now() - drain_began_;
    auto limit = std::chrono::milliseconds(settings_.drain_limit_ms);
    auto busy = callers_.busy_connections() + helped_.busy_connections();
    if (waited < internal::drain_grace)
        return;
    // Callers use other instances by now, and a request that arrives later might not end in time.
    // Callers that are still connected get an answer. The process ends only after two checks in a
    // row without a busy connection, or at the drain limit.
    services_.refuse_all = true;
    callers_.stop_listening();
    callers_.close_idle();
    helped_.stop_listening();
    helped_.close_idle();
    bool idle = busy == 0 && was_idle_;
    was_idle_ = busy == 0;
    if (!idle && waited < limit)
        return;
    auto running_timer = std::move(drain_timer_);
    callers_.end_answers();
    helped_.end_answers();
    streams_.leave();
    peers_.leave();
    log_.write(event_id::drain_finished,
               {{"open", std::to_string(busy)},
                {"waited_ms", std::to_string(waited / std::chrono::milliseconds(1))}});
    log_.write(event_id::instance_stopped, {});
    // Leaves time to send the record erasure to the store and the last report to the peers.
    drain_timer_ = loop_.after(internal::drain_check_period, [this] { loop_.stop(); });
}

} // namespace azureyoke::app
