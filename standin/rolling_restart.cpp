#include "standin/rolling_restart.h"

#include <csignal>

namespace azureyoke::standin {

namespace internal {
namespace {

constexpr auto tick_period = std::chrono::milliseconds(20);
/// Delay until the load balancer stops sending requests to a leaving instance.
constexpr auto balancer_delay = std::chrono::milliseconds(150);
constexpr auto pause_between_restarts = std::chrono::seconds(2);

} // namespace
} // namespace internal

rolling_restart::rolling_restart(fleet& it, std::vector<transport::address>& targets)
    : fleet_(it), targets_(targets),
      stage_since_(it.loop().now() - internal::pause_between_restarts),
      ticker_(it.loop().every(internal::tick_period, [this] { tick(); })) {}

void rolling_restart::tick() {
    if (done())
        return;
    auto waited = fleet_.loop().now() - stage_since_;
    switch (stage_) {
    case restart_stage::idle:
        if (waited >= internal::pause_between_restarts)
            begin_drain();
        return;
    case restart_stage::leaving:
        if (waited >= internal::balancer_delay) {
            std::erase(targets_, fleet_.instances()[next_instance_].callers);
            stage_ = restart_stage::ending;
        }
        return;
    case restart_stage::ending:
        restart_after_exit();
        return;
    case restart_stage::starting:
        check_ready();
        return;
    }
}

void rolling_restart::begin_drain() {
    fleet_.instances()[next_instance_].child->signal(SIGTERM);
    stage_ = restart_stage::leaving;
    stage_since_ = fleet_.loop().now();
}

void rolling_restart::restart_after_exit() {
    auto& it = fleet_.instances()[next_instance_];
    auto code = it.child->try_wait();
    if (!code)
        return;
    failed_ = failed_ || *code != 0;
    fleet_.start_instance(next_instance_);
    stage_ = restart_stage::starting;
}

void rolling_restart::check_ready() {
    if (ready_request_open_)
        return;
    ready_request_open_ = true;
    const auto& it = fleet_.instances()[next_instance_];
    fleet_.client().fetch(it.operators, {"GET", "/readyz", {}, {}}, [this](auto answer) {
        ready_request_open_ = false;
        if (!answer || answer->status != 200)
            return;
        targets_.push_back(fleet_.instances()[next_instance_].callers);
        ++next_instance_;
        stage_ = restart_stage::idle;
        stage_since_ = fleet_.loop().now();
    });
}

} // namespace azureyoke::standin
