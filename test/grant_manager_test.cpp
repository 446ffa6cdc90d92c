// Guards against parts of a share that two instances spend at once, or that no instance gets back,
// when answers are late or lost and instances end.
#include "azureyoke/src/coordination/grant_manager.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::grant_manager;
using coordination::grant_settings;
using coordination::grant_step;
using coordination::instant;
using coordination::write_result;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant start = instant() + std::chrono::hours(1);
const grant_settings settings;

/// Carries out the only action, which must be a write. \returns the row as written.
state::grant_row carry_out(grant_manager& manager,
                           const std::vector<coordination::grant_action>& actions,
                           std::int64_t version, instant now) {
    cr_assert_eq(actions.size(), 1U);
    cr_assert(actions[0].step == grant_step::write_row);
    manager.on_write(actions[0].number, write_result::written, version, now);
    return actions[0].row;
}

bool reads_row(const std::vector<coordination::grant_action>& actions) {
    return std::any_of(actions.begin(), actions.end(),
                       [](const auto& it) { return it.step == grant_step::read_row; });
}

/// Instance "a" with half of the row and instance "b" with the other half; each is the lessor of
/// the other's grant.
struct lessor_fixture {
    grant_manager manager{settings, "a", 7};
    state::grant_row row;

    lessor_fixture() {
        row.grants = {{"a", 7, "b", 500'000, 0}, {"b", 3, "a", 500'000, 0}};
        manager.set_live_instances({"b"});
        (void)manager.on_row(1, row, start, start);
    }
};

} // namespace

Test(grant_manager, first_instance_claims_the_whole_row) {
    grant_manager manager(settings, "a", 7);
    auto row = carry_out(manager, manager.on_row(0, {}, start, start), 1, start);
    cr_assert_eq(manager.part(), 1'000'000);
    cr_assert_eq(state::unallocated_part(row), 0);
}

Test(grant_manager, owner_gives_part_to_a_new_instance_before_the_write_is_answered) {
    grant_manager manager(settings, "a", 7);
    auto row = carry_out(manager, manager.on_row(0, {}, start, start), 1, start);
    manager.set_live_instances({"b"});
    auto actions = manager.on_row(1, row, start, start);
    cr_assert_eq(actions.size(), 1U);
    cr_assert_eq(manager.part(), 500'000);
    // A lost answer changes nothing, since the write may have been applied.
    manager.on_write(actions[0].number, write_result::unknown, 0, start);
    cr_assert_eq(manager.part(), 500'000);
}

Test(grant_manager, lease_counts_from_the_request_and_not_from_the_answer) {
    lessor_fixture it;
    auto sent = start + seconds(1);
    (void)it.manager.on_row(1, it.row, sent, start + seconds(5));
    cr_assert(it.manager.lease_end() == sent + settings.lease_duration);
    it.manager.on_lease_renewed("b", start + seconds(2));
    cr_assert(it.manager.lease_end() == start + seconds(2) + settings.lease_duration);
    it.manager.on_lease_renewed("stranger", start + seconds(9));
    cr_assert(it.manager.lease_end() == start + seconds(2) + settings.lease_duration);
}

Test(grant_manager, grant_without_a_lessor_stays_valid_in_an_outage) {
    grant_manager manager(settings, "a", 7);
    auto row = carry_out(manager, manager.on_row(0, {}, start, start), 1, start);
    cr_assert(manager.lease_end() > start + std::chrono::hours(100));
    // A write that names a lessor limits the lease before it is sent, since its answer may be lost.
    manager.set_live_instances({"b"});
    row.grants.push_back({"b", 3, "a", 0, 0});
    auto actions = manager.on_row(1, row, start, start);
    cr_assert_eq(actions.size(), 1U);
    cr_assert_eq(state::find_grant(actions[0].row, "a")->lessor, "b");
    cr_assert(manager.lease_end() <= start + settings.lease_duration);
}

Test(grant_manager, outdated_read_of_the_row_changes_nothing) {
    lessor_fixture it;
    auto newer = it.row;
    newer.grants[0].part = 400'000;
    (void)it.manager.on_row(2, newer, start, start);
    (void)it.manager.on_row(1, it.row, start, start);
    cr_assert_eq(it.manager.part(), 400'000);
}

Test(grant_manager, lessor_reclaims_only_after_lease_duration_and_margin_without_renewal) {
    lessor_fixture it;
    cr_assert(it.manager.renew_lease_of("b", 3, start + seconds(1)));
    it.manager.set_live_instances({});
    auto too_early = start + seconds(1) + settings.lease_duration + settings.clock_drift_margin;
    auto actions = it.manager.on_row(1, it.row, too_early, too_early);
    for (const auto& action : actions)
        cr_assert_not_null(state::find_grant(action.row, "b"));
}

Test(grant_manager, reclaimed_part_is_not_spent_before_the_old_lease_has_expired) {
    lessor_fixture it;
    it.manager.set_live_instances({});
    auto at = start + settings.lease_duration + settings.clock_drift_margin + milliseconds(1);
    auto row = carry_out(it.manager, it.manager.on_row(1, it.row, at, at), 2, at);
    cr_assert_null(state::find_grant(row, "b"));
    cr_assert_eq(state::find_grant(row, "a")->pending, 500'000);
    cr_assert_eq(it.manager.part(), 500'000);
    // Nothing changes until the old owner's lease has expired by any clock.
    auto waiting = at + settings.lease_duration + settings.clock_drift_margin - milliseconds(1);
    cr_assert(it.manager.on_row(2, row, waiting, waiting).empty());
    cr_assert_eq(it.manager.part(), 500'000);
    auto expired = at + settings.lease_duration + settings.clock_drift_margin;
    (void)carry_out(it.manager, it.manager.on_row(2, row, expired, expired), 3, expired);
    cr_assert_eq(it.manager.part(), 1'000'000);
}

Test(grant_manager, lessor_renews_no_lease_that_it_reclaims) {
    lessor_fixture it;
    it.manager.set_live_instances({});
    auto at = start + settings.lease_duration + settings.clock_drift_margin + milliseconds(1);
    auto actions = it.manager.on_row(1, it.row, at, at);
    cr_assert_eq(actions.size(), 1U);
    // The write may have been applied.
    it.manager.on_write(actions[0].number, write_result::unknown, 0, at);
    cr_assert_not(it.manager.renew_lease_of("b", 3, at));
}

Test(grant_manager, lessor_renews_no_lease_of_another_incarnation_or_instance) {
    lessor_fixture it;
    cr_assert_not(it.manager.renew_lease_of("b", 4, start));
    cr_assert_not(it.manager.renew_lease_of("c", 3, start));
}

Test(grant_manager, grant_whose_owner_and_lessor_ended_is_reclaimed_by_a_third_instance) {
    grant_manager manager(settings, "c", 9);
    state::grant_row row;
    row.grants = {{"a", 7, "b", 500'000, 0}, {"b", 3, "a", 500'000, 0}};
    auto actions = manager.on_row(1, row, start, start);
    for (const auto& action : actions)
        cr_assert_not_null(state::find_grant(action.row, "a"));
    manager.on_write(actions[0].number, write_result::conflict, 0, start);
    manager.set_ended({"a", "b"});
    auto updated = carry_out(manager, manager.on_row(1, row, start, start), 2, start);
    cr_assert_eq(state::find_grant(updated, "c")->pending, 1'000'000);
    cr_assert_eq(manager.part(), 0);
}

Test(grant_manager, restarted_owner_takes_its_grant_over_under_its_new_incarnation) {
    grant_manager manager(settings, "a", 8);
    state::grant_row row;
    row.grants = {{"a", 7, "", 1'000'000, 0}};
    auto updated = carry_out(manager, manager.on_row(1, row, start, start), 2, start);
    cr_assert_eq(state::find_grant(updated, "a")->incarnation, 8U);
    cr_assert_eq(manager.part(), 1'000'000);
}

Test(grant_manager, leaving_owner_returns_its_part) {
    lessor_fixture it;
    it.manager.leave();
    auto actions = it.manager.on_row(1, it.row, start, start);
    cr_assert_eq(it.manager.part(), 0);
    auto row = carry_out(it.manager, actions, 2, start);
    cr_assert_null(state::find_grant(row, "a"));
    cr_assert(it.manager.has_left());
}

Test(grant_manager, answer_to_an_earlier_write_is_not_matched_to_a_later_one) {
    grant_manager manager(settings, "a", 7);
    auto first = manager.on_row(0, {}, start, start);
    cr_assert_eq(first.size(), 1U);
    auto late = start + settings.answer_timeout + seconds(1);
    (void)manager.tick(late); // the first write times out and the row is read again
    auto second = manager.on_row(0, {}, late, late);
    cr_assert_eq(second.size(), 1U);
    manager.on_write(first[0].number, write_result::written, 1, late);
    cr_assert_eq(manager.part(), 0);
    manager.on_write(second[0].number, write_result::conflict, 0, late);
    cr_assert_eq(manager.part(), 0);
}

Test(grant_manager, row_read_before_an_own_write_plans_no_other_write) {
    grant_manager manager(settings, "a", 7);
    cr_assert_eq(manager.on_row(0, {}, start, start).size(), 1U);
    cr_assert(manager.on_row(0, {}, start, start).empty());
}

Test(grant_manager, change_of_members_reads_the_row_at_once) {
    lessor_fixture it;
    cr_assert(reads_row(it.manager.tick(start)));
    (void)it.manager.on_row(1, it.row, start, start);
    cr_assert_not(reads_row(it.manager.tick(start + milliseconds(100))));
    it.manager.set_live_instances({"b", "c"});
    cr_assert(reads_row(it.manager.tick(start + milliseconds(200))));
}

Test(grant_manager, new_instance_without_a_part_reads_the_row_again_soon) {
    grant_manager manager(settings, "c", 9);
    state::grant_row row;
    row.grants = {{"a", 7, "b", 500'000, 0}, {"b", 3, "a", 500'000, 0}, {"c", 9, "a", 0, 0}};
    manager.set_live_instances({"a", "b"});
    (void)manager.tick(start);
    cr_assert(manager.on_row(1, row, start, start).empty());
    cr_assert(reads_row(manager.tick(start + settings.read_interval_without_part)));
}
