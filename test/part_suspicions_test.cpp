// Guards against prompt parts that crash one backend server after the other, and against sound
// parts that are taken for those.
#include "azureyoke/src/coordination/part_suspicions.h"

#include <criterion/criterion.h>

#include "test/property.h"

using namespace azureyoke;
using coordination::answer_progress;
using coordination::duration;
using coordination::instant;
using coordination::part_suspicions;
using verdict = coordination::part_assessment::verdict;

namespace {

constexpr duration ms = std::chrono::milliseconds(1);
constexpr duration second = std::chrono::seconds(1);
constexpr instant start{std::chrono::hours(1)};
constexpr auto complete = answer_progress::complete();

using parts = std::vector<std::string>;

const parts deadly_prompt = {"first", "second", "deadly"};

struct suspicions_fixture {
    part_suspicions suspicions{{}};

    void crash(const parts& prompt, std::uint64_t id, instant at, answer_progress reached = {}) {
        suspicions.on_crash(prompt, {id, at, reached});
    }

    verdict of(const parts& prompt, instant at) const {
        return suspicions.assess(prompt, at).result;
    }

    /// Two crashes, and a third in the trial of `deadly`.
    void block_deadly() {
        crash(deadly_prompt, 1, start);
        crash(deadly_prompt, 2, start + second);
        crash(deadly_prompt, 3, start + 2 * second);
        suspicions.on_trial_failed("deadly", {3, start + 2 * second});
    }
};

} // namespace

Test(part_suspicions, one_crash_suspects_nothing) {
    suspicions_fixture it;
    it.crash(deadly_prompt, 1, start);
    cr_assert_eq(it.of(deadly_prompt, start + second), verdict::sound);
}

Test(part_suspicions, two_crashes_make_a_request_wait_for_a_trial_of_its_last_shared_part) {
    suspicions_fixture it;
    it.crash(deadly_prompt, 1, start);
    it.crash(deadly_prompt, 2, start + second);
    auto assessed = it.suspicions.assess(deadly_prompt, start + second);
    cr_assert_eq(assessed.result, verdict::trial);
    cr_assert_eq(assessed.part, "deadly");
}

Test(part_suspicions, part_with_most_crashes_is_tried_first) {
    suspicions_fixture it;
    it.crash({"deadly", "a"}, 1, start);
    it.crash({"deadly", "b"}, 2, start + second);
    it.crash({"deadly", "a"}, 3, start + 2 * second);
    cr_assert_eq(it.suspicions.assess({"deadly", "a"}, start + 3 * second).part, "deadly");
}

Test(part_suspicions, crashes_at_the_same_moment_count_once) {
    suspicions_fixture it;
    it.crash({"hot"}, 1, start);
    it.crash({"hot"}, 2, start + 50 * ms);
    it.crash({"hot"}, 3, start + 90 * ms);
    cr_assert_eq(it.of({"hot"}, start + second), verdict::sound);
}

Test(part_suspicions, crash_that_two_instances_report_counts_once) {
    suspicions_fixture it;
    it.crash({"x"}, 1, start);
    it.suspicions.merge("x", {{{1, start + 150 * ms}}, {}, 0, {}}, start + 200 * ms);
    cr_assert_eq(it.of({"x"}, start + second), verdict::sound);
    it.suspicions.merge("x", {{{2, start + 300 * ms}}, {}, 0, {}}, start + 400 * ms);
    cr_assert_eq(it.of({"x"}, start + second), verdict::trial);
}

Test(part_suspicions, answer_refutes_earlier_crashes_but_no_later_ones) {
    suspicions_fixture it;
    it.crash({"x"}, 1, start);
    it.suspicions.on_answer({"x"}, complete, start + second);
    it.crash({"x"}, 2, start + 2 * second);
    cr_assert_eq(it.of({"x"}, start + 3 * second), verdict::sound);
    it.crash({"x"}, 3, start + 3 * second);
    cr_assert_eq(it.of({"x"}, start + 3 * second), verdict::trial);
}

// Guards against the first event of an answer that clears a part which crashes servers later.
Test(part_suspicions, answer_that_got_no_further_than_the_lost_ones_refutes_nothing) {
    suspicions_fixture it;
    auto first_event = answer_progress::begun(10 * ms);
    it.crash({"x"}, 1, start, first_event);
    it.suspicions.on_answer({"x"}, answer_progress::begun({}), start + second);
    it.suspicions.on_answer({"x"}, answer_progress::begun(150 * ms), start + second);
    it.crash({"x"}, 2, start + 2 * second, first_event);
    cr_assert_eq(it.of({"x"}, start + 2 * second), verdict::trial);
    it.suspicions.on_answer({"x"}, answer_progress::begun(250 * ms), start + 3 * second);
    cr_assert_eq(it.of({"x"}, start + 3 * second), verdict::sound,
                 "an answer that got clearly further is no evidence");
}

Test(part_suspicions, answer_refutes_the_crashes_that_it_got_beyond_and_no_others) {
    suspicions_fixture it;
    it.crash({"x"}, 1, start);
    it.crash({"x"}, 2, start + second, answer_progress::begun(second));
    it.crash({"x"}, 3, start + 2 * second, answer_progress::begun(second));
    it.suspicions.on_answer({"x"}, answer_progress::begun(400 * ms), start + 3 * second);
    cr_assert_eq(it.suspicions.evidence("x").crashes.size(), 2U);
    cr_assert_eq(it.of({"x"}, start + 3 * second), verdict::trial);
}

Test(part_suspicions, failed_trial_is_refuted_by_an_answer_that_got_beyond_it_only) {
    suspicions_fixture it;
    auto late = answer_progress::begun(2 * second);
    for (std::uint64_t id : {1, 2, 3})
        it.crash({"x"}, id, start + static_cast<int>(id) * second, late);
    it.suspicions.on_trial_failed("x", {3, start + 3 * second, late});
    it.suspicions.on_answer({"x"}, answer_progress::begun(second), start + 4 * second);
    cr_assert_eq(it.of({"x"}, start + 4 * second), verdict::blocked);
    it.suspicions.on_answer({"x"}, complete, start + 5 * second);
    cr_assert_eq(it.of({"x"}, start + 5 * second), verdict::sound);
}

Test(part_suspicions, of_several_requests_lost_in_one_crash_the_furthest_counts) {
    suspicions_fixture it;
    for (std::uint64_t id : {1, 2}) {
        auto at = start + static_cast<int>(id) * second;
        it.crash({"x"}, id, at, answer_progress::begun(second));
        it.crash({"x"}, id, at, answer_progress());
    }
    it.suspicions.on_answer({"x"}, answer_progress::begun(400 * ms), start + 3 * second);
    cr_assert_eq(it.of({"x"}, start + 3 * second), verdict::trial);
}

Test(part_suspicions, answer_that_ran_for_long_is_not_charged) {
    suspicions_fixture it;
    for (std::uint64_t id : {1, 2})
        it.crash({"x"}, id, start + static_cast<int>(id) * second,
                 answer_progress::begun(std::chrono::minutes(1)));
    cr_assert_eq(it.of({"x"}, start + 3 * second), verdict::sound);
}

Test(part_suspicions, trial_goes_on_while_a_part_of_the_charges_is_refuted) {
    suspicions_fixture it;
    it.crash({"x"}, 1, start);
    it.crash({"x"}, 2, start + second, answer_progress::begun(second));
    it.crash({"x"}, 3, start + 2 * second, answer_progress::begun(second));
    cr_assert(it.suspicions.try_start_trial("x", start + 3 * second));
    it.suspicions.on_answer({"x"}, answer_progress::begun(400 * ms), start + 3 * second);
    cr_assert_not(it.suspicions.try_start_trial("x", start + 3 * second + 100 * ms));
}

Test(part_suspicions, one_trial_runs_at_a_time) {
    suspicions_fixture it;
    it.crash({"x"}, 1, start);
    it.crash({"x"}, 2, start + second);
    cr_assert(it.suspicions.try_start_trial("x", start + second));
    cr_assert_not(it.suspicions.try_start_trial("x", start + 2 * second));
    cr_assert_eq(it.of({"x"}, start + 2 * second), verdict::blocked);
    cr_assert(it.suspicions.try_start_trial("x", start + 7 * second),
              "a trial without a result keeps others back for ever");
}

Test(part_suspicions, failed_trials_block_for_times_that_multiply) {
    suspicions_fixture it;
    it.block_deadly();
    auto failed = start + 2 * second;
    cr_assert_eq(it.of(deadly_prompt, failed + 4 * second), verdict::blocked);
    cr_assert_eq(it.of(deadly_prompt, failed + 5 * second), verdict::trial);
    it.crash(deadly_prompt, 4, failed + 5 * second);
    it.suspicions.on_trial_failed("deadly", {4, failed + 5 * second});
    cr_assert_eq(it.of(deadly_prompt, failed + 19 * second), verdict::blocked);
    cr_assert_eq(it.of(deadly_prompt, failed + 20 * second), verdict::trial);
}

Test(part_suspicions, failed_trial_explains_the_crashes_of_the_other_parts) {
    suspicions_fixture it;
    it.block_deadly();
    cr_assert_eq(it.of({"first", "second"}, start + 3 * second), verdict::sound);
    it.suspicions.merge("second", {{{1, start}, {2, start + second}}, {}, 0, {}},
                        start + 3 * second);
    cr_assert_eq(it.of({"first", "second"}, start + 3 * second), verdict::sound,
                 "a peer that does not know of the trial brings the charges back");
}

// Guards against a sound part whose trial met a crash by chance, and takes over the crashes of the
// part that causes them.
Test(part_suspicions, part_with_fewer_crashes_explains_none_of_one_with_more) {
    suspicions_fixture it;
    it.crash({"x", "deadly"}, 1, start);
    it.crash({"x", "deadly"}, 2, start + second);
    it.crash({"deadly"}, 3, start + 2 * second);
    it.suspicions.on_trial_failed("x", {2, start + second});
    cr_assert_eq(it.of({"deadly"}, start + 3 * second), verdict::trial);
}

Test(part_suspicions, sound_part_whose_trial_met_a_crash_of_another_part_may_be_tried_at_once) {
    suspicions_fixture it;
    it.crash({"x"}, 1, start);
    it.crash({"x"}, 2, start + second);
    it.crash({"x"}, 3, start + 2 * second);
    it.suspicions.on_trial_failed("x", {3, start + 2 * second});
    cr_assert_eq(it.of({"x"}, start + 3 * second), verdict::blocked);
    it.crash({"deadly"}, 4, start + 2500 * ms);
    it.suspicions.merge("deadly", {{{3, start + 2 * second}}, {}, 0, {}}, start + 3 * second);
    it.suspicions.on_trial_failed("deadly", {4, start + 3 * second});
    cr_assert_eq(it.of({"x"}, start + 3 * second), verdict::trial);
}

Test(part_suspicions, answer_clears_a_blocked_part_at_once) {
    suspicions_fixture it;
    it.block_deadly();
    it.suspicions.on_answer(deadly_prompt, complete, start + 8 * second);
    cr_assert_eq(it.of(deadly_prompt, start + 8 * second), verdict::sound);
    cr_assert(it.suspicions.suspected().empty());
}

Test(part_suspicions, old_report_of_a_peer_does_not_revive_a_cleared_part) {
    suspicions_fixture it;
    it.block_deadly();
    auto before = it.suspicions.evidence("deadly");
    (void)it.suspicions.take_changed(10);
    it.suspicions.on_answer(deadly_prompt, complete, start + 8 * second);
    it.suspicions.merge("deadly", before, start + 9 * second);
    cr_assert_eq(it.of(deadly_prompt, start + 9 * second), verdict::sound);
}

Test(part_suspicions, answers_to_parts_without_crashes_cost_no_memory) {
    suspicions_fixture it;
    for (int i = 0; i < 1000; ++i)
        it.suspicions.on_answer({"p" + std::to_string(i)}, complete, start + i * ms);
    cr_assert(it.suspicions.empty());
}

Test(part_suspicions, flood_of_crashes_does_not_push_out_a_blocked_part) {
    suspicions_fixture it;
    it.block_deadly();
    for (int i = 0; i < 5000; ++i)
        it.crash({"p" + std::to_string(i)}, 100 + static_cast<std::uint64_t>(i),
                 start + 3 * second + i * ms);
    cr_assert_eq(it.of(deadly_prompt, start + 4 * second), verdict::blocked);
}

Test(part_suspicions, crashes_are_forgotten_in_the_end) {
    suspicions_fixture it;
    it.crash({"x"}, 1, start);
    it.suspicions.expire(start + std::chrono::minutes(4));
    cr_assert_not(it.suspicions.empty());
    it.suspicions.expire(start + std::chrono::minutes(5));
    cr_assert(it.suspicions.empty());
}

// The order in which evidence arrives must not matter, nor whether it comes once or more often.
Test(part_suspicions, instances_that_exchange_all_they_know_agree) {
    check_property("agreement", [](const std::vector<std::uint8_t>& script) {
        part_suspicions a{{}};
        part_suspicions b{{}};
        auto now = start;
        std::uint64_t id = 0;
        for (auto it : script) {
            now += 137 * ms;
            auto& one = it % 2 == 0 ? a : b;
            parts prompt = {it % 3 == 0 ? "p" : "q", "r"};
            auto reached = answer_progress::at_step(it / 8U % answer_progress::steps);
            if (it % 8 < 4)
                one.on_crash(prompt, {++id, now, reached});
            else if (it % 8 < 5)
                one.on_crash(prompt, {id, now, reached});
            else if (it % 8 < 7)
                one.on_answer(prompt, reached, now);
            else {
                one.on_crash({"p"}, {++id, now, reached});
                one.on_trial_failed("p", {id, now, reached});
            }
        }
        for (int round = 0; round < 3; ++round) {
            for (auto [from, to] : {std::pair(&a, &b), std::pair(&b, &a)}) {
                (void)from->take_changed(100);
                for (const auto& part : from->active(100))
                    to->merge(part, from->evidence(part), now);
            }
        }
        for (const char* part : {"p", "q", "r"}) {
            RC_ASSERT(a.is_suspected(part) == b.is_suspected(part));
            RC_ASSERT(a.next_trial(part, now) == b.next_trial(part, now));
        }
    });
}

// Guards against a request that comes again all day and crashes a server at the end of each block.
Test(part_suspicions, request_that_comes_again_all_day_is_tried_three_times_after_its_third_crash) {
    suspicions_fixture it;
    const parts request = {"request/again"};
    std::size_t crashes = 0;
    for (auto now = start; now < start + std::chrono::hours(24); now += 5 * second) {
        auto assessed = it.suspicions.assess(request, now);
        if (assessed.result == verdict::blocked)
            continue;
        bool trial = assessed.result == verdict::trial;
        if (trial && !it.suspicions.try_start_trial(assessed.part, now))
            continue;
        it.crash(request, ++crashes, now);
        if (trial)
            it.suspicions.on_trial_failed(assessed.part, {crashes, now});
        it.suspicions.expire(now);
    }
    constexpr std::size_t allowed = 3 + 3;
    cr_assert_leq(crashes, allowed, "%zu crashes", crashes);
}

Test(part_suspicions, request_is_tried_before_the_parts_that_it_shares) {
    suspicions_fixture it;
    const parts request = {"first", "second", "request/again"};
    it.crash(request, 1, start);
    it.crash(request, 2, start + second);
    cr_assert_eq(it.suspicions.assess(request, start + second).part, "request/again");
    it.crash(request, 3, start + 2 * second);
    it.suspicions.on_trial_failed("request/again", {3, start + 2 * second});
    cr_assert_eq(it.of({"first", "second", "request/other"}, start + 3 * second), verdict::sound);
}
