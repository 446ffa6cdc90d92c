#include "azureyoke/src/app/forward_state.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using app::named_weights;

namespace {

constexpr transport::instant start{std::chrono::seconds(100)};
constexpr transport::duration second = std::chrono::seconds(1);

} // namespace

Test(named_weights, older_weights_stay_acceptable_until_newer_ones_have_been_known_long_enough) {
    named_weights it;
    cr_assert(it.learn(2, start, true));
    cr_assert(it.learn(3, start + 2 * second, true));
    cr_assert_eq(it.known_for(4 * second, start + 3 * second), 0);
    cr_assert_eq(it.known_for(4 * second, start + 5 * second), 2);
    cr_assert_eq(it.known_for(4 * second, start + 6 * second), 3);
}

Test(named_weights, restarted_instance_thinks_weights_due_until_a_peer_tells_their_age) {
    named_weights it;
    cr_assert(it.learn(3, start - 6 * second, false));
    cr_assert_eq(it.known_for(4 * second, start), 3);
    cr_assert_not(it.learn(3, start - second, true));
    cr_assert_eq(it.known_for(4 * second, start), 0);
    cr_assert_eq(it.known_for(4 * second, start + 3 * second), 3);
}

Test(named_weights, earliest_of_two_known_times_holds) {
    named_weights it;
    (void)it.learn(3, start, true);
    (void)it.learn(3, start - 3 * second, true);
    (void)it.learn(3, start + second, true);
    cr_assert_eq(it.age_ms(start), 3000);
}

Test(named_weights, older_version_that_is_told_late_is_ignored) {
    named_weights it;
    (void)it.learn(3, start, true);
    cr_assert_not(it.learn(2, start, true));
    cr_assert_eq(it.version, 3);
}

namespace {

/// A policy with one workspace whose only key is `key`.
app::policy_copy policy_of(std::int64_t version, const std::string& key) {
    state::forward_workspace space;
    space.name = "w";
    space.keys = {key};
    return {std::make_shared<const state::traffic_policy>(
                version, std::vector<state::forward_route>(), std::vector<state::server_pool>(),
                std::vector{space}, state::caller_bounds()),
            ""};
}

} // namespace

Test(forward_state, older_policy_and_another_of_the_same_version_are_not_taken) {
    app::forward_state it{app::forward_settings()};
    cr_assert(it.set_policy(policy_of(7, "seven"), start));
    cr_assert_not(it.set_policy(policy_of(6, "six"), start));
    cr_assert_not(it.set_policy(policy_of(7, "other"), start));
    cr_assert_not_null(it.policy.policy->find_workspace("seven"));
    cr_assert(it.set_policy(policy_of(9, "nine"), start));
    cr_assert_null(it.policy.policy->find_workspace("seven"));
}
