#include "azureyoke/src/app/forward_state.h"

#include "azureyoke/src/app/forward_rules.h"

#include <criterion/criterion.h>

using namespace azureyoke;

namespace {

constexpr transport::instant start{std::chrono::seconds(100)};

} // namespace

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

// Weights may be taken for 0.65 of their time limit after newer ones are named, and a request may
// wait at its server in between.
Test(forward_rules, request_that_waits_at_its_server_begins_before_its_weights_are_too_old) {
    constexpr double limit_ms = 8000; // of a pool whose answers are on time after 600 ms
    state::forward_route route;
    route.rule = state::run_rule::stream;
    route.target_ms = 600;
    route.gap_ms = 500;
    double latest = limit_ms * app::old_weights_percent / 100 + app::patience_ms(route, 10'000);
    cr_assert_leq(latest, limit_ms);
}
