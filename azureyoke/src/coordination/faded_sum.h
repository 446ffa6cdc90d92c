#pragma once

#include <algorithm>
#include <cmath>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief A sum whose parts fade exponentially with their age. Pure. Not thread safe.
struct faded_sum {
    double value = 0;
    instant at;

    /// \returns the sum at `now`, of parts that have faded to 1/e after `fading`.
    double get(duration fading, instant now) const {
        return value * std::exp(-to_seconds(std::max(duration(), now - at)) / to_seconds(fading));
    }

    void add(double amount, duration fading, instant now) {
        value = get(fading, now) + amount;
        at = now;
    }

    friend bool operator==(const faded_sum&, const faded_sum&) = default;
};

} // namespace azureyoke::coordination
