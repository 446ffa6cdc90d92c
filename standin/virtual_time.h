#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::standin {

/// \brief Event queue of a simulation: runs calls in order of virtual time, and calls of the same
/// time in the order in which they were scheduled.
class virtual_time {
public:
    coordination::instant now() const { return now_; }

    void at(coordination::instant when, std::function<void()> call) {
        scheduled_calls_.push({std::max(when, now_), next_order_++, std::move(call)});
    }

    void after(coordination::duration wait, std::function<void()> call) {
        at(now_ + wait, std::move(call));
    }

    /// \brief Runs all calls due up to `until`, then sets the current time to `until`.
    void run_until(coordination::instant until) {
        while (!scheduled_calls_.empty() && scheduled_calls_.top().when <= until) {
            auto it = scheduled_calls_.top();
            scheduled_calls_.pop();
            now_ = it.when;
            it.call();
        }
        now_ = until;
    }

private:
    struct scheduled_call {
        coordination::instant when;
        std::uint64_t order = 0;
        std::function<void()> call;

        friend bool operator<(const scheduled_call& a, const scheduled_call& b) {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };

    // Starts far above zero, so that subtracting a duration from a time never gives a time before
    // the clock's epoch.
    coordination::instant now_ = coordination::instant() + std::chrono::hours(1000);
    std::uint64_t next_order_ = 0;
    std::priority_queue<scheduled_call> scheduled_calls_;
};

} // namespace azureyoke::standin
