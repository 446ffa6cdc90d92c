// Guards against requests that are passed on and lost without an answer when the instance ends.
#include "forward_fixture.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using state::execution_rule;

namespace {

struct ending_fixture : forward_fixture {
    explicit ending_fixture(execution_rule rule)
        : forward_fixture(forward_fixture::route(rule, 1)) {}

    /// \returns the answer to a request during which the instance ends, once `condition` holds.
    transport::http_response answer_at_end(const std::function<bool()>& condition) {
        std::optional<transport::http_response> received;
        transport::fetch(
            loop, callers, at, {"POST", "/r/x", {{"id", "q1"}}, "body"}, std::chrono::seconds(20),
            [&](auto answer) { received = answer.value_or(transport::http_response()); });
        while (!condition())
            loop.run_once(true);
        front->end_answers();
        while (!received)
            loop.run_once(true);
        return *received;
    }
};

} // namespace

Test(forward_ending, request_that_was_passed_on_is_answered_without_a_promise) {
    for (auto rule : {execution_rule::once, execution_rule::repeatable, execution_rule::stream}) {
        ending_fixture it(rule);
        auto answer = it.answer_at_end([&] { return it.requests_received() == 1; });
        cr_assert_eq(answer.status, 502, "%d", answer.status);
    }
}

Test(forward_ending, request_that_was_not_passed_on_is_refused_as_not_run) {
    ending_fixture it(execution_rule::once);
    it.guard.assessment = {coordination::part_assessment::verdict::trial, "p/x", {}};
    it.guard.answers_trials = false;
    auto answer = it.answer_at_end([&] { return !it.guard.asked.empty(); });
    cr_assert_eq(answer.status, 503, "%d", answer.status);
    cr_assert_eq(it.requests_received(), 0U);
}

Test(forward_ending, answer_that_has_begun_does_not_look_complete) {
    ending_fixture it(execution_rule::stream);
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "11\r\nid: 1\ndata: one\n\n\r\n"});
    auto answer = it.answer_at_end([&] { return it.guard.progress.size() == 1; });
    cr_assert_eq(answer.status, 0, "%d", answer.status);
}
