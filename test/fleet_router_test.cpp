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

    static placement_question prompt(const std::string& thing) {
        placement_question made;
        made.pool = "p";
        made.model = "m";
        made.parts = {{"rules", 2500}, {thing, 3800}, {"own", 2900}};
        return made;
    }

    fleet_choice send(const placement_question& question, instant now) {
        auto made = router.choose(directory, question, now);
        router.on_sent(question, *made, now);
        return *made;
    }

    void answer(const fleet_choice& choice, instant now) {
        router.on_first_answer(choice, 100 * ms, now);
        router.on_end(choice, call_end::answered, now);
    }
};

} // namespace

Test(fleet_router, unknown_prompt_has_the_same_home_at_every_instance) {
    router_fixture a;
    router_fixture b;
    std::set<std::string> homes;
    for (int i = 0; i < 60; ++i) {
        auto question = router_fixture::prompt("thing" + std::to_string(i));
        auto home = a.router.choose(a.directory, question, start)->server;
        cr_assert_eq(home, b.router.choose(b.directory, question, start)->server);
        homes.insert(home);
    }
    cr_assert_eq(homes.size(), 6U, "things spread over all servers");
}

Test(fleet_router, prompt_goes_where_its_parts_are_cached) {
    router_fixture it;
    auto question = router_fixture::prompt("t");
    auto first = it.send(question, start);
    it.answer(first, start + 200 * ms);
    auto second = it.send(question, start + 300 * ms);
    cr_assert_eq(second.server, first.server);
    cr_assert_eq(first.new_tokens, 9200);
    cr_assert_eq(second.new_tokens, 2900);
}

Test(fleet_router, what_a_peer_placed_counts_like_what_was_placed_here) {
    router_fixture a;
    router_fixture b;
    auto question = router_fixture::prompt("t");
    question.excluded = {"s0", "s1", "s2"};
    auto choice = a.send(question, start);
    for (const auto& it : a.router.take_placed())
        b.router.on_peer_placed(it, start);
    question.excluded = {};
    cr_assert_eq(b.router.choose(b.directory, question, start)->server, choice.server);
}

Test(fleet_router, hot_prompt_spills_before_its_queue_costs_more_than_reading_again) {
    router_fixture it;
    auto question = router_fixture::prompt("hot");
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i)
        used.insert(it.send(question, start).server);
    cr_assert_geq(used.size(), 4U);
}

Test(fleet_router, spilled_prompt_fetches_its_parts_from_a_server_that_keeps_them) {
    router_fixture it;
    auto question = router_fixture::prompt("t");
    auto first = it.send(question, start);
    it.router.on_peer_work("peer", {{first.server, {60, 200'000}}}, start);
    auto second = it.router.choose(it.directory, question, start);
    cr_assert_neq(second->server, first.server);
    cr_assert(second->fetch);
    cr_assert_eq(second->cache_holder, first.server);
}

Test(fleet_router, part_that_was_not_used_lately_is_fetched_where_it_is_thought_cached) {
    router_fixture it(1);
    auto question = router_fixture::prompt("t");
    (void)it.send(question, start);
    cr_assert_not(it.router.choose(it.directory, question, start + 1000 * ms)->fetch);
    auto later = it.router.choose(it.directory, question, start + 3000 * ms);
    cr_assert(later->fetch, "other prompts may have taken its room");
    cr_assert_eq(later->new_tokens, 2900);
}

Test(fleet_router, work_that_a_peer_reports_is_avoided_until_the_peer_is_silent) {
    router_fixture it;
    auto question = router_fixture::prompt("t");
    auto home = it.router.choose(it.directory, question, start)->server;
    it.router.on_peer_work("peer", {{home, {60, 200'000}}}, start);
    cr_assert_neq(it.router.choose(it.directory, question, start)->server, home);
    it.router.expire_peers(start + std::chrono::seconds(2));
    cr_assert_eq(it.router.choose(it.directory, question, start + std::chrono::seconds(2))->server,
                 home);
}

Test(fleet_router, server_without_connection_is_left_out_for_a_time_that_doubles) {
    router_fixture it;
    auto question = router_fixture::prompt("t");
    auto now = start;
    auto home = it.send(question, now);
    it.router.on_end(home, call_end::unreached, now);
    cr_assert_neq(it.router.choose(it.directory, question, now + 300 * ms)->server, home.server);
    now += 500 * ms;
    auto again = it.send(question, now);
    cr_assert_eq(again.server, home.server, "tried again once its time is over");
    it.router.on_end(again, call_end::unreached, now);
    cr_assert_neq(it.router.choose(it.directory, question, now + 600 * ms)->server, home.server);
}

Test(fleet_router, one_broken_answer_does_not_suspend_a_server_and_two_in_a_row_do) {
    router_fixture it;
    auto question = router_fixture::prompt("t");
    auto home = it.send(question, start);
    it.router.on_end(home, call_end::broken, start);
    auto again = it.send(question, start);
    cr_assert_eq(again.server, home.server);
    it.router.on_end(again, call_end::broken, start);
    cr_assert_neq(it.router.choose(it.directory, question, start)->server, home.server);
}

Test(fleet_router, last_server_is_used_even_while_it_is_left_out) {
    router_fixture it(1);
    auto question = router_fixture::prompt("t");
    auto only = it.send(question, start);
    it.router.on_end(only, call_end::unreached, start);
    cr_assert(it.router.choose(it.directory, question, start).has_value());
}

Test(fleet_router, server_that_changes_weights_gets_no_work_until_it_has_them) {
    router_fixture it;
    auto question = router_fixture::prompt("t");
    auto home = it.router.choose(it.directory, question, start)->server;
    it.router.on_change_announced(home, "m", 2, start);
    cr_assert_neq(it.router.choose(it.directory, question, start)->server, home);
    it.router.on_weights(home, "m", 2);
    cr_assert_eq(it.router.choose(it.directory, question, start)->server, home);
}

Test(fleet_router, announcement_that_comes_after_the_change_is_ignored) {
    router_fixture it;
    auto question = router_fixture::prompt("t");
    auto home = it.router.choose(it.directory, question, start)->server;
    it.router.on_weights(home, "m", 2);
    it.router.on_change_announced(home, "m", 2, start);
    cr_assert_eq(it.router.choose(it.directory, question, start)->server, home);
}

Test(fleet_router, weights_older_than_allowed_are_never_chosen) {
    router_fixture it;
    auto question = router_fixture::prompt("t");
    question.oldest_weights = 2;
    cr_assert_not(it.router.choose(it.directory, question, start).has_value());
    it.router.on_weights("s3", "m", 2);
    auto choice = it.router.choose(it.directory, question, start);
    cr_assert_eq(choice->server, "s3");
    cr_assert_eq(choice->weights, 2);
}

Test(fleet_router, parts_made_by_other_weights_are_not_thought_cached) {
    router_fixture it(1);
    auto question = router_fixture::prompt("t");
    (void)it.send(question, start);
    it.router.on_weights("s0", "m", 2);
    cr_assert_eq(it.router.choose(it.directory, question, start)->new_tokens, 9200);
}

Test(fleet_router, parts_of_another_wall_are_not_thought_cached) {
    router_fixture it(1);
    auto question = router_fixture::prompt("t");
    (void)it.send(question, start);
    question.cache_wall = "workspace";
    cr_assert_eq(it.router.choose(it.directory, question, start)->new_tokens, 9200);
}

Test(fleet_router, restarted_server_keeps_its_open_calls_and_loses_its_history) {
    router_fixture it(1);
    auto question = router_fixture::prompt("t");
    auto choice = it.send(question, start);
    it.router.on_end(choice, call_end::unreached, start);
    (void)it.send(question, start);
    it.router.forget("s0");
    cr_assert_eq(it.router.in_flight("s0"), 1);
}

Test(fleet_router, server_whose_connections_are_all_taken_gets_no_more) {
    router_fixture it(2);
    auto question = router_fixture::prompt("x");
    question.most_connections = 3;
    std::map<std::string, int> sent;
    for (int i = 0; i < 6; ++i)
        ++sent[it.send(question, start).server];
    cr_assert_eq(sent["s0"], 3);
    cr_assert_eq(sent["s1"], 3);
    cr_assert_not(it.router.choose(it.directory, question, start).has_value());
    // What peers have open counts as well, and what has ended no more.
    it.router.on_end({"s0", 0, 0, 1, false, {}, false}, call_end::answered, start);
    cr_assert(it.router.choose(it.directory, question, start).has_value());
    it.router.on_peer_work("peer", {{"s0", {1, 0}}}, start);
    cr_assert_not(it.router.choose(it.directory, question, start).has_value());
}

Test(fleet_router, resting_server_gets_nothing_until_its_rest_is_over) {
    router_fixture it(2);
    it.router.on_rest("s0", 2, start);
    it.router.on_rest("s0", 0.5, start + 100 * ms); // a shorter one does not end the first
    for (int i = 0; i < 20; ++i) {
        auto question = router_fixture::prompt("t" + std::to_string(i));
        cr_assert_eq(it.router.choose(it.directory, question, start + 1999 * ms)->server, "s1");
    }
    std::set<std::string> used;
    for (int i = 0; i < 20; ++i) {
        auto question = router_fixture::prompt("t" + std::to_string(i));
        used.insert(it.router.choose(it.directory, question, start + 2000 * ms)->server);
    }
    cr_assert_eq(used.size(), 2U);
}

Test(fleet_router, pool_that_rests_whole_gets_nothing_and_tells_when_its_first_server_returns) {
    router_fixture it(2);
    auto question = router_fixture::prompt("t");
    cr_assert_not(it.router.rest_left(it.directory, "p", start).has_value());
    it.router.on_rest("s0", 3, start);
    it.router.on_rest("s1", 1, start);
    cr_assert_not(it.router.choose(it.directory, question, start + 400 * ms).has_value());
    cr_assert(*it.router.rest_left(it.directory, "p", start + 400 * ms) == 600 * ms);
    cr_assert(it.router.choose(it.directory, question, start + 1000 * ms).has_value());
}

Test(fleet_router, endless_rest_is_bounded_and_ends_with_the_servers_restart) {
    router_fixture it(1);
    auto question = router_fixture::prompt("t");
    it.router.on_rest("s0", 1e300, start);
    cr_assert_not(it.router.choose(it.directory, question, start + std::chrono::minutes(59)));
    cr_assert(it.router.choose(it.directory, question, start + std::chrono::hours(1)));
    it.router.on_rest("s0", 3, start + std::chrono::hours(1));
    it.router.forget("s0");
    cr_assert(it.router.choose(it.directory, question, start + std::chrono::hours(1)));
}

Test(fleet_router, server_that_registered_with_its_new_weights_gets_work_again) {
    router_fixture it;
    auto question = router_fixture::prompt("t");
    auto home = it.router.choose(it.directory, question, start)->server;
    it.router.on_change_announced(home, "m", 2, start);
    cr_assert(it.router.changing(it.directory, home, start));
    auto entry = *it.directory.find(home);
    entry.models["m"] = 2;
    it.directory.put(entry, start);
    cr_assert_not(it.router.changing(it.directory, home, start));
    cr_assert_eq(it.router.choose(it.directory, question, start)->server, home);
}

Test(fleet_router, server_that_did_not_take_its_order_gets_work_again) {
    router_fixture it;
    auto question = router_fixture::prompt("t");
    auto home = it.router.choose(it.directory, question, start)->server;
    it.router.on_change_announced(home, "m", 2, start);
    it.router.on_change_ended(home);
    cr_assert_eq(it.router.choose(it.directory, question, start)->server, home);
}
