// Guards against callers refused together that all retry at the same time.
#include "azureyoke/src/coordination/retry_after.h"

#include <array>

#include <criterion/criterion.h>

using namespace azureyoke::coordination;

namespace {

constexpr duration ms = std::chrono::milliseconds(1);

} // namespace

Test(retry_after, callers_refused_together_retry_evenly_spread_after_the_wait) {
    std::array<int, 10> retries{};
    for (int i = 0; i < 1000; ++i) {
        auto at = retry_after_delay(2000 * ms, i * 7919);
        cr_assert_geq(at.count(), (2000 * ms).count());
        cr_assert_lt(at.count(), (2500 * ms).count());
        ++retries.at(static_cast<std::size_t>((at - 2000 * ms) / (50 * ms)));
    }
    for (int n : retries)
        cr_assert(n >= 90 && n <= 110, "%d", n);
}

Test(retry_after, spread_is_bounded_for_short_and_for_endless_waits) {
    cr_assert_leq(retry_after_delay(duration(0), 999).count(), (100 * ms).count());
    cr_assert_leq(retry_after_delay(std::chrono::hours(1), 999).count(),
                  duration(std::chrono::seconds(3602)).count());
    cr_assert_geq(retry_after_delay(1000 * ms, -1).count(), (1000 * ms).count(),
                  "negative numbers are valid");
}
