// Guards against prompt caches that a workspace shares with others although one of them is
// isolated: names that collide with shared salts, and a model of configurations that follow each
// other while instances lag behind and start again.
#include "azureyoke/src/state/cache_salt.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace azureyoke;
using state::forward_workspace;
using state::own_cache_salt;
using state::shared_cache_salt;
using state::traffic_policy;

namespace {

std::vector<forward_workspace> workspaces(const std::vector<std::string>& names,
                                          const std::set<std::string>& isolated) {
    std::vector<forward_workspace> list;
    for (const auto& name : names) {
        forward_workspace it;
        it.name = name;
        it.isolated = isolated.contains(name);
        list.push_back(it);
    }
    return list;
}

traffic_policy policy(const std::vector<std::string>& names,
                      const std::set<std::string>& isolated) {
    return {1, {}, {}, workspaces(names, isolated), {}};
}

} // namespace

Test(cache_salt, without_isolated_workspaces_all_share_the_empty_salt) {
    cr_assert_eq(shared_cache_salt(workspaces({"a", "b"}, {})), "");
    cr_assert_eq(policy({"a", "b"}, {}).cache_salt("a"), "");
}

Test(cache_salt, isolated_workspace_has_its_own_and_the_others_that_of_the_set) {
    auto made = policy({"a", "b", "wall"}, {"wall"});
    cr_assert_eq(made.cache_salt("wall"), "wall");
    cr_assert_eq(made.cache_salt("a"), made.cache_salt("b"));
    cr_assert_neq(made.cache_salt("a"), "");
    cr_assert_eq(made.cache_salt("a"), made.shared_cache_salt());
}

Test(cache_salt, follows_from_the_set_of_isolated_workspaces_alone) {
    auto salt = policy({"a", "x", "y"}, {"x", "y"}).shared_cache_salt();
    cr_assert_eq(policy({"y", "b", "x"}, {"y", "x"}).shared_cache_salt(), salt);
    cr_assert_neq(policy({"a", "x", "y"}, {"x"}).shared_cache_salt(), salt);
}

Test(cache_salt, workspace_that_the_policy_does_not_have_shares_with_none) {
    cr_assert_eq(policy({"a"}, {}).cache_salt("gone"), "gone");
}

// Two sets, two names, or a name and a set, whatever the names are.
Test(cache_salt, no_names_and_sets_have_the_same_salt) {
    auto salt_of_x = shared_cache_salt(workspaces({"x"}, {"x"}));
    std::vector<std::string> names = {
        "", "#", "##", "###", "a", "b", "ab", "a,b", "1:", "1:a", "#a", salt_of_x, "#" + salt_of_x};
    std::set<std::string> salts = {""};
    std::size_t expected = 1;
    for (std::size_t i = 0; i < names.size(); ++i) {
        salts.insert(own_cache_salt(names[i]));
        salts.insert(shared_cache_salt(workspaces({names[i]}, {names[i]})));
        expected += 2;
        for (std::size_t k = i + 1; k < names.size(); ++k) {
            salts.insert(shared_cache_salt(workspaces({names[i], names[k]}, {names[i], names[k]})));
            ++expected;
        }
    }
    cr_assert_eq(salts.size(), expected);
}

// A part is kept for ever under the salt that it was made with. Instances get a configuration
// late, and start again with the newest one, or with an older one after the store came back from an
// older copy. A request uses no part of another workspace that is isolated, or after it was
// isolated itself, under any configuration from that of its instance on.
Test(cache_salt_model, no_part_is_used_across_the_wall_however_configurations_follow) {
    const std::vector<std::string> names = {"a", "b", "c", "d"};
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        auto number = [&](std::size_t n) { return random() % n; };
        std::set<std::string> isolated;
        auto newest = policy(names, isolated);
        std::vector<traffic_policy> history = {newest};
        std::vector<traffic_policy> instances(1 + number(8), newest);
        std::map<std::string, std::set<std::string>> makers; // by salt
        for (int step = 0; step < 400; ++step) {
            if (number(20) == 0) {
                const auto& changed = names[number(names.size())];
                if (!isolated.erase(changed))
                    isolated.insert(changed);
                newest = policy(names, isolated);
                history.push_back(newest);
            }
            auto& instance = instances[number(instances.size())];
            if (number(4) == 0)
                instance = number(10) == 0 ? history[number(history.size())] : newest;
            const auto& workspace = names[number(names.size())];
            auto& made_by = makers[instance.cache_salt(workspace)];
            const auto& own = instance.workspaces();
            auto is_isolated = [&](const std::string& name) {
                for (const auto& it : own) {
                    if (it.name == name)
                        return it.isolated;
                }
                return true;
            };
            for (const auto& maker : made_by) {
                bool across = maker != workspace && (is_isolated(maker) || is_isolated(workspace));
                cr_assert_not(across, "seed %u, step %d: %s uses parts of %s", seed, step,
                              workspace.c_str(), maker.c_str());
            }
            made_by.insert(workspace);
        }
    }
}
