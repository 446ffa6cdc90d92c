#pragma once

#include <algorithm>
#include <deque>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct service_retry_settings {
    double share = 0.2;                         ///< Repeats for each request.
    double reserve = 50;                        ///< Repeats in each window besides, over all.
    duration window = std::chrono::seconds(10); ///< Over which both are counted.
    double caution = 0.7; ///< Of the allowance that is used; instances see uneven shares.

    friend bool operator==(const service_retry_settings&, const service_retry_settings&) = default;
};

/// \brief Bounds the repeats that one instance sends to one service within a sliding window.
///
/// The reserve is divided evenly over the instances; the share goes by the own requests, so that
/// the sum over all instances keeps to the bound without messages. Pure. Not thread safe.
class service_retry_budget {
public:
    explicit service_retry_budget(const service_retry_settings& settings) : settings_(settings) {}

    void set(const service_retry_settings& settings) { settings_ = settings; }

    void on_request(instant now) {
        expire(requests_, now);
        requests_.push_back(now);
    }

    /// \brief Requests that are still counted.
    std::size_t counted_requests() const { return requests_.size(); }

    /// \brief Takes one repeat. `instances` is the number of instances that share the reserve.
    bool take(int instances, instant now) {
        expire(requests_, now);
        expire(repeats_, now);
        double reserve = settings_.reserve / std::max(1, instances);
        double most =
            settings_.caution * (settings_.share * static_cast<double>(requests_.size()) + reserve);
        if (static_cast<double>(repeats_.size()) + 1 > most)
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
