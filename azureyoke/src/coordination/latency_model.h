#pragma once

#include <algorithm>
#include <cmath>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief Learned time to first token of one server, as a fixed delay plus a multiple of the
/// nominal time, which follows from the size of the prompt and the queue.
///
/// A ratio alone would multiply the fixed delay that small prompts meet by the size of large ones,
/// and only the answer to a large prompt could correct that. For the same reason what was learned
/// fades: a server that is no longer sent large prompts because of it would never be tried again.
/// Pure. Not thread safe.
class latency_model {
public:
    /// \returns the expected milliseconds to the first token.
    double predict(double nominal_ms, instant now) const {
        auto kept = remaining(now);
        return fixed_ms_ * kept + rate_at(kept) * nominal_ms;
    }

    /// \brief Records an answer whose first token took `took_ms`.
    void observe(double nominal_ms, double took_ms, instant now) {
        auto kept = remaining(now);
        rate_ = rate_at(kept);
        fixed_ms_ *= kept;
        observed_at_ = now;
        double took = std::clamp(took_ms, min_rate * nominal_ms, max_rate * nominal_ms);
        double error = took - (fixed_ms_ + rate_ * nominal_ms);
        double step =
            learning_rate * error / (nominal_ms * nominal_ms + fixed_scale_ms * fixed_scale_ms);
        fixed_ms_ = std::max(0.0, fixed_ms_ + step * fixed_scale_ms * fixed_scale_ms);
        rate_ = std::clamp(rate_ + step * nominal_ms, min_rate, max_rate);
    }

private:
    static constexpr double learning_rate = 0.15;
    static constexpr double min_rate = 0.3;
    static constexpr double max_rate = 10;
    /// Nominal time from which an error is attributed to the rate rather than to the fixed delay.
    static constexpr double fixed_scale_ms = 100;
    static constexpr double fading_time_s = 10;

    /// \returns the part of what was learned that still counts.
    double remaining(instant now) const {
        return std::exp(-to_seconds(std::max(duration(), now - observed_at_)) / fading_time_s);
    }

    double rate_at(double kept) const { return min_rate + (rate_ - min_rate) * kept; }

    double fixed_ms_ = 0;
    double rate_ = min_rate;
    instant observed_at_;
};

} // namespace azureyoke::coordination
