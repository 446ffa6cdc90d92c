#pragma once

#include <algorithm>

namespace azureyoke::coordination {

/// \brief Time to the first answer as a line over the nominal time, learned from answers of servers
/// that are taken as usual.
///
/// Unlike latency_model it has no bound on the ratio, since the nominal time of a plain request is
/// a few milliseconds whatever it takes. Older answers fade. Pure. Not thread safe.
class answer_time_model {
public:
    /// \returns whether enough answers are known to predict.
    bool known() const { return count_ >= least_answers; }

    /// \returns the expected milliseconds. \pre `known()`
    double predict(double nominal_ms) const {
        double mean_x = x_ / weight_;
        double mean_y = y_ / weight_;
        double spread = xx_ / weight_ - mean_x * mean_x;
        double slope = spread > least_spread * mean_x * mean_x
                           ? std::max(0.0, (xy_ / weight_ - mean_x * mean_y) / spread)
                           : 0;
        return std::max(mean_y / least_part, mean_y + slope * (nominal_ms - mean_x));
    }

    void observe(double nominal_ms, double took_ms) {
        // A stall must not raise what later answers are compared with.
        double took = known() ? std::min(took_ms, outlier * predict(nominal_ms)) : took_ms;
        weight_ = weight_ * kept + 1;
        x_ = x_ * kept + nominal_ms;
        y_ = y_ * kept + took;
        xx_ = xx_ * kept + nominal_ms * nominal_ms;
        xy_ = xy_ * kept + nominal_ms * took;
        ++count_;
    }

private:
    static constexpr int least_answers = 15;
    static constexpr double kept = 0.99; ///< Of the weight, with each further answer.
    static constexpr double outlier = 2;
    static constexpr double least_spread = 0.01; ///< Of the squared mean: else there is no slope.
    static constexpr double least_part = 4;

    int count_ = 0;
    double weight_ = 0;
    double x_ = 0;
    double y_ = 0;
    double xx_ = 0;
    double xy_ = 0;
};

} // namespace azureyoke::coordination
