#include "azureyoke/src/coordination/named_weights.h"

#include <criterion/criterion.h>

using namespace azureyoke::coordination;

namespace {

constexpr instant start{std::chrono::seconds(100)};
constexpr duration second = std::chrono::seconds(1);

} // namespace

Test(named_weights, older_weights_stay_acceptable_until_newer_ones_have_been_known_long_enough) {
    named_weights it;
    cr_assert(it.learn(2, start, true));
    cr_assert(it.learn(3, start + 2 * second, true));
    cr_assert_eq(it.known_for(4 * second, start + 3 * second), 0);
    cr_assert_eq(it.known_for(4 * second, start + 5 * second), 2);
    cr_assert_eq(it.known_for(4 * second, start + 6 * second), 3);
}

Test(named_weights, restarted_instance_assumes_weights_are_due_until_a_peer_reports_their_age) {
    named_weights it;
    cr_assert(it.learn(3, start - 6 * second, false));
    cr_assert_eq(it.known_for(4 * second, start), 3);
    cr_assert_not(it.learn(3, start - second, true));
    cr_assert_eq(it.known_for(4 * second, start), 0);
    cr_assert_eq(it.known_for(4 * second, start + 3 * second), 3);
}

Test(named_weights, earliest_of_several_certain_times_is_kept) {
    named_weights it;
    (void)it.learn(3, start, true);
    (void)it.learn(3, start - 3 * second, true);
    (void)it.learn(3, start + second, true);
    cr_assert_eq(it.ages(second * 6, start).back().age_ms, 3000);
}

Test(named_weights, older_version_that_is_reported_late_does_not_become_the_newest) {
    named_weights it;
    (void)it.learn(3, start, true);
    cr_assert_not(it.learn(2, start, true));
    cr_assert_eq(it.newest(), 3);
}

// Weights 3 and 4 are named 3 s apart, and an instance restarts between them. Unless peers report
// the age of version 3, the restarted instance only knows version 4 and may accept weights that
// are too old.
Test(named_weights, restarted_instance_learns_from_peers_that_older_weights_are_due) {
    named_weights peer;
    (void)peer.learn(2, start - 60 * second, true);
    (void)peer.learn(3, start, true);
    (void)peer.learn(4, start + 3 * second, true);
    named_weights restarted;
    auto now = start + 4 * second;
    (void)restarted.learn(4, now - 6 * second, false);
    for (const auto& it : peer.ages(6 * second, now))
        (void)restarted.learn(it.version, now - std::chrono::milliseconds(it.age_ms), true);
    for (int i = 0; i < 8; ++i) {
        auto at = now + i * second;
        cr_assert_eq(restarted.known_for(4 * second, at), peer.known_for(4 * second, at), "%d", i);
    }
    cr_assert_eq(restarted.known_for(4 * second, now), 3);
}

Test(named_weights, peers_receive_the_versions_not_due_yet_and_the_newest_due_one) {
    named_weights it;
    for (int i = 1; i <= 9; ++i)
        (void)it.learn(i, start + i * second, true);
    auto ages = it.ages(3 * second, start + 9 * second);
    cr_assert_eq(ages.size(), 4U);
    cr_assert(ages.front() == (weights_age{6, 3000}));
    cr_assert(ages.back() == (weights_age{9, 0}));
}

Test(named_weights, estimated_time_is_not_reported) {
    named_weights it;
    (void)it.learn(3, start, false);
    cr_assert(it.ages(3 * second, start).empty());
}

Test(named_weights, versions_replaced_by_a_newer_due_one_are_dropped) {
    named_weights it;
    for (int i = 1; i <= 9; ++i)
        (void)it.learn(i, start + i * second, true);
    it.trim(3 * second, start + 9 * second);
    cr_assert_eq(it.known_for(8 * second, start + 9 * second), 0);
    cr_assert_eq(it.known_for(3 * second, start + 9 * second), 6);
    cr_assert_eq(it.newest(), 9);
}
