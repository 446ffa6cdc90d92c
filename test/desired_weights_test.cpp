// Guards against instances that accept weights past their time limit, in particular after a
// restart.
#include "azureyoke/src/coordination/desired_weights.h"

#include <criterion/criterion.h>

using namespace azureyoke::coordination;

namespace {

constexpr instant start{std::chrono::seconds(100)};
constexpr duration second = std::chrono::seconds(1);

} // namespace

Test(desired_weights, older_weights_stay_acceptable_until_newer_ones_have_been_known_long_enough) {
    desired_weights it;
    cr_assert(it.record_naming(2, start, true));
    cr_assert(it.record_naming(3, start + 2 * second, true));
    cr_assert_eq(it.newest_named_for(4 * second, start + 3 * second), 0);
    cr_assert_eq(it.newest_named_for(4 * second, start + 5 * second), 2);
    cr_assert_eq(it.newest_named_for(4 * second, start + 6 * second), 3);
}

Test(desired_weights, restarted_instance_assumes_weights_are_due_until_a_peer_reports_their_age) {
    desired_weights it;
    cr_assert(it.record_naming(3, start - 6 * second, false));
    cr_assert_eq(it.newest_named_for(4 * second, start), 3);
    cr_assert_not(it.record_naming(3, start - second, true));
    cr_assert_eq(it.newest_named_for(4 * second, start), 0);
    cr_assert_eq(it.newest_named_for(4 * second, start + 3 * second), 3);
}

Test(desired_weights, earliest_of_several_certain_times_is_kept) {
    desired_weights it;
    (void)it.record_naming(3, start, true);
    (void)it.record_naming(3, start - 3 * second, true);
    (void)it.record_naming(3, start + second, true);
    cr_assert_eq(it.recent_ages(second * 6, start).back().age_ms, 3000);
}

Test(desired_weights, older_version_that_is_reported_late_does_not_become_the_newest) {
    desired_weights it;
    (void)it.record_naming(3, start, true);
    cr_assert_not(it.record_naming(2, start, true));
    cr_assert_eq(it.newest(), 3);
}

// Weights 3 and 4 are named 3 s apart, and an instance restarts between them. Unless peers report
// the age of version 3, the restarted instance only knows version 4 and may accept weights that
// are too old.
Test(desired_weights, restarted_instance_learns_from_peers_that_older_weights_are_due) {
    desired_weights peer;
    (void)peer.record_naming(2, start - 60 * second, true);
    (void)peer.record_naming(3, start, true);
    (void)peer.record_naming(4, start + 3 * second, true);
    desired_weights restarted;
    auto now = start + 4 * second;
    (void)restarted.record_naming(4, now - 6 * second, false);
    for (const auto& it : peer.recent_ages(6 * second, now))
        (void)restarted.record_naming(it.version, now - std::chrono::milliseconds(it.age_ms), true);
    for (int i = 0; i < 8; ++i) {
        auto at = now + i * second;
        cr_assert_eq(restarted.newest_named_for(4 * second, at),
                     peer.newest_named_for(4 * second, at), "%d", i);
    }
    cr_assert_eq(restarted.newest_named_for(4 * second, now), 3);
}

Test(desired_weights, peers_receive_the_versions_not_due_yet_and_the_newest_due_one) {
    desired_weights it;
    for (int i = 1; i <= 9; ++i)
        (void)it.record_naming(i, start + i * second, true);
    auto ages = it.recent_ages(3 * second, start + 9 * second);
    cr_assert_eq(ages.size(), 4U);
    cr_assert(ages.front() == (weights_age{6, 3000}));
    cr_assert(ages.back() == (weights_age{9, 0}));
}

Test(desired_weights, estimated_time_is_not_reported) {
    desired_weights it;
    (void)it.record_naming(3, start, false);
    cr_assert(it.recent_ages(3 * second, start).empty());
}

Test(desired_weights, versions_replaced_by_a_newer_due_one_are_dropped) {
    desired_weights it;
    for (int i = 1; i <= 9; ++i)
        (void)it.record_naming(i, start + i * second, true);
    it.drop_obsolete(3 * second, start + 9 * second);
    cr_assert_eq(it.newest_named_for(8 * second, start + 9 * second), 0);
    cr_assert_eq(it.newest_named_for(3 * second, start + 9 * second), 6);
    cr_assert_eq(it.newest(), 9);
}
