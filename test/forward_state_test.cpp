#include "azureyoke/src/app/forward_state.h"

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
