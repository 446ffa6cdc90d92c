#pragma once

#include <cstdint>
#include <map>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::app {

/// \brief Limits the log lines of each kind of event to a number per second, so that a flood of
/// requests does not flood the log. Not thread safe.
class log_rate_limiter {
public:
    explicit log_rate_limiter(int lines_per_second) : max_lines_(lines_per_second) {}

    /// \returns whether a line may be written. For the first line of an interval, `left_out` is set
    /// to the number of lines suppressed in the interval before, otherwise to 0.
    bool try_acquire(event_id kind, coordination::instant now, std::int64_t& left_out) {
        auto& it = intervals_[kind];
        left_out = 0;
        if (now - it.started_at >= std::chrono::seconds(1)) {
            left_out = it.left_out;
            it = {now, 0, 0};
        }
        if (it.lines >= max_lines_) {
            ++it.left_out;
            return false;
        }
        ++it.lines;
        return true;
    }

private:
    struct interval {
        coordination::instant started_at;
        int lines = 0;
        std::int64_t left_out = 0;
    };

    int max_lines_;
    std::map<event_id, interval> intervals_;
};

} // namespace azureyoke::app
