#pragma once

#include <algorithm>
#include <deque>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct service_retry_settings {
    double share = 0.2;  ///< Repeats per request.
    double reserve = 50; ///< Additional repeats per window, over all instances.
    duration window = std::chrono::seconds(10); ///< Over which requests and repeats are counted.
    /// Usable fraction of the allowance. It is below 1 because load is uneven over the instances.
    double usable_fraction = 0.7;

    friend bool operator==(const service_retry_settings&, const service_retry_settings&) = default;
};

/// \brief Limits the repeats that one instance sends to one service within a sliding window.
///
/// The reserve is divided evenly over the instances, and the share applies to the requests of the
/// instance itself, so that the sum over all instances stays within the limit without messages.
/// Pure. Not thread safe.
class service_retry_budget {
public:
    explicit service_retry_budget(const service_retry_settings& settings) : settings_(settings) {}

    void set(const service_retry_settings& settings) { settings_ = settings; }

    void on_request(instant now) {
        expire(requests_, now);
        requests_.push_back(now);
    }

    /// \returns the number of requests that are still counted.
    std::size_t counted_requests() const { return requests_.size(); }

    /// \brief Takes one repeat from the budget. `instances` is the number of instances that share
    /// the reserve. \returns false when the budget is used up.
    bool try_acquire(int instances, instant now) {
        expire(requests_, now);
        expire(repeats_, now);
        double reserve = settings_.reserve / std::max(1, instances);
        double bound = settings_.usable_fraction *
                       (settings_.share * static_cast<double>(requests_.size()) + reserve);
        if (static_cast<double>(repeats_.size()) + 1 > bound)
            return false;
        repeats_.push_back(now);
        return true;
    }

private:
    void expire(std::deque<instant>& times, instant now) const {
        while (!times.empty() && now - times.front() > settings_.window)
            times.pop_front();
    }

    service_retry_settings settings_;
    std::deque<instant> requests_;
    std::deque<instant> repeats_;
};

} // namespace azureyoke::coordination
