// Model check: many instances before servers that limit their request rate, with lost messages,
// restarts, freezes and network partitions. Guards against instances that together exceed a limit,
// leave much of it unused, or keep to a limit that has ended.
#include "test/permit_world.h"

#include <criterion/criterion.h>

using namespace azureyoke;

Test(permit_model, limits_are_kept_and_used_at_any_number_of_instances) {
    for (int instances : {1, 2, 8, 40, 300}) {
        for (double rate : {0.5, 1.8, 30.0}) {
            for (int servers : {1, 12}) {
                if (instances == 300 && rate * servers > 30)
                    continue; // the test would take long
                world_options options;
                options.instances = instances;
                options.servers = servers;
                options.demand = 4 * rate * servers + 10;
                options.rate = [rate](duration) { return rate; };
                permit_world world(options);
                world.run(24 * second);
                auto most = world.most_in_window(notice);
                cr_assert_leq(most, allowed(rate), "%d instances, %d servers at %.1f: %.0f in 4 s",
                              instances, servers, rate, most);
                auto used = world.least_used(8 * second, 24 * second);
                cr_assert_geq(used, 0.8 * rate, "%d instances, %d servers at %.1f: %.2f a second",
                              instances, servers, rate, used);
            }
        }
    }
}

Test(permit_model, demand_below_the_limit_is_served_however_thinly_it_is_spread) {
    for (int instances : {1, 8, 100}) {
        world_options options;
        options.instances = instances;
        options.demand = 8;
        options.rate = [](duration) { return 10.0; };
        permit_world world(options);
        world.run(30 * second);
        cr_assert_leq(world.refused_part(notice), 0.05, "%d instances refused %.3f", instances,
                      world.refused_part(notice));
    }
}

Test(permit_model, requests_for_permits_do_not_grow_with_the_number_of_instances) {
    world_options options;
    options.instances = 300;
    options.demand = 600;
    permit_world world(options);
    world.run(20 * second);
    // 300 instances in turn, each after the longest wait at the latest.
    cr_assert_leq(world.messages_per_second(), 1.5 * 300 / 5);
}

Test(permit_model, lost_messages_waste_few_permits) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
        world_options options;
        options.servers = 4;
        options.loss = 0.05;
        options.seed = seed;
        permit_world world(options);
        world.run(30 * second);
        cr_assert_leq(world.most_in_window(notice), allowed(1.8));
        cr_assert_geq(world.least_used(8 * second, 30 * second), 0.75 * 1.8, "seed %u: %.2f", seed,
                      world.least_used(8 * second, 30 * second));
    }
}

Test(permit_model, limit_that_falls_is_kept_from_the_next_answers_on) {
    world_options options;
    options.demand = 200;
    options.rate = [](duration at) { return at < 10 * second ? 20.0 : 2.0; };
    permit_world world(options);
    world.run(30 * second);
    cr_assert_leq(world.most_in_window(notice), allowed(20));
    cr_assert_leq(world.most_in_window(10 * second + notice), allowed(2));
    cr_assert_geq(world.least_used(15 * second, 30 * second), 0.8 * 2);
}

Test(permit_model, limit_that_rises_is_used_by_all_instances_soon) {
    world_options options;
    options.demand = 200;
    options.rate = [](duration at) { return at < 10 * second ? 1.0 : 40.0; };
    permit_world world(options);
    world.run(20 * second);
    cr_assert_leq(world.most_in_window(notice), allowed(40));
    cr_assert_geq(world.least_used(12 * second, 20 * second), 0.8 * 40);
}

Test(permit_model, nothing_is_refused_soon_after_a_limit_has_ended) {
    for (int instances : {1, 8, 100}) {
        world_options options;
        options.instances = instances;
        options.servers = 3;
        options.rate = [](duration at) { return at < 10 * second ? 1.8 : 0.0; };
        permit_world world(options);
        world.run(20 * second);
        cr_assert_eq(world.refused_part(12 * second), 0, "%d instances", instances);
    }
}

Test(permit_model, limits_that_come_and_go_each_second_do_no_harm) {
    world_options options;
    options.servers = 3;
    options.rate = [](duration at) { return at % (2 * second) < second ? 5.0 : 0.0; };
    permit_world world(options);
    world.run(20 * second);
    cr_assert_geq(world.least_used(4 * second, 20 * second), 5);
}

Test(permit_model, overlapping_restarts_freezes_and_partitions_keep_the_limit) {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        constexpr double rate = 3;
        world_options options;
        options.servers = 4;
        options.loss = 0.02;
        options.seed = seed;
        options.rate = [](duration) { return rate; };
        permit_world world(options);
        world.run(4 * second);
        for (int n = 0; n < 24; ++n) {
            auto i = world.random_number(8);
            auto time = second * static_cast<std::int64_t>(1 + world.random_number(6));
            switch (world.random_number(4)) {
            case 0:
                world.restart(i);
                break;
            case 1:
                world.freeze(i, time);
                break;
            case 2: {
                std::vector<bool> side(8);
                for (auto&& member : side)
                    member = world.random_number(2) == 0;
                world.partition(side, time);
                break;
            }
            default:
                break;
            }
            world.run(500 * ms);
        }
        auto most = world.most_in_window(notice);
        cr_assert_leq(most, allowed(rate), "seed %u: %.0f in 4 s, %.0f allowed", seed, most,
                      allowed(rate));
        // Once all instances see each other again, the whole limit is used.
        world.run(12 * second);
        cr_assert_geq(world.least_used(24 * second, 28 * second), 0.7 * rate, "seed %u", seed);
    }
}
