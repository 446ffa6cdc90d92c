#pragma once

#include <algorithm>
#include <cstdint>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct retry_after_settings {
    /// Retries are spread over this fraction of the wait, within the bounds below, after its end.
    double spread = 0.25;
    duration min_spread = std::chrono::milliseconds(100);
    duration max_spread = std::chrono::seconds(2);

    friend bool operator==(const retry_after_settings&, const retry_after_settings&) = default;
};

/// \brief The Retry-After time of a caller that was refused because all servers are in backoff.
///
/// Load pattern: an overloaded pool puts its servers into backoff for about the same time, and all
/// callers refused meanwhile would retry at the moment when the first backoff ends. Retries are
/// spread evenly after that moment by the request's number; no caller is told to retry earlier.
/// Pure. Thread safe.
inline duration retry_after_delay(duration wait, std::int64_t number,
                                  const retry_after_settings& settings = {}) {
    constexpr std::uint64_t steps = 1000;
    auto spread = std::clamp(from_seconds(settings.spread * to_seconds(wait)), settings.min_spread,
                             settings.max_spread);
    auto step = static_cast<std::int64_t>(static_cast<std::uint64_t>(number) % steps);
    return wait + spread * step / static_cast<std::int64_t>(steps);
}

} // namespace azureyoke::coordination
