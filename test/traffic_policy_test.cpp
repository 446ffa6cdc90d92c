#include "azureyoke/src/state/traffic_policy.h"

#include <criterion/criterion.h>

using namespace azureyoke::state;

namespace {

forward_route route(const std::string& name, const std::string& host, const std::string& prefix) {
    forward_route made;
    made.name = name;
    made.host = host;
    made.path_prefix = prefix;
    return made;
}

traffic_policy policy() {
    forward_workspace space;
    space.name = "w";
    space.keys = {"k1", "k2"};
    return {3,
            {route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "g", "/a/b/")},
            {{"p", 1, 0, {}, {}}},
            {space},
            {}};
}

} // namespace

Test(traffic_policy, longest_prefix_of_the_host_wins) {
    auto it = policy();
    cr_assert_eq(it.find_route("h", "/a/b/c")->name, "long");
    cr_assert_eq(it.find_route("h", "/a/x")->name, "short");
    cr_assert_eq(it.find_route("g", "/a/b/c")->name, "other");
}

Test(traffic_policy, path_or_host_without_a_route_finds_none) {
    auto it = policy();
    cr_assert(it.find_route("h", "/ab/") == nullptr);
    cr_assert(it.find_route("g", "/a/x") == nullptr);
    cr_assert(it.find_route("x", "/a/b/") == nullptr);
}

Test(traffic_policy, each_key_finds_its_workspace_and_no_other_text_does) {
    auto it = policy();
    cr_assert_eq(it.find_workspace("k2")->name, "w");
    cr_assert(it.find_workspace("k3") == nullptr);
    cr_assert(it.find_workspace("") == nullptr);
}
