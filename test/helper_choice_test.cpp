// Guards against requests that meet one cut-off instance after the other, and against helpers that
// get all of them.
#include "azureyoke/src/coordination/helper_choice.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "test/property.h"

using namespace azureyoke;
using coordination::helper_candidate;
using coordination::helper_choice;
using coordination::instant;
using std::chrono::milliseconds;

namespace {

const instant start = instant(std::chrono::hours(1));
constexpr int max_tries = 4; // as many as a request may meet

std::string name_of(int zone, int number) {
    return std::to_string(zone) + "-" + std::to_string(number);
}

/// \returns all instances of three data centres but the first one, which is near to the first
/// centre.
std::vector<helper_candidate> fleet(int size) {
    std::vector<helper_candidate> list;
    for (int i = 1; i < size; ++i)
        list.push_back({name_of(i % 3, i), i % 3 == 0});
    return list;
}

/// Plays one cut-off instance for two seconds, 20 requests in each. \returns the requests that met
/// no helper, after the first half second.
int unserved(int size, const std::set<std::string>& cut, std::uint32_t seed) {
    helper_choice it(seed);
    it.set_candidates(fleet(size));
    int failed = 0;
    for (int request = 0; request < 40; ++request) {
        auto now = start + request * milliseconds(50);
        bool served = false;
        for (int i = 0; i < max_tries && !served; ++i) {
            auto helper = it.choose(now);
            if (!helper)
                break;
            it.on_sent(*helper);
            it.on_ended(*helper);
            served = !cut.contains(*helper);
            if (served)
                it.on_served(*helper);
            else
                it.on_refused(*helper, now);
        }
        failed += !served && request >= 10 ? 1 : 0;
    }
    return failed;
}

} // namespace

Test(helper_choice, requests_spread_over_near_helpers_first) {
    helper_choice it(1);
    it.set_candidates({{"near-1", true}, {"near-2", true}, {"far", false}});
    std::map<std::string, int> sent;
    for (int i = 0; i < 12; ++i) {
        auto chosen = it.choose(start);
        ++sent[*chosen];
        it.on_sent(*chosen);
    }
    cr_assert_geq(sent["near-1"], 4);
    cr_assert_geq(sent["near-2"], 4);
    cr_assert_geq(sent["far"], 2);
}

Test(helper_choice, helper_that_refused_is_left_out_for_a_time_that_doubles) {
    helper_choice it(1);
    it.set_candidates({{"a", true}});
    it.on_refused("a", start);
    cr_assert_not(it.choose(start + milliseconds(499)).has_value());
    cr_assert(it.choose(start + milliseconds(500)).has_value());
    it.on_refused("a", start + milliseconds(500));
    cr_assert_not(it.choose(start + milliseconds(1499)).has_value());
    it.on_served("a");
    cr_assert(it.choose(start + milliseconds(600)).has_value());
    it.set_candidates({});
    cr_assert_not(it.choose(start).has_value());
}

Test(helper_choice, no_request_is_lost_when_the_own_data_centre_is_cut_off) {
    for (int size : {8, 24, 70, 200, 640}) {
        std::set<std::string> cut;
        for (int i = 0; i < size; i += 3)
            cut.insert(name_of(0, i));
        for (std::uint32_t seed = 1; seed <= 50; ++seed)
            cr_assert_eq(unserved(size, cut, seed), 0, "%d instances", size);
    }
}

// Whichever half of the others is cut off, at most one request in ten meets no helper.
Test(helper_choice, few_requests_are_lost_when_half_of_the_fleet_is_cut_off) {
    check_property("few requests are lost", [](const std::vector<bool>& choice, std::uint8_t kind) {
        int size = std::vector{8, 24, 70, 200, 640}.at(kind % 5);
        std::set<std::string> cut;
        for (int i = 1; i < size; ++i) {
            bool chosen = choice.empty() ? i % 2 == 0 : choice[i % choice.size()];
            if (chosen && cut.size() < static_cast<std::size_t>(size) / 2)
                cut.insert(name_of(i % 3, i));
        }
        RC_ASSERT(unserved(size, cut, kind + 1U) <= 3);
    });
}
