// Guards against requests sent to unreachable, overloaded, backing-off or weight-changing servers,
// and against prompts placed away from their cached parts.
#include "azureyoke/src/coordination/fleet_router.h"

#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace azureyoke;
using namespace azureyoke::coordination;

namespace {

constexpr instant start{std::chrono::seconds(100)};
constexpr duration ms = std::chrono::milliseconds(1);

struct router_fixture {
    fleet_directory directory{directory_settings{}};
    fleet_router router;

    explicit router_fixture(int servers = 6) : router(settings()) {
        for (int i = 0; i < servers; ++i)
            add("s" + std::to_string(i));
    }

    static fleet_router_settings settings() {
        fleet_router_settings made;
        made.data_centre = "dc";
        return made;
    }

    void add(const std::string& id) {
        state::fleet_server made;
        made.id = id;
        made.pool = "p";
        made.data_centre = "dc";
        made.slots = 16;
        made.models["m"] = 1;
        directory.put(made, start);
    }

    static placement_query prompt(const std::string& second_part) {
        placement_query made;
        made.pool = "p";
        made.model = "m";
        made.parts = {{"rules", 2500}, {second_part, 3800}, {"own", 2900}};
        return made;
    }

    server_choice send(const placement_query& query, instant now) {
        auto made = router.choose(directory, query, now);
        router.on_sent(query, *made, now);
        return *made;
    }

    void answer(const server_choice& choice, instant now) {
        router.on_first_answer(choice, 100 * ms, now);
        router.on_call_outcome(choice, call_outcome::answered, now);
    }
};

} // namespace

Test(fleet_router, unknown_prompt_has_the_same_preferred_server_at_every_instance) {
    router_fixture a;
    router_fixture b;
    std::set<std::string> preferred_servers;
    for (int i = 0; i < 60; ++i) {
        auto query = router_fixture::prompt("thing" + std::to_string(i));
        auto preferred = a.router.choose(a.directory, query, start)->server;
        cr_assert_eq(preferred, b.router.choose(b.directory, query, start)->server);
        preferred_servers.insert(preferred);
    }
    cr_assert_eq(preferred_servers.size(), 6U, "prompts spread over all servers");
}

Test(fleet_router, prompt_goes_where_its_parts_are_cached) {
    router_fixture it;
    auto query = router_fixture::prompt("t");
    auto first = it.send(query, start);
    it.answer(first, start + 200 * ms);
    auto second = it.send(query, start + 300 * ms);
    cr_assert_eq(second.server, first.server);
    cr_assert_eq(first.uncached_tokens, 9200);
    cr_assert_eq(second.uncached_tokens, 2900);
}

Test(fleet_router, prompt_placed_by_a_peer_counts_like_an_own_placement) {
    router_fixture a;
    router_fixture b;
    auto query = router_fixture::prompt("t");
    query.excluded = {"s0", "s1", "s2"};
    auto choice = a.send(query, start);
    for (const auto& it : a.router.take_placed())
        b.router.on_peer_placed(it, start);
    query.excluded = {};
    cr_assert_eq(b.router.choose(b.directory, query, start)->server, choice.server);
}

Test(fleet_router, hot_prompt_spills_before_its_queue_costs_more_than_recomputing) {
    router_fixture it;
    auto query = router_fixture::prompt("hot");
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i)
        used.insert(it.send(query, start).server);
    cr_assert_geq(used.size(), 4U);
}

Test(fleet_router, spilled_prompt_fetches_its_parts_from_a_server_that_has_them_cached) {
    router_fixture it;
    auto query = router_fixture::prompt("t");
    auto first = it.send(query, start);
    it.router.on_peer_work("peer", {{first.server, {60, 200'000}}}, start);
    auto second = it.router.choose(it.directory, query, start);
    cr_assert_neq(second->server, first.server);
    cr_assert(second->fetch);
    cr_assert_eq(second->cache_source, first.server);
}

Test(fleet_router, part_that_was_not_sent_recently_is_fetched_although_it_is_presumed_cached) {
    router_fixture it(1);
    auto query = router_fixture::prompt("t");
    (void)it.send(query, start);
    cr_assert_not(it.router.choose(it.directory, query, start + 1000 * ms)->fetch);
    auto later = it.router.choose(it.directory, query, start + 3000 * ms);
    cr_assert(later->fetch, "other prompts may have evicted it");
    cr_assert_eq(later->uncached_tokens, 2900);
}

Test(fleet_router, work_reported_by_a_peer_counts_until_the_peer_times_out) {
    router_fixture it;
    auto query = router_fixture::prompt("t");
    auto preferred = it.router.choose(it.directory, query, start)->server;
    it.router.on_peer_work("peer", {{preferred, {60, 200'000}}}, start);
    cr_assert_neq(it.router.choose(it.directory, query, start)->server, preferred);
    it.router.expire_peers(start + std::chrono::seconds(2));
    cr_assert_eq(it.router.choose(it.directory, query, start + std::chrono::seconds(2))->server,
                 preferred);
}

Test(fleet_router, unreachable_server_is_suspended_for_a_time_that_doubles) {
    router_fixture it;
    auto query = router_fixture::prompt("t");
    auto now = start;
    auto preferred = it.send(query, now);
    it.router.on_call_outcome(preferred, call_outcome::unreachable, now);
    cr_assert_neq(it.router.choose(it.directory, query, now + 300 * ms)->server, preferred.server);
    now += 500 * ms;
    auto again = it.send(query, now);
    cr_assert_eq(again.server, preferred.server, "tried again once its suspension is over");
    it.router.on_call_outcome(again, call_outcome::unreachable, now);
    cr_assert_neq(it.router.choose(it.directory, query, now + 600 * ms)->server, preferred.server);
}

Test(fleet_router, one_broken_answer_does_not_suspend_a_server_and_two_in_a_row_do) {
    router_fixture it;
    auto query = router_fixture::prompt("t");
    auto preferred = it.send(query, start);
    it.router.on_call_outcome(preferred, call_outcome::incomplete, start);
    auto again = it.send(query, start);
    cr_assert_eq(again.server, preferred.server);
    it.router.on_call_outcome(again, call_outcome::incomplete, start);
    cr_assert_neq(it.router.choose(it.directory, query, start)->server, preferred.server);
}

Test(fleet_router, last_server_is_used_even_while_it_is_suspended) {
    router_fixture it(1);
    auto query = router_fixture::prompt("t");
    auto only = it.send(query, start);
    it.router.on_call_outcome(only, call_outcome::unreachable, start);
    cr_assert(it.router.choose(it.directory, query, start).has_value());
}

Test(fleet_router, server_that_changes_weights_gets_no_work_until_it_has_them) {
    router_fixture it;
    auto query = router_fixture::prompt("t");
    auto preferred = it.router.choose(it.directory, query, start)->server;
    it.router.on_weights_change_announced(preferred, "m", 2, start);
    cr_assert_neq(it.router.choose(it.directory, query, start)->server, preferred);
    it.router.on_weights(preferred, "m", 2);
    cr_assert_eq(it.router.choose(it.directory, query, start)->server, preferred);
}

Test(fleet_router, announcement_that_comes_after_the_change_is_ignored) {
    router_fixture it;
    auto query = router_fixture::prompt("t");
    auto preferred = it.router.choose(it.directory, query, start)->server;
    it.router.on_weights(preferred, "m", 2);
    it.router.on_weights_change_announced(preferred, "m", 2, start);
    cr_assert_eq(it.router.choose(it.directory, query, start)->server, preferred);
}

Test(fleet_router, weights_older_than_allowed_are_never_chosen) {
    router_fixture it;
    auto query = router_fixture::prompt("t");
    query.oldest_weights = 2;
    cr_assert_not(it.router.choose(it.directory, query, start).has_value());
    it.router.on_weights("s3", "m", 2);
    auto choice = it.router.choose(it.directory, query, start);
    cr_assert_eq(choice->server, "s3");
    cr_assert_eq(choice->weights, 2);
}

Test(fleet_router, parts_computed_with_other_weights_are_not_presumed_cached) {
    router_fixture it(1);
    auto query = router_fixture::prompt("t");
    (void)it.send(query, start);
    it.router.on_weights("s0", "m", 2);
    cr_assert_eq(it.router.choose(it.directory, query, start)->uncached_tokens, 9200);
}

Test(fleet_router, parts_of_another_cache_salt_are_not_presumed_cached) {
    router_fixture it(1);
    auto query = router_fixture::prompt("t");
    (void)it.send(query, start);
    query.cache_salt = "workspace";
    cr_assert_eq(it.router.choose(it.directory, query, start)->uncached_tokens, 9200);
}

Test(fleet_router, restarted_server_keeps_its_open_calls_and_loses_its_history) {
    router_fixture it(1);
    auto query = router_fixture::prompt("t");
    auto choice = it.send(query, start);
    it.router.on_call_outcome(choice, call_outcome::unreachable, start);
    (void)it.send(query, start);
    it.router.reset_server("s0");
    cr_assert_eq(it.router.in_flight("s0"), 1);
}

Test(fleet_router, server_at_its_connection_limit_gets_no_more_requests) {
    router_fixture it(2);
    auto query = router_fixture::prompt("x");
    query.max_connections = 3;
    std::map<std::string, int> sent;
    for (int i = 0; i < 6; ++i)
        ++sent[it.send(query, start).server];
    cr_assert_eq(sent["s0"], 3);
    cr_assert_eq(sent["s1"], 3);
    cr_assert_not(it.router.choose(it.directory, query, start).has_value());
    // Open calls of peers count towards the limit; ended calls do not.
    it.router.on_call_outcome({"s0", 0, 0, 1, false, {}, false}, call_outcome::answered, start);
    cr_assert(it.router.choose(it.directory, query, start).has_value());
    it.router.on_peer_work("peer", {{"s0", {1, 0}}}, start);
    cr_assert_not(it.router.choose(it.directory, query, start).has_value());
}

Test(fleet_router, server_in_backoff_gets_no_request_until_the_backoff_ends) {
    router_fixture it(2);
    it.router.on_backoff("s0", 2, start);
    it.router.on_backoff("s0", 0.5, start + 100 * ms); // a shorter backoff does not end the first
    for (int i = 0; i < 20; ++i) {
        auto query = router_fixture::prompt("t" + std::to_string(i));
        cr_assert_eq(it.router.choose(it.directory, query, start + 1999 * ms)->server, "s1");
    }
    std::set<std::string> used;
    for (int i = 0; i < 20; ++i) {
        auto query = router_fixture::prompt("t" + std::to_string(i));
        used.insert(it.router.choose(it.directory, query, start + 2000 * ms)->server);
    }
    cr_assert_eq(used.size(), 2U);
}

Test(fleet_router, pool_wholly_in_backoff_gets_no_request_and_reports_when_the_first_backoff_ends) {
    router_fixture it(2);
    auto query = router_fixture::prompt("t");
    cr_assert_not(it.router.backoff_remaining(it.directory, "p", start).has_value());
    it.router.on_backoff("s0", 3, start);
    it.router.on_backoff("s1", 1, start);
    cr_assert_not(it.router.choose(it.directory, query, start + 400 * ms).has_value());
    cr_assert(*it.router.backoff_remaining(it.directory, "p", start + 400 * ms) == 600 * ms);
    cr_assert(it.router.choose(it.directory, query, start + 1000 * ms).has_value());
}

Test(fleet_router, endless_backoff_is_bounded_and_ends_with_the_servers_restart) {
    router_fixture it(1);
    auto query = router_fixture::prompt("t");
    it.router.on_backoff("s0", 1e300, start);
    cr_assert_not(it.router.choose(it.directory, query, start + std::chrono::minutes(59)));
    cr_assert(it.router.choose(it.directory, query, start + std::chrono::hours(1)));
    it.router.on_backoff("s0", 3, start + std::chrono::hours(1));
    it.router.reset_server("s0");
    cr_assert(it.router.choose(it.directory, query, start + std::chrono::hours(1)));
}

Test(fleet_router, server_at_its_limit_gets_no_request_until_then_or_until_the_limit_is_raised) {
    router_fixture it(1);
    auto query = router_fixture::prompt("t");
    it.router.on_limit_reached("s0", start + 900 * ms);
    cr_assert_not(it.router.choose(it.directory, query, start + 899 * ms));
    cr_assert(*it.router.limit_remaining(it.directory, "p", start + 400 * ms) == 500 * ms);
    cr_assert_not(it.router.backoff_remaining(it.directory, "p", start));
    cr_assert(it.router.choose(it.directory, query, start + 900 * ms));
    it.router.on_limit_reached("s0", start + 900 * ms);
    it.router.on_limit_raised("s0");
    cr_assert(it.router.choose(it.directory, query, start));
}

Test(fleet_router, request_for_servers_without_a_limit_leaves_out_those_that_named_one) {
    router_fixture it(2);
    auto query = router_fixture::prompt("t");
    query.unlimited_only = true;
    it.router.on_limit_named("s0");
    cr_assert_eq(it.router.choose(it.directory, query, start)->server, "s1");
    it.router.on_limit_named("s1");
    it.router.reset_server("s1");
    cr_assert_not(it.router.choose(it.directory, query, start));
    it.router.on_limit_ended("s1");
    cr_assert(it.router.choose(it.directory, query, start));
}

Test(fleet_router, server_that_registered_with_its_new_weights_gets_work_again) {
    router_fixture it;
    auto query = router_fixture::prompt("t");
    auto preferred = it.router.choose(it.directory, query, start)->server;
    it.router.on_weights_change_announced(preferred, "m", 2, start);
    cr_assert(it.router.changing_weights(it.directory, preferred, start));
    auto entry = *it.directory.find(preferred);
    entry.models["m"] = 2;
    it.directory.put(entry, start);
    cr_assert_not(it.router.changing_weights(it.directory, preferred, start));
    cr_assert_eq(it.router.choose(it.directory, query, start)->server, preferred);
}

Test(fleet_router, server_that_did_not_carry_out_its_order_gets_work_again) {
    router_fixture it;
    auto query = router_fixture::prompt("t");
    auto preferred = it.router.choose(it.directory, query, start)->server;
    it.router.on_weights_change_announced(preferred, "m", 2, start);
    it.router.on_weights_change_ended(preferred);
    cr_assert_eq(it.router.choose(it.directory, query, start)->server, preferred);
}

// Guards against large prompts that are refused for the fixed delay which small ones meet.
Test(fleet_router, large_prompt_is_expected_in_time_although_small_ones_meet_a_fixed_delay) {
    router_fixture it(1);
    auto now = start;
    auto query = router_fixture::prompt("x");
    query.parts = {{"own", 300}};
    for (int i = 0; i < 100; ++i) {
        auto choice = it.send(query, now);
        now += 100 * ms;
        it.answer(choice, now);
    }
    query.parts = {{"own", 40'000}};
    cr_expect_lt(it.send(query, now).estimated_first_answer_ms, 1100);
}
