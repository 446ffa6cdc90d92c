#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::standin {

/// \brief Runs calls in order of virtual time; equal times keep their order of scheduling.
class virtual_time {
public:
    coordination::instant now() const { return now_; }

    void at(coordination::instant when, std::function<void()> call) {
        scheduled_calls_.push({std::max(when, now_), next_order_++, std::move(call)});
    }

    void after(coordination::duration wait, std::function<void()> call) {
        at(now_ + wait, std::move(call));
    }

    /// \brief Runs everything that is due up to `until`, which becomes the time.
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

    // Far from zero, so that subtracting from a time never goes below the clock's start.
    coordination::instant now_ = coordination::instant() + std::chrono::hours(1000);
    std::uint64_t next_order_ = 0;
    std::priority_queue<scheduled_call> scheduled_calls_;
};

} // namespace azureyoke::standin
