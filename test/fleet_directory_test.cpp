// Guards against requests to departed servers that a late or restored registry still lists, and
// against the loss of live servers that it no longer lists.
#include "azureyoke/src/coordination/fleet_directory.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::departure_source;
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
    directory.put(server("a"), start);
    directory.put(server("b", true), start);
    auto usable = directory.usable("p");
    cr_assert_eq(usable.size(), 1U);
    cr_assert_eq(usable[0]->id, "a");
    cr_assert(directory.find("b") != nullptr);
}

Test(fleet_directory, removed_server_is_no_longer_used) {
    fleet_directory directory({});
    directory.put(server("a"), start);
    directory.remove("a", start);
    cr_assert(directory.usable("p").empty());
}

Test(fleet_directory,
     entries_expired_while_the_registry_was_unavailable_stay_for_the_grace_period) {
    fleet_directory directory({});
    directory.put(server("a"), start);
    directory.put(server("b"), start);
    directory.on_registry_recovered(start);
    directory.replace_all({server("b")}, start);
    cr_assert_eq(directory.usable("p").size(), 2U);
    cr_assert(directory.expire(start + std::chrono::milliseconds(1700)).empty());
    auto gone = directory.expire(start + std::chrono::milliseconds(1900));
    cr_assert_eq(gone.size(), 1U);
    cr_assert_eq(directory.usable("p").size(), 1U);
}

Test(fleet_directory, entry_registered_again_within_the_grace_period_stays_after_it) {
    fleet_directory directory({});
    directory.put(server("a"), start);
    directory.on_registry_recovered(start);
    directory.remove("a", start + std::chrono::milliseconds(10));
    directory.put(server("a"), start);
    cr_assert(directory.expire(start + std::chrono::seconds(10)).empty());
    cr_assert_eq(directory.usable("p").size(), 1U);
}

Test(fleet_directory, leaving_server_has_no_grace_period) {
    fleet_directory directory({});
    directory.put(server("a", true), start);
    directory.on_registry_recovered(start);
    directory.remove("a", start);
    cr_assert(directory.find("a") == nullptr);
}

Test(fleet_directory, entry_removed_long_after_the_registrys_return_is_dropped_at_once) {
    fleet_directory directory({});
    directory.put(server("a"), start);
    directory.on_registry_recovered(start);
    directory.remove("a", start + std::chrono::seconds(5));
    cr_assert(directory.find("a") == nullptr);
}

namespace {

state::fleet_server registered_at(const std::string& id, std::int64_t at) {
    auto made = server(id);
    made.started_ms = at;
    return made;
}

} // namespace

Test(fleet_directory,
     server_that_announced_its_departure_is_excluded_although_the_registry_lists_it) {
    fleet_directory directory({});
    directory.put(registered_at("a", 7), start);
    cr_assert(directory.on_departure({"a", 7}, departure_source::answer, start));
    cr_assert(directory.usable("p").empty());
    directory.put(registered_at("a", 7), start);
    directory.replace_all({registered_at("a", 7)}, start);
    cr_assert(directory.usable("p").empty(), "the registry still lists the departed server");
    cr_assert_not(directory.on_departure({"a", 7}, departure_source::answer, start),
                  "the departure is already known");
}

Test(fleet_directory, restarted_server_is_used_after_its_departure) {
    fleet_directory directory({});
    directory.put(registered_at("a", 7), start);
    (void)directory.on_departure({"a", 7}, departure_source::answer, start);
    directory.put(registered_at("a", 9), start);
    cr_assert_eq(directory.usable("p").size(), 1U);
    cr_assert_not(directory.on_departure({"a", 7}, departure_source::peer, start));
    cr_assert_eq(directory.usable("p").size(), 1U, "a report of the old departure arrives late");
}

Test(fleet_directory, departure_is_kept_after_its_entry_expired) {
    fleet_directory directory({});
    directory.put(registered_at("a", 7), start);
    (void)directory.on_departure({"a", 7}, departure_source::answer, start);
    directory.remove("a", start);
    (void)directory.expire(start + std::chrono::minutes(1));
    directory.put(registered_at("a", 7), start);
    cr_assert(directory.usable("p").empty());
}

Test(fleet_directory, departure_reported_before_the_registration_is_known_counts) {
    fleet_directory directory({});
    (void)directory.on_departure({"a", 7}, departure_source::peer, start);
    directory.put(registered_at("a", 7), start);
    cr_assert(directory.usable("p").empty());
}

Test(fleet_directory, departures_are_dropped_long_after_the_server_is_gone) {
    fleet_directory directory({});
    (void)directory.on_departure({"a", 7}, departure_source::peer, start);
    (void)directory.expire(start + std::chrono::minutes(11));
    directory.put(registered_at("a", 7), start);
    cr_assert_eq(directory.usable("p").size(), 1U);
}

Test(fleet_directory, only_recent_departures_announced_to_this_instance_are_reported_to_peers) {
    fleet_directory directory({});
    (void)directory.on_departure({"a", 7}, departure_source::answer, start);
    (void)directory.on_departure({"b", 8}, departure_source::peer, start);
    auto reported = directory.recent_departures(start);
    cr_assert_eq(reported.size(), 1U);
    cr_assert(reported[0] == (coordination::departure{"a", 7}));
    cr_assert(directory.recent_departures(start + std::chrono::seconds(6)).empty());
}

namespace {

state::fleet_server registered(const std::string& id, std::int64_t number, bool leaving = false) {
    auto made = server(id, leaving);
    made.started_ms = 7;
    made.registration = number;
    return made;
}

} // namespace

Test(fleet_directory, departed_server_listed_by_an_older_copy_is_not_used) {
    fleet_directory directory({});
    directory.put(registered("gone", 3), start);
    directory.put(registered("leaves", 3), start);
    directory.remove("gone", start);
    directory.put(registered("leaves", 4, true), start);
    directory.on_registry_restored(start);
    directory.replace_all({registered("gone", 3), registered("leaves", 3)}, start);
    cr_assert(directory.usable("p").empty());
    cr_assert_not(directory.put(registered("gone", 2), start));
}

Test(fleet_directory, server_that_registers_again_after_the_restore_is_used) {
    fleet_directory directory({});
    directory.put(registered("a", 3), start);
    directory.remove("a", start);
    directory.on_registry_restored(start);
    directory.replace_all({registered("a", 3)}, start);
    directory.put(registered("a", 4), start);
    cr_assert_eq(directory.usable("p").size(), 1U);
    auto restarted = registered("b", 1);
    directory.put(restarted, start);
    directory.remove("b", start);
    restarted.started_ms = 9;
    restarted.registration = 0;
    directory.put(restarted, start);
    cr_assert_eq(directory.usable("p").size(), 2U);
}

Test(fleet_directory, server_missing_from_an_older_copy_stays_for_the_grace_period) {
    fleet_directory directory({});
    directory.put(registered("a", 3), start);
    directory.on_registry_restored(start);
    directory.replace_all({}, start);
    cr_assert_eq(directory.usable("p").size(), 1U);
    auto gone = directory.expire(start + std::chrono::milliseconds(1900));
    cr_assert_eq(gone.size(), 1U);
    cr_assert(directory.usable("p").empty());
}
