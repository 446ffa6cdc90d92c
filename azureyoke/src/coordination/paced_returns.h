#pragma once

#include <algorithm>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief Retry-After times of callers that were refused because of a rate limit.
///
/// Load pattern: many callers are refused in the same instant, and would all return when the next
/// single request is allowed. Their returns are spaced by the rate at which they can be served.
/// Pure. Not thread safe.
class paced_returns {
public:
    /// \returns the time until this caller should return: at least `earliest`, and 1 / `per_second`
    /// after the one before. A caller that would return later than `latest` takes no place, because
    /// its time ends before. \pre `per_second` > 0.
    duration book(duration earliest, double per_second, duration latest, instant now) {
        auto at = std::max(now + earliest, next_);
        if (at - now <= latest)
            next_ = at + from_seconds(1 / per_second);
        return at - now;
    }

private:
    instant next_; ///< The next free place.
};

} // namespace azureyoke::coordination
