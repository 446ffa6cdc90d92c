#include "azureyoke/src/app/address_binder.h"

#include <utility>

namespace azureyoke::app {

namespace internal {
namespace {

constexpr transport::duration bind_retry_period = std::chrono::milliseconds(100);

} // namespace
} // namespace internal

address_binder::address_binder(transport::event_loop& loop, const event_log& log)
    : loop_(loop), log_(log) {}

void address_binder::start(std::vector<attempt> attempts, std::function<void()> done) {
    attempts_ = std::move(attempts);
    done_ = std::move(done);
    started_at_ = loop_.now();
    try_remaining();
}

void address_binder::try_remaining() {
    while (succeeded_ < attempts_.size()) {
        auto result = attempts_[succeeded_]();
        if (!result) {
            if (result.error().what != last_error_)
                log_.warn(event_id::address_in_use, {{"why", result.error().what}});
            last_error_ = result.error().what;
            retry_timer_ = loop_.after(internal::bind_retry_period, [this] { try_remaining(); });
            return;
        }
        ++succeeded_;
    }
    bound_ = true;
    if (!last_error_.empty()) {
        auto waited = loop_.now() - started_at_;
        log_.write(event_id::addresses_bound,
                   {{"waited_ms", std::to_string(waited / std::chrono::milliseconds(1))}});
    }
    auto done = std::exchange(done_, nullptr);
    done();
}

} // namespace azureyoke::app
