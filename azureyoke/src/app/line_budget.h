#pragma once

#include <cstdint>
#include <map>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::app {

/// \brief Bounds the log lines of each kind of event to a number in each second, so that a flood
/// of requests does not become a flood of lines. Not thread safe.
class line_budget {
public:
    explicit line_budget(int lines_per_second) : most_(lines_per_second) {}

    /// \returns whether a line may be written; when it is the first of its second, `left_out`
    /// tells how many were not in the second before.
    bool take(event_id kind, coordination::instant now, std::int64_t& left_out) {
        auto& it = kinds_[kind];
        left_out = 0;
        if (now - it.began >= std::chrono::seconds(1)) {
            left_out = it.left_out;
            it = {now, 0, 0};
        }
        if (it.lines >= most_) {
            ++it.left_out;
            return false;
        }
        ++it.lines;
        return true;
    }

private:
    struct second {
        coordination::instant began;
        int lines = 0;
        std::int64_t left_out = 0;
    };

    int most_;
    std::map<event_id, second> kinds_;
};

} // namespace azureyoke::app
