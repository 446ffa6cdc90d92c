// Guards against parts that crash servers after their answers began, which are not told from the
// sound parts of answers that the same crashes broke off: model tests in virtual time.
#include <criterion/criterion.h>

#include "test/part_world.h"

using namespace azureyoke;

namespace {

constexpr auto ms = part_world::ms;
constexpr auto second = part_world::second;
constexpr std::size_t allowed_late_sends = 3;
/// Sound requests go on at least half as often as without crashes.
constexpr double least_sound_share = 0.5;

std::string describe(const part_world::options& it) {
    return "crash after " + std::to_string(it.crash_after / ms) + " ms, " +
           std::to_string(it.deadly_per_second) + " a second beside " +
           std::to_string(it.sound_per_second) + ", answers of " +
           std::to_string(it.longest_answer / ms) + " ms, " + std::to_string(it.deadly.size()) +
           " parts, " + std::to_string(it.shared_parts) + " first parts, " +
           std::to_string(it.instances) + " instances, seed " + std::to_string(it.seed);
}

void expect_bounds(part_world::options options, part_world::duration length = 60 * second) {
    options.servers = std::max(options.servers, options.instances);
    options.attempts = 2;
    options.slowest = 2;
    part_world world(options);
    auto what = describe(options);
    world.run(length / 2);
    cr_assert_geq(world.sound_share(), least_sound_share, "%s: %.3f of sound requests sent",
                  what.c_str(), world.sound_share());
    world.reset_counts();
    world.run(length / 2);
    for (const auto& part : options.deadly)
        cr_assert_leq(world.late_sends_of(part), allowed_late_sends,
                      "%s: %zu late sends of %s, %zu crashes", what.c_str(),
                      world.late_sends_of(part), part.c_str(), world.deadly_crashes());
    cr_assert_geq(world.sound_share(), 0.95, "%s: %.3f of sound requests sent later", what.c_str(),
                  world.sound_share());
    cr_assert_geq(world.complete_share(), 0.95, "%s: %.3f of sound answers complete later",
                  what.c_str(), world.complete_share());
}

/// From before the beginning of the answer to 2 s after it.
constexpr std::array moments = {-ms, 10 * ms, 50 * ms, 120 * ms, 300 * ms, 900 * ms, 2000 * ms};

void expect_bounds_at_all_moments(const part_world::options& options) {
    for (auto moment : moments) {
        for (double rate : {0.1, 0.2, 1.0}) {
            for (unsigned seed = 1; seed <= 3; ++seed) {
                auto chosen = options;
                chosen.crash_after = moment;
                chosen.deadly_per_second = rate;
                chosen.seed = seed;
                expect_bounds(chosen);
            }
        }
    }
}

} // namespace

Test(part_moment_model, parts_cease_beside_short_answers, .timeout = 120) {
    expect_bounds_at_all_moments({});
}

Test(part_moment_model, parts_cease_beside_answers_of_half_a_second, .timeout = 120) {
    expect_bounds_at_all_moments({.longest_answer = 600 * ms});
}

Test(part_moment_model, parts_cease_beside_long_answers, .timeout = 120) {
    expect_bounds_at_all_moments({.longest_answer = 8 * second});
}

Test(part_moment_model, a_first_part_that_all_share_stays_in_use, .timeout = 120) {
    expect_bounds_at_all_moments({.longest_answer = 4 * second, .shared_parts = 1});
}

Test(part_moment_model, two_parts_cease, .timeout = 120) {
    expect_bounds_at_all_moments({.deadly = {"deadly1", "deadly2"}, .longest_answer = 4 * second});
}

Test(part_moment_model, frequent_parts_cease, .timeout = 120) {
    for (auto moment : moments) {
        for (double rate : {6.0, 30.0}) {
            for (unsigned seed = 1; seed <= 3; ++seed)
                expect_bounds({.servers = 40,
                               .sound_per_second = 100,
                               .deadly_per_second = rate,
                               .seed = seed,
                               .longest_answer = 2 * second,
                               .crash_after = moment});
        }
    }
}

Test(part_moment_model, parts_cease_at_any_number_of_instances, .timeout = 240) {
    for (std::size_t instances : {1, 3, 64, 640}) {
        for (auto moment : moments)
            expect_bounds({.instances = instances,
                           .loss = 0.05,
                           .seed = 1,
                           .longest_answer = 2 * second,
                           .crash_after = moment});
    }
}
