// Guards against streams that go on at the only version left although they began on one that is
// gone.
#include "azureyoke/src/coordination/software_versions.h"

#include <criterion/criterion.h>

#include "azureyoke/src/coordination/stream_bindings.h"
#include "test/property.h"

using namespace azureyoke;
using coordination::duration;
using coordination::instant;
using coordination::software_versions;
using coordination::stream_bindings;

namespace {

constexpr duration second = std::chrono::seconds(1);
constexpr duration lifetime = 12 * second;
constexpr instant start{std::chrono::hours(1)};

using versions = std::set<std::string>;

} // namespace

Test(software_versions, version_is_kept_for_the_life_of_a_stream_after_its_last_server) {
    software_versions it;
    it.set_present("p", {"v1"}, lifetime, start);
    it.set_present("p", {"v2"}, lifetime, start + 100 * second);
    it.expire(start + 111 * second);
    cr_assert(it.of("p") == versions({"v1", "v2"}));
    it.expire(start + 113 * second);
    cr_assert(it.of("p") == versions({"v2"}));
}

Test(software_versions, pool_without_servers_keeps_its_last_version_for_a_while) {
    software_versions it;
    it.set_present("p", {"v1"}, lifetime, start);
    it.set_present("p", {}, lifetime, start + second);
    it.expire(start + 2 * second);
    cr_assert(it.of("p") == versions({"v1"}));
}

Test(software_versions, stored_versions_make_a_new_set_complete_and_end_like_others) {
    software_versions it;
    it.set_present("p", {"v2"}, lifetime, start);
    cr_assert_not(it.complete());
    it.add_stored({{"p", {"v1", "v2"}}}, start + second);
    cr_assert(it.complete());
    cr_assert(it.of("p") == versions({"v1", "v2"}));
    it.expire(start + 14 * second);
    cr_assert(it.of("p") == versions({"v2"}));
}

Test(software_versions, version_that_returns_counts_again) {
    software_versions it;
    it.set_present("p", {"v1", "v2"}, lifetime, start);
    it.set_present("p", {"v2"}, lifetime, start + second);
    it.set_present("p", {"v1", "v2"}, lifetime, start + 5 * second);
    it.expire(start + 60 * second);
    cr_assert(it.of("p") == versions({"v1", "v2"}));
}

// A stream that runs began on a version of the set, whatever came and went meanwhile.
Test(software_versions, no_version_of_a_running_stream_is_missing) {
    check_property("running streams", [](const std::vector<std::uint8_t>& script) {
        software_versions it;
        std::map<instant, versions> history;
        auto now = start;
        for (auto step : script) {
            versions present;
            for (int i = 0; i < 3; ++i) {
                if ((step >> i) % 2 == 1)
                    present.insert("v" + std::to_string(i));
            }
            it.set_present("p", present, lifetime, now);
            history[now] = present;
            now += second * (step / 32);
            it.expire(now);
            for (const auto& [at, list] : history) {
                // What was present at `at` was so until the next change.
                auto next = history.upper_bound(at);
                auto until = next == history.end() ? now : next->first;
                if (now - until > lifetime)
                    continue;
                for (const auto& version : list)
                    RC_ASSERT(it.of("p").contains(version));
            }
        }
    });
}

Test(stream_bindings, first_binding_of_a_stream_holds_until_its_time) {
    stream_bindings it{{}};
    it.add("q", {"p", "v1", start + second}, start);
    it.add("q", {"p", "v2", start + 9 * second}, start);
    cr_assert_eq(it.find("q", start)->software, "v1");
    cr_assert_not(it.find("q", start + second).has_value());
    it.expire(start + second);
    cr_assert(it.all().empty());
}

Test(stream_bindings, complete_stream_is_forgotten) {
    stream_bindings it{{}};
    it.add("q", {"p", "v1", start + second}, start);
    it.add("r", {"p", "v1", start + second}, start);
    it.remove("q");
    it.remove("unknown");
    cr_assert_not(it.find("q", start).has_value());
    cr_assert(it.find("r", start).has_value());
    it.expire(start + second);
    cr_assert(it.all().empty());
}

Test(stream_bindings, streams_that_end_first_make_room) {
    stream_bindings it{{3}};
    for (int i = 0; i < 5; ++i)
        it.add("q" + std::to_string(i), {"p", "v1", start + (10 - i) * second}, start);
    cr_assert_eq(it.all().size(), 3U);
    cr_assert(it.find("q4", start).has_value(), "the newest stream must find room");
}

Test(stream_bindings, keepers_that_survive_others_are_asked_again) {
    std::vector<std::string> names;
    for (int i = 0; i < 20; ++i)
        names.push_back("i-" + std::to_string(i));
    for (int i = 0; i < 100; ++i) {
        auto stream = "q" + std::to_string(i);
        auto kept_by = coordination::choose_keepers(names, stream, 3);
        cr_assert_eq(kept_by.size(), 3U);
        auto left = names;
        std::erase(left, kept_by[0]);
        auto asked = coordination::choose_keepers(left, stream, 3);
        cr_assert_eq(asked[0], kept_by[1]);
        cr_assert_eq(asked[1], kept_by[2]);
    }
    cr_assert_eq(coordination::choose_keepers({"only"}, "q", 3).size(), 1U);
    cr_assert(coordination::choose_keepers({}, "q", 3).empty());
}
