// Guards against a fleet whose instances together go on with requests that crash servers: model
// tests of many instances in virtual time.
#include <criterion/criterion.h>

#include "test/part_world.h"

using namespace azureyoke;

namespace {

constexpr auto ms = part_world::ms;
constexpr auto second = part_world::second;
constexpr std::size_t allowed_late_sends = 3;
/// Sound requests go on at least half as often as without crashes.
constexpr double least_sound_share = 0.5;

void expect_bounds(const part_world& world, const char* what, unsigned seed) {
    cr_assert_leq(world.late_sends(), allowed_late_sends,
                  "%s, seed %u: %zu requests with the part sent later than 3 s after the fifth "
                  "crash, of %zu crashes",
                  what, seed, world.late_sends(), world.deadly_crashes());
    cr_assert_geq(world.sound_share(), least_sound_share, "%s, seed %u: %.3f of sound requests",
                  what, seed, world.sound_share());
}

} // namespace

Test(part_model, requests_with_a_deadly_part_cease_at_any_number_of_instances, .timeout = 60) {
    for (std::size_t instances : {1, 8, 64, 195, 640}) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            part_world world({.instances = instances, .servers = 12 + instances, .seed = seed});
            world.run(40 * second);
            expect_bounds(world, "calm", seed);
            cr_assert_geq(world.sound_share(), 0.95, "%zu instances: %.3f", instances,
                          world.sound_share());
        }
    }
}

Test(part_model, frequent_and_seldom_deadly_parts_cease_too, .timeout = 60) {
    for (double rate : {0.2, 6.0, 30.0}) {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            part_world world({.servers = 40, .deadly_per_second = rate, .seed = seed});
            world.run(60 * second);
            expect_bounds(world, "rate", seed);
        }
    }
}

// Each part has five crashes of its own, so two parts are allowed twice as many late requests.
Test(part_model, two_deadly_parts_cease_too, .timeout = 60) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        part_world world({.deadly_per_second = 2, .seed = seed, .deadly = {"deadly1", "deadly2"}});
        world.run(40 * second);
        cr_assert_leq(world.late_sends(), 2 * (allowed_late_sends + 2), "seed %u: %zu", seed,
                      world.late_sends());
        cr_assert_geq(world.sound_share(), least_sound_share);
    }
}

// Guards against a request that crashes servers and comes again, at any instance.
Test(part_model, a_request_that_comes_again_reaches_few_servers, .timeout = 120) {
    for (std::size_t instances : {1, 2, 8, 195, 640}) {
        for (double per_second : {0.05, 0.5, 4.0}) {
            for (unsigned seed = 1; seed <= 3; ++seed) {
                part_world world({.instances = instances,
                                  .servers = 12 + instances,
                                  .deadly_per_second = per_second,
                                  .loss = 0.05,
                                  .seed = seed,
                                  .deadly = {"request/again"},
                                  .repeated = true});
                world.run(instances > 100 ? 100 * second : 400 * second);
                expect_bounds(world, "a request that comes again", seed);
            }
        }
    }
}

Test(part_model, instances_that_restart_freeze_and_are_cut_off_keep_the_bounds, .timeout = 120) {
    for (unsigned seed = 1; seed <= 30; ++seed) {
        part_world world({.servers = 20, .deadly_per_second = 2, .loss = 0.1, .seed = seed});
        for (int i = 0; i < 80; ++i) {
            world.run(500 * ms);
            auto member = world.random_number(8);
            switch (world.random_number(6)) {
            case 0:
                world.restart(member);
                break;
            case 1:
                world.freeze(member, 2 * second);
                break;
            case 2:
                world.cut_off(member, 3 * second);
                break;
            case 3:
                world.crash_server(world.random_number(20));
                break;
            default:
                break;
            }
        }
        expect_bounds(world, "faults", seed);
    }
}

// Servers that crash for other reasons must not make sound requests stop.
Test(part_model, crashes_of_other_causes_keep_no_sound_request_back_for_long, .timeout = 60) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        part_world world(
            {.servers = 40, .sound_per_second = 80, .deadly_per_second = 0, .seed = seed});
        for (int i = 0; i < 60; ++i) {
            world.crash_server(world.random_number(40));
            world.run(500 * ms);
        }
        cr_assert_geq(world.sound_share(), 0.95, "seed %u: %.3f", seed, world.sound_share());
        world.run(20 * second);
        world.reset_counts();
        world.run(5 * second);
        cr_assert_geq(world.sound_share(), 0.99, "seed %u: %.3f", seed, world.sound_share());
    }
}

Test(part_model, part_that_crashes_servers_no_longer_is_used_again, .timeout = 60) {
    part_world world({.deadly_per_second = 4});
    world.run(5 * second);
    world.set_deadly({});
    world.run(30 * second);
    world.reset_counts();
    world.run(5 * second);
    cr_assert_geq(world.sound_share(), 0.99);
}

Test(part_model, messages_of_an_instance_do_not_grow_with_the_fleet, .timeout = 60) {
    for (std::size_t instances : {8, 64, 640}) {
        part_world world({.instances = instances, .servers = 12 + instances});
        world.run(5 * second);
        world.reset_counts();
        world.run(10 * second);
        auto per_second = world.messages() / 10.0 / static_cast<double>(instances);
        cr_assert_leq(per_second, 10, "%zu instances: %.2f messages a second each", instances,
                      per_second);
    }
}
