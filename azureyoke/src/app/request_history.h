#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace azureyoke::app {

/// \brief One step of a request, shown by `azureyoke explain`.
struct history_step {
    std::int64_t at_us = 0; ///< Since the request's arrival.
    std::string what;

    friend bool operator==(const history_step&, const history_step&) = default;
};

/// \brief The steps that explain how a request was routed.
struct request_trace {
    std::string request_id;
    std::string workspace;
    std::string target;
    std::vector<history_step> steps;

    friend bool operator==(const request_trace&, const request_trace&) = default;
};

/// \brief Traces of the last requests of this instance, at most `max_traces`. Not thread safe.
class request_history {
public:
    explicit request_history(std::size_t max_traces) : max_traces_(max_traces) {}

    void add(request_trace trace) {
        traces_.push_back(std::move(trace));
        if (traces_.size() > max_traces_)
            traces_.pop_front();
    }

    /// \returns the trace of `request_id`, or null.
    const request_trace* find(const std::string& request_id) const {
        auto it = std::find_if(traces_.rbegin(), traces_.rend(),
                               [&](const auto& trace) { return trace.request_id == request_id; });
        return it == traces_.rend() ? nullptr : &*it;
    }

private:
    std::size_t max_traces_;
    std::deque<request_trace> traces_;
};

} // namespace azureyoke::app
