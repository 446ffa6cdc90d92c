#pragma once

#include <algorithm>
#include <cstdint>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct return_time_settings {
    /// Callers return within this part of the wait after its end, but within these bounds.
    double spread = 0.25;
    duration least_spread = std::chrono::milliseconds(100);
    duration most_spread = std::chrono::seconds(2);

    friend bool operator==(const return_time_settings&, const return_time_settings&) = default;
};

/// \brief When a caller that was refused because all servers rest should ask again.
///
/// Load pattern: an overloaded pool sends every instance away for about the same time, and all that
/// was refused meanwhile would come back in the moment in which the first server opens. Returns are
/// spread evenly after that moment, by the request's number; nobody returns before it.
/// Pure. Thread safe.
inline duration return_after(duration wait, std::int64_t number,
                             const return_time_settings& settings = {}) {
    constexpr std::uint64_t steps = 1000;
    auto spread = std::clamp(from_seconds(settings.spread * to_seconds(wait)),
                             settings.least_spread, settings.most_spread);
    auto step = static_cast<std::int64_t>(static_cast<std::uint64_t>(number) % steps);
    return wait + spread * step / static_cast<std::int64_t>(steps);
}

} // namespace azureyoke::coordination
