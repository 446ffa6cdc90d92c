#include "azureyoke/src/coordination/registry_pace.h"

#include <criterion/criterion.h>

using namespace azureyoke::coordination;

namespace {

constexpr duration ms = std::chrono::milliseconds(1);

/// Calls a second of a fleet whose servers change `changes` times a second, evenly.
double calls(int instances, double changes) {
    double sum = 0;
    for (int place = 0; place < instances; ++place) {
        auto pace = pace_of(instances, place);
        double between = std::max(1 / changes, to_seconds(pace.servers.gather));
        sum += std::max(1 / between, 1 / to_seconds(pace.servers.wait));
        sum += 1 / to_seconds(pace.policy.wait);
    }
    return sum;
}

} // namespace

Test(registry_pace, small_fleet_is_followed_closely) {
    cr_assert(pace_of(8, 7).servers.gather == 80 * ms);
    cr_assert(pace_of(8, 7).policy == feed_pace());
}

Test(registry_pace, large_fleet_gathers_changes_and_a_few_watch_the_policy) {
    cr_assert(pace_of(195, 3).policy.wait == feed_pace().wait);
    cr_assert(pace_of(195, 4).policy.wait == 10'000 * ms);
    cr_assert(pace_of(640, 9).servers.gather == 800 * ms);
    // A rolling restart of 117 servers changes about ten entries a second.
    cr_assert_lt(calls(195, 10), 0.3 * 195 * (10 + 2 / 2.5));
}

Test(registry_pace, instance_that_knows_nobody_yet_follows_closely) {
    cr_assert(pace_of(1, 0).policy == feed_pace());
    cr_assert(pace_of(0, 0).servers.gather == duration());
}
