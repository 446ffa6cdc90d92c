#include "azureyoke/src/transport/event_loop.h"

#include <csignal>
#include <stdexcept>
#include <utility>

#include <event2/event.h>

namespace azureyoke::transport {

namespace internal {
namespace {

timeval to_timeval(duration wait) {
    auto us = std::max<std::int64_t>(wait.count(), 0);
    return {static_cast<time_t>(us / 1'000'000), static_cast<suseconds_t>(us % 1'000'000)};
}

} // namespace
} // namespace internal

timer::timer(event_base* base, duration delay, duration period, std::function<void()> callback)
    : callback_(std::move(callback)) {
    bool repeats = period.count() > 0;
    event_ =
        event_new(base, -1, static_cast<short>(repeats ? EV_PERSIST : 0), &timer::on_event, this);
    timeval wait = internal::to_timeval(repeats ? period : delay);
    event_add(event_, &wait);
}

timer::~timer() {
    event_free(event_);
}

void timer::on_event(int /*fd*/, short /*events*/, void* self) {
    // Copied, since the callback may destroy this timer and its function object.
    auto callback = static_cast<timer*>(self)->callback_;
    callback();
}

struct event_loop::signal_watch {
    std::function<void()> callback;
    event* handle = nullptr;

    static void on_event(int /*fd*/, short /*events*/, void* self) {
        static_cast<signal_watch*>(self)->callback();
    }
};

event_loop::event_loop() : base_(event_base_new()), deferred_event_(nullptr) {
    if (base_ == nullptr)
        throw std::runtime_error("event_loop: libevent has no usable event backend");
    deferred_event_ = event_new(base_, -1, 0, &event_loop::run_deferred, this);
    (void)std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() {
    // Objects owned by deferred callbacks may hold events of this loop.
    deferred_.clear();
    for (auto& it : signals_)
        event_free(it->handle);
    event_free(deferred_event_);
    event_base_free(base_);
}

instant event_loop::now() const {
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

void event_loop::run() {
    event_base_dispatch(base_);
}

void event_loop::stop() {
    event_base_loopbreak(base_);
}

void event_loop::run_once(bool block) {
    event_base_loop(base_, block ? EVLOOP_ONCE : EVLOOP_NONBLOCK);
}

std::unique_ptr<timer> event_loop::after(duration wait, std::function<void()> callback) {
    return std::make_unique<timer>(base_, wait, duration(0), std::move(callback));
}

std::unique_ptr<timer> event_loop::every(duration period, std::function<void()> callback) {
    return std::make_unique<timer>(base_, period, period, std::move(callback));
}

void event_loop::defer(std::function<void()> callback) {
    deferred_.push_back(std::move(callback));
    event_active(deferred_event_, EV_TIMEOUT, 1);
}

void event_loop::run_deferred(int /*fd*/, short /*events*/, void* self) {
    auto calls = std::exchange(static_cast<event_loop*>(self)->deferred_, {});
    for (auto& it : calls)
        it();
}

void event_loop::on_signal(int number, std::function<void()> callback) {
    auto it = std::make_unique<signal_watch>();
    it->callback = std::move(callback);
    it->handle = evsignal_new(base_, number, &signal_watch::on_event, it.get());
    event_add(it->handle, nullptr);
    signals_.push_back(std::move(it));
}

} // namespace azureyoke::transport
