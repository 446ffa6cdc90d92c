#include "azureyoke/src/coordination/fleet_directory.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::fleet_directory;
using coordination::instant;

namespace {

constexpr instant start{std::chrono::seconds(100)};

state::fleet_server server(const std::string& id, bool leaving = false) {
    state::fleet_server made;
    made.id = id;
    made.pool = "p";
    made.address = "10.0.0.1:80";
    made.slots = 4;
    made.leaving = leaving;
    return made;
}

} // namespace

Test(fleet_directory, server_that_is_leaving_gets_no_new_requests) {
    fleet_directory directory({});
    directory.put(server("a"));
    directory.put(server("b", true));
    auto usable = directory.usable("p");
    cr_assert_eq(usable.size(), 1U);
    cr_assert_eq(usable[0]->id, "a");
    cr_assert(directory.find("b") != nullptr);
}

Test(fleet_directory, removed_server_is_used_no_more) {
    fleet_directory directory({});
    directory.put(server("a"));
    directory.remove("a", start);
    cr_assert(directory.usable("p").empty());
}

Test(fleet_directory, entries_that_lapsed_while_the_registry_was_away_stay_for_the_grace) {
    fleet_directory directory({});
    directory.put(server("a"));
    directory.put(server("b"));
    directory.on_registry_back(start);
    directory.replace_all({server("b")}, start);
    cr_assert_eq(directory.usable("p").size(), 2U);
    cr_assert(directory.expire(start + std::chrono::milliseconds(1700)).empty());
    auto gone = directory.expire(start + std::chrono::milliseconds(1900));
    cr_assert_eq(gone.size(), 1U);
    cr_assert_eq(directory.usable("p").size(), 1U);
}

Test(fleet_directory, entry_that_comes_back_within_the_grace_stays_after_it) {
    fleet_directory directory({});
    directory.put(server("a"));
    directory.on_registry_back(start);
    directory.remove("a", start + std::chrono::milliseconds(10));
    directory.put(server("a"));
    cr_assert(directory.expire(start + std::chrono::seconds(10)).empty());
    cr_assert_eq(directory.usable("p").size(), 1U);
}

Test(fleet_directory, leaving_server_has_no_grace) {
    fleet_directory directory({});
    directory.put(server("a", true));
    directory.on_registry_back(start);
    directory.remove("a", start);
    cr_assert(directory.find("a") == nullptr);
}

Test(fleet_directory, entry_removed_long_after_the_return_goes_at_once) {
    fleet_directory directory({});
    directory.put(server("a"));
    directory.on_registry_back(start);
    directory.remove("a", start + std::chrono::seconds(5));
    cr_assert(directory.find("a") == nullptr);
}
