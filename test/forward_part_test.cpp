// Guards against requests that are sent although a part of their prompt crashes backend servers,
// and against requests that crash one server after the other by themselves.
#include "forward_fixture.h"

#include <criterion/criterion.h>

#include "azureyoke/src/app/forward_rules.h"

using namespace azureyoke;
using coordination::answer_progress;
using state::execution_rule;
using verdict = coordination::part_assessment::verdict;

namespace {

const std::string good = "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nContent-Length: 4\r\n\r\ndone";
const std::string begun_stream =
    "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "11\r\nid: 1\ndata: one\n\n\r\n";
const transport::http_fields with_part = {{"id", "q1"}, {"part", "x"}};
/// Of a request with the fields `with_part`.
const std::vector<std::string> named_parts = {
    "p/x", app::name_of_request({"POST", "/r/x", {}, "body"}, "h", "")};

struct part_fixture : forward_fixture {
    explicit part_fixture(int attempts = 3)
        : forward_fixture(forward_fixture::route(execution_rule::repeatable, attempts)) {}
};

} // namespace

Test(forward_part, request_with_a_blocked_part_is_refused_at_once_and_not_sent) {
    part_fixture it;
    it.guard.assessment = {verdict::blocked, "p/x", it.loop.now() + std::chrono::seconds(60)};
    auto answer = it.fetch_answer(with_part);
    cr_assert_eq(answer.status, 503);
    cr_assert(transport::find_field(answer.fields, "Retry-After").has_value());
    cr_assert_eq(it.requests_received(), 0U);
}

Test(forward_part, granted_trial_is_sent_and_its_answer_is_told) {
    part_fixture it;
    it.guard.assessment = {verdict::trial, "p/x", {}};
    it.guard.grants_trials = true;
    it.script({good});
    cr_assert_eq(it.fetch_answer(with_part).status, 200);
    cr_assert_eq(it.guard.asked.size(), 1U);
    cr_assert_eq(it.guard.answered.size(), 1U);
    cr_assert(it.guard.answered.front() == named_parts);
    cr_assert(it.guard.progress.front() == answer_progress::complete());
}

Test(forward_part, denied_trial_is_refused_with_the_time_to_return) {
    part_fixture it;
    it.guard.assessment = {verdict::trial, "p/x", {}};
    it.guard.wait = std::chrono::milliseconds(400);
    auto answer = it.fetch_answer(with_part);
    cr_assert_eq(answer.status, 503);
    auto wait = std::stod(*transport::find_field(answer.fields, "Retry-After"));
    cr_assert(wait > 0.35 && wait <= 0.4, "%f", wait);
    cr_assert_eq(it.requests_received(), 0U);
}

Test(forward_part, failed_trial_is_told_with_its_part) {
    part_fixture it(1);
    it.guard.assessment = {verdict::trial, "p/x", {}};
    it.guard.grants_trials = true;
    it.script({"", true});
    cr_assert_eq(it.fetch_answer(with_part).status, 502);
    cr_assert_eq(it.guard.lost.size(), 1U);
    cr_assert_eq(it.guard.lost.front().trial_part, "p/x");
    cr_assert(it.guard.lost.front().parts == named_parts);
}

// Guards against a trial whose leave is used once more, for the send that takes its stream up.
Test(forward_part, answered_trial_is_over_when_its_stream_goes_on_elsewhere) {
    auto route = forward_fixture::route(execution_rule::stream, 3);
    route.resumable = true;
    forward_fixture it(route);
    it.guard.assessment = {verdict::trial, "p/x", {}};
    it.guard.grants_trials = true;
    it.script({begun_stream, true});
    it.script({"", true});
    (void)it.fetch_answer(with_part);
    cr_assert_geq(it.guard.asked.size(), 2U, "the second send needs leave of its own");
}

Test(forward_part, request_lost_in_two_crashes_is_not_sent_again) {
    part_fixture it;
    it.script({"", true});
    it.script({"", true});
    cr_assert_eq(it.fetch_answer(with_part).status, 502);
    cr_assert_eq(it.requests_received(), 2U);
}

Test(forward_part, request_lost_twice_by_living_servers_is_sent_again) {
    part_fixture it;
    it.guard.confirms_crashes = false;
    it.script({"", true});
    it.script({good});
    cr_assert_eq(it.fetch_answer(with_part).status, 200);
    cr_assert_eq(it.guard.lost.size(), 2U);
}

// Guards against parts that crash servers after their answers began, and are never suspected.
Test(forward_part, answer_that_broke_off_is_told_with_how_far_it_had_got) {
    part_fixture it(1);
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "4\r\npart\r\n",
               true});
    cr_assert_neq(it.fetch_answer(with_part).status, 200);
    cr_assert_eq(it.guard.answered.size(), 1U);
    cr_assert(it.guard.progress.front() == answer_progress::begun({}));
    cr_assert_eq(it.guard.lost.size(), 1U);
    cr_assert(it.guard.lost.front().parts == named_parts);
    cr_assert(it.guard.lost.front().reached == answer_progress::begun({}));
    cr_assert_not(it.guard.lost.front().may_be_complete);
}

// Guards against a trial that counts as answered once its first event came.
Test(forward_part, trial_that_crashes_its_server_after_the_first_event_is_told_with_its_part) {
    auto route = forward_fixture::route(execution_rule::stream, 1);
    forward_fixture it(route);
    it.guard.assessment = {verdict::trial, "p/x", {}};
    it.guard.grants_trials = true;
    it.script({begun_stream, true});
    (void)it.fetch_answer(with_part);
    cr_assert_eq(it.guard.lost.size(), 1U);
    cr_assert_eq(it.guard.lost.front().trial_part, "p/x");
}

// Guards against a crash that looks like the end of an answer without length and chunks.
Test(forward_part, answer_that_ends_with_its_connection_may_be_complete) {
    auto route = forward_fixture::route(execution_rule::stream, 1);
    forward_fixture it(route);
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\n\r\nid: 1\ndata: one\n\n", true});
    cr_assert_eq(it.fetch_answer(with_part).status, 200);
    cr_assert_eq(it.guard.lost.size(), 1U);
    cr_assert(it.guard.lost.front().may_be_complete);
    cr_assert_neq(it.guard.progress.back().step(), answer_progress::complete().step());
}

Test(forward_part, error_answer_clears_nothing) {
    part_fixture it(1);
    it.script({"HTTP/1.1 500 E\r\nid: ID\r\nstamp: 1\r\nContent-Length: 0\r\n\r\n"});
    cr_assert_eq(it.fetch_answer(with_part).status, 500);
    cr_assert(it.guard.answered.empty());
}
