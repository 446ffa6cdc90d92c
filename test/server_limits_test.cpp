// Guards against a server's limit that is lost or kept because answers overtake each other.
#include "azureyoke/src/coordination/server_limits.h"

#include <limits>

#include <criterion/criterion.h>

using namespace azureyoke::coordination;

namespace {

using change = server_limits::change;

constexpr instant start{std::chrono::seconds(100)};
constexpr duration ms = std::chrono::milliseconds(1);
constexpr double unlimited = std::numeric_limits<double>::infinity();
constexpr std::int64_t run = 1'700'000'000'000;

struct limits_fixture {
    server_limits limits{{}};

    change answer(double per_second, duration sent, duration received,
                  std::int64_t started_ms = run) {
        return limits.on_answer("s", started_ms, per_second, start + sent, start + received);
    }
};

} // namespace

Test(server_limits, server_without_a_limit_is_not_remembered) {
    limits_fixture it;
    cr_assert(it.answer(unlimited, 0 * ms, 10 * ms) == change::none);
    cr_assert(it.limits.find("s") == nullptr);
}

Test(server_limits, first_answer_that_names_a_limit_sets_it) {
    limits_fixture it;
    cr_assert(it.answer(1.8, 0 * ms, 10 * ms) == change::named);
    cr_assert_eq(*it.limits.limit_of("s"), 1.8);
    cr_assert(it.answer(1.5, 0 * ms, 20 * ms) == change::none);
    cr_assert_eq(*it.limits.limit_of("s"), 1.5);
}

Test(server_limits, late_answer_to_an_earlier_request_does_not_end_or_raise_the_limit) {
    limits_fixture it;
    (void)it.answer(1.8, 50 * ms, 60 * ms);
    cr_assert(it.answer(unlimited, 0 * ms, 900 * ms) == change::none);
    (void)it.answer(9, 0 * ms, 950 * ms);
    cr_assert_eq(*it.limits.limit_of("s"), 1.8);
}

Test(server_limits, answer_to_a_later_request_raises_or_ends_the_limit) {
    limits_fixture it;
    (void)it.answer(1.8, 0 * ms, 10 * ms);
    (void)it.answer(3, 20 * ms, 30 * ms);
    cr_assert_eq(*it.limits.limit_of("s"), 3.0);
    cr_assert(it.answer(unlimited, 40 * ms, 50 * ms) == change::ended);
    cr_assert_not(it.limits.limit_of("s").has_value());
}

Test(server_limits, limit_of_zero_still_allows_the_requests_whose_answers_can_end_it) {
    limits_fixture it;
    (void)it.answer(0, 0 * ms, 10 * ms);
    cr_assert_float_eq(*it.limits.limit_of("s"), 0.1, 1e-9);
}

Test(server_limits, limit_ends_with_the_run_of_the_server_that_named_it) {
    limits_fixture it;
    (void)it.answer(1.8, 0 * ms, 10 * ms);
    cr_assert(it.answer(unlimited, 5 * ms, 20 * ms, run + 1) == change::ended);
    cr_assert(it.answer(1.8, 0 * ms, 30 * ms) == change::none, "an answer of the earlier run");
    cr_assert_not(it.limits.limit_of("s").has_value());
}

Test(server_limits, statement_of_a_peer_applies_when_it_is_newer) {
    limits_fixture it;
    (void)it.answer(1.8, 0 * ms, 10 * ms);
    cr_assert(it.limits.merge("s", {run, 0, start + 5 * ms}) == change::none);
    cr_assert(it.limits.merge("s", {run - 1, 0, start + 20 * ms}) == change::none);
    cr_assert(it.limits.merge("s", {run, 0, start + 20 * ms}) == change::ended);
    cr_assert(it.limits.merge("s", {run, 1.8, start + 20 * ms}) == change::none);
    cr_assert(it.limits.merge("s", {run, 2, start + 21 * ms}) == change::named);
    cr_assert(it.limits.merge("t", {run, 0, start + 21 * ms}) == change::none);
    cr_assert(it.limits.find("t") == nullptr);
}

Test(server_limits, statement_that_is_not_repeated_is_dropped_and_its_server_listed) {
    limits_fixture it;
    (void)it.answer(1.8, 0 * ms, 10 * ms);
    (void)it.limits.on_answer("t", run, 1.8, start, start + 10 * ms);
    (void)it.limits.on_answer("t", run, unlimited, start + 20 * ms, start + 30 * ms);
    cr_assert(it.limits.drop_old(start + std::chrono::minutes(9)).empty());
    cr_assert(it.limits.find("s") != nullptr);
    auto dropped = it.limits.drop_old(start + std::chrono::minutes(11));
    cr_assert_eq(dropped.size(), 1U, "the limit of \"t\" had ended before");
    cr_assert_eq(dropped.front(), "s");
    cr_assert(it.limits.find("s") == nullptr && it.limits.find("t") == nullptr);
}
