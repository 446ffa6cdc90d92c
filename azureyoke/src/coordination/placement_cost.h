#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace azureyoke::coordination {

/// Standard deviation of the logarithm of actual to estimated time to the first answer.
constexpr double estimate_error = 0.6;
/// Price of bytes between data centres, 2,200 a GB, in requests that are served on time.
constexpr double requests_per_byte = 2.2e-6;
/// A millisecond of an estimate that is far below the target is worth less than the target's share
/// of a request, so that a price in milliseconds must be higher. With 1, 60 in 100 requests went to
/// other data centres without need, and with 20 more were late than that saved.
constexpr double remote_price_factor = 10;

/// \returns the share of requests with this estimate that are late. \pre both are above 0
inline double late_share(double estimate_ms, double target_ms) {
    return 0.5 * std::erfc(std::log(target_ms / estimate_ms) / (estimate_error * std::sqrt(2.0)));
}

/// \returns the milliseconds that a server of another data centre must save, for a request of
/// `bytes` whose target is `target_ms`. At most half of the target: a request that would be late
/// at home is worth more than its bytes.
inline double remote_cost_ms(double target_ms, std::int64_t bytes) {
    double price = requests_per_byte * static_cast<double>(bytes) * remote_price_factor;
    return target_ms * std::min(price, 0.5);
}

} // namespace azureyoke::coordination
