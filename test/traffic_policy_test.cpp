// Guards against requests matched to the wrong route or workspace.
#include "azureyoke/src/state/traffic_policy.h"

#include <criterion/criterion.h>

using namespace azureyoke::state;

namespace {

forward_route make_route(const std::string& name, const std::string& host,
                         const std::string& prefix) {
    forward_route result;
    result.name = name;
    result.host = host;
    result.path_prefix = prefix;
    return result;
}

traffic_policy make_policy() {
    forward_workspace entry;
    entry.name = "w";
    entry.keys = {"k1", "k2"};
    return {3,
            {make_route("short", "h", "/a/"), make_route("long", "h", "/a/b/"),
             make_route("other", "g", "/a/b/")},
            {{"p", 1, 0, {}, {}}},
            {entry},
            {}};
}

} // namespace

Test(traffic_policy, route_with_longest_prefix_of_host_is_selected) {
    auto policy = make_policy();
    cr_assert_eq(policy.find_route("h", "/a/b/c")->name, "long");
    cr_assert_eq(policy.find_route("h", "/a/x")->name, "short");
    cr_assert_eq(policy.find_route("g", "/a/b/c")->name, "other");
}

Test(traffic_policy, unmatched_path_or_host_has_no_route) {
    auto policy = make_policy();
    cr_assert(policy.find_route("h", "/ab/") == nullptr);
    cr_assert(policy.find_route("g", "/a/x") == nullptr);
    cr_assert(policy.find_route("x", "/a/b/") == nullptr);
}

Test(traffic_policy, only_known_keys_select_a_workspace) {
    auto policy = make_policy();
    cr_assert_eq(policy.find_workspace("k2")->name, "w");
    cr_assert(policy.find_workspace("k3") == nullptr);
    cr_assert(policy.find_workspace("") == nullptr);
}
