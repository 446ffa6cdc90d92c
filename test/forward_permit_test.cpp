// Guards against requests that are sent to a server that limits its rate without a permit, and
// against callers that wait for a server that cannot take their request.
#include "forward_fixture.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using state::execution_rule;

namespace {

const std::string good = "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nContent-Length: 4\r\n\r\ndone";

struct permit_fixture : forward_fixture {
    permit_fixture() : forward_fixture(forward_fixture::route(execution_rule::once, 1)) {
        permits.limited = {"a", "b"};
    }
};

} // namespace

Test(forward_permit, server_without_a_limit_is_sent_requests_without_permits) {
    permit_fixture it;
    it.permits.limited.clear();
    it.script({good});
    cr_assert_eq(it.fetch_answer().status, 200);
    cr_assert(it.permits.asked.empty());
}

Test(forward_permit, granted_request_is_sent_once) {
    permit_fixture it;
    it.permits.permits = 1;
    it.script({good});
    cr_assert_eq(it.fetch_answer().status, 200);
    cr_assert_eq(it.permits.asked.size(), 1U);
    cr_assert_eq(it.requests_received(), 1U);
}

Test(forward_permit, request_denied_at_one_server_goes_to_one_without_a_limit) {
    permit_fixture it;
    it.permits.limited = {&it.first_choice_of("q1") == &it.first ? "a" : "b"};
    auto& other = it.other_of("q1");
    it.script({good});
    cr_assert_eq(it.fetch_answer().status, 200);
    cr_assert_eq(other.requests.size(), 1U);
}

Test(forward_permit, request_denied_again_and_again_goes_to_a_server_without_a_limit) {
    permit_fixture it;
    it.permits.limited = {&it.first_choice_of("q1") == &it.first ? "a" : "b"};
    it.permits.wait = transport::duration(0);
    auto& other = it.other_of("q1");
    it.script({good});
    cr_assert_eq(it.fetch_answer().status, 200);
    cr_assert_eq(it.permits.asked.size(), 3U);
    cr_assert_eq(other.requests.size(), 1U);
}

Test(forward_permit, request_denied_everywhere_is_refused_at_once_with_the_time_to_return) {
    permit_fixture it;
    auto before = it.loop.now();
    auto answer = it.fetch_answer();
    cr_assert_eq(answer.status, 503);
    cr_assert_lt((it.loop.now() - before).count(),
                 transport::duration(std::chrono::milliseconds(500)).count());
    auto wait = std::stod(*transport::find_field(answer.fields, "Retry-After"));
    cr_assert(wait > 1.5 && wait <= 2, "%f", wait);
    cr_assert_eq(it.requests_received(), 0U);
    cr_assert_eq(it.permits.asked.size(), 2U);
    // While the servers are left out, nobody is asked.
    cr_assert_eq(it.fetch_answer({{"id", "q2"}}).status, 503);
    cr_assert_eq(it.permits.asked.size(), 2U);
}

Test(forward_permit, denied_servers_are_asked_for_again_after_the_wait) {
    permit_fixture it;
    it.permits.wait = std::chrono::milliseconds(50);
    cr_assert_eq(it.fetch_answer().status, 503);
    it.wait(std::chrono::milliseconds(60));
    it.permits.permits = 1;
    it.script({good});
    cr_assert_eq(it.fetch_answer({{"id", "q2"}}).status, 200);
}

Test(forward_permit, retry_of_a_request_needs_a_permit_of_its_own) {
    forward_fixture it(forward_fixture::route(execution_rule::repeatable, 2));
    it.permits.limited = {"a", "b"};
    it.permits.permits = 1;
    it.script({"HTTP/1.1 500 E\r\nid: ID\r\nstamp: 1\r\nContent-Length: 0\r\n\r\n"});
    cr_assert_eq(it.fetch_answer().status, 502);
    cr_assert_eq(it.requests_received(), 1U);
    cr_assert_geq(it.permits.asked.size(), 2U);
}

Test(forward_permit, caller_that_leaves_while_a_permit_is_awaited_sends_nothing) {
    permit_fixture it;
    it.permits.holds_requests = true;
    bool done = false;
    transport::fetch(it.loop, it.callers, it.at, {"POST", "/r/x", {{"id", "q1"}}, "body"},
                     std::chrono::milliseconds(100), [&](const auto&) { done = true; });
    while (!done)
        it.loop.run_once(true);
    it.wait(std::chrono::milliseconds(50));
    cr_assert_eq(it.permits.held.size(), 1U);
    it.permits.held.front()(true);
    it.wait(std::chrono::milliseconds(50));
    cr_assert_eq(it.requests_received(), 0U);
    cr_assert_eq(it.state->router.in_flight("a") + it.state->router.in_flight("b"), 0);
}

Test(forward_permit, deadline_while_a_permit_is_awaited_promises_that_nothing_ran) {
    permit_fixture it;
    it.permits.holds_requests = true;
    cr_assert_eq(it.fetch_answer({{"id", "q1"}, {"deadline", "80"}}).status, 503);
    it.permits.held.front()(true);
    it.wait(std::chrono::milliseconds(50));
    cr_assert_eq(it.requests_received(), 0U);
}

Test(forward_permit, rate_that_an_answer_names_is_passed_on_with_its_server) {
    permit_fixture it;
    it.permits.limited.clear();
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nrate: 1.5\r\nContent-Length: 0\r\n\r\n"});
    auto name = &it.first_choice_of("q1") == &it.first ? "a" : "b";
    cr_assert_eq(it.fetch_answer().status, 200);
    cr_assert_eq(it.permits.named_rates.size(), 1U);
    cr_assert_eq(it.permits.named_rates.front().first, name);
    cr_assert_eq(it.permits.named_rates.front().second, 1.5);
}
