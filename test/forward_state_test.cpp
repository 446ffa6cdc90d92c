// Guards against an older policy that replaces a newer one and against requests that start on
// weights past their time limit.
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
    state::forward_workspace workspace;
    workspace.name = "w";
    workspace.keys = {key};
    return {std::make_shared<const state::traffic_policy>(
                version, std::vector<state::forward_route>(), std::vector<state::server_pool>(),
                std::vector{workspace}, state::caller_bounds()),
            ""};
}

} // namespace

Test(forward_state, older_policy_and_policy_of_the_same_version_are_ignored) {
    app::forward_state it{app::forward_settings()};
    cr_assert(it.set_policy(policy_of(7, "seven"), start));
    cr_assert_not(it.set_policy(policy_of(6, "six"), start));
    cr_assert_not(it.set_policy(policy_of(7, "other"), start));
    cr_assert_not_null(it.policy.policy->find_workspace("seven"));
    cr_assert(it.set_policy(policy_of(9, "nine"), start));
    cr_assert_null(it.policy.policy->find_workspace("seven"));
}

// Guards against a request that starts on weights past their time limit: a server may be chosen
// until 65 % of the limit has passed, and the request may then wait there before it starts.
Test(forward_rules, request_that_waits_at_its_server_starts_before_its_weights_are_too_old) {
    constexpr double limit_ms = 8000; // of a pool with a target latency of 600 ms
    state::forward_route route;
    route.rule = state::execution_rule::stream;
    route.latency_target_ms = 600;
    route.target_gap_ms = 500;
    double latest_start_ms =
        limit_ms * app::old_weights_percent / 100 + app::first_answer_limit_ms(route, 10'000);
    cr_assert_leq(latest_start_ms, limit_ms);
}
