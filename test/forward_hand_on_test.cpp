// Guards against promises that break when a request is handed on to another instance.
#include <memory>
#include <string>

#include <criterion/criterion.h>

#include "azureyoke/src/app/forward_rules.h"
#include "test/forward_fixture.h"

using namespace azureyoke;
using state::execution_rule;

namespace {

/// An instance that reaches no server, and one that helps it.
struct helped_fixture : forward_fixture {
    forward_fixture helper;
    std::unique_ptr<transport::front_server> helped;

    explicit helped_fixture(const state::forward_route& route)
        : forward_fixture(route), helper(route, 16 * 1024 * 1024, loop) {
        helped = std::make_unique<transport::front_server>(
            loop, transport::front_limits{}, [this](const auto& exchange) {
                std::make_shared<app::forward_session>(*helper.services, exchange,
                                                       app::request_origin::instance)
                    ->start();
            });
        paths.is_lost = true;
        paths.helpers = {{"helper", *helped->listen({"127.0.0.1", 0})}};
    }
};

constexpr const char* whole =
    "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nContent-Length: 2\r\n\r\nok";

} // namespace

Test(forward_hand_on, request_is_served_by_way_of_a_helper) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    it.helper.first.script = {{whole}};
    it.helper.second.script = {{whole}};
    auto answer = it.fetch_answer();
    cr_assert_eq(answer.status, 200);
    cr_assert_eq(answer.body, "ok");
    cr_assert(transport::find_field(answer.fields, "stamp").has_value());
    cr_assert_eq(it.first.requests.size() + it.second.requests.size(), 0U);
    cr_assert_eq(it.helper.first.requests.size() + it.helper.second.requests.size(), 1U);
    cr_assert_eq(it.paths.helped, 0);
}

Test(forward_hand_on, helper_that_reaches_no_server_is_passed_over) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    it.helper.paths.is_lost = true;
    auto busy = "HTTP/1.1 503 Busy\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    for (auto* server : {&it.first, &it.second})
        server->script.assign(4, {busy});
    auto answer = it.fetch_answer();
    cr_assert_eq(answer.status, 503); // of the own servers: nobody else is left
    cr_assert_gt(it.requests_received(), 0U);
    cr_assert_eq(it.helper.requests_received(), 0U);
    cr_assert_not(transport::find_field(answer.fields, app::refused_help_field).has_value());
    cr_assert_eq(it.paths.refused.size(), 1U);
    cr_assert_eq(it.paths.helped, 0);
}

Test(forward_hand_on, helper_that_can_not_be_reached_is_passed_over) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    it.helper.first.script = {{whole}};
    it.helper.second.script = {{whole}};
    it.paths.helpers.insert(it.paths.helpers.begin(), {"gone", {"127.0.0.1", 1}});
    cr_assert_eq(it.fetch_answer().status, 200);
    cr_assert_eq(it.paths.refused.size(), 1U);
}

// The helper may have passed the request on before it ended.
Test(forward_hand_on, request_that_is_lost_with_its_helper_is_never_refused_as_not_run) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    scripted_server dying(it.loop);
    dying.script = {{"", true}};
    it.paths.helpers.insert(it.paths.helpers.begin(), {"dying", dying.at()});
    it.helper.first.script = {{whole}};
    it.helper.second.script = {{whole}};
    cr_assert_eq(it.fetch_answer().status, 502);
    cr_assert_eq(it.helper.first.requests.size() + it.helper.second.requests.size(), 0U);
}

Test(forward_hand_on, run_that_its_server_lost_is_no_promise_of_the_helper) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    it.helper.first.script = {{"", true}};
    it.helper.second.script = {{"", true}};
    cr_assert_eq(it.fetch_answer().status, 502);
    cr_assert_eq(it.helper.first.requests.size() + it.helper.second.requests.size(), 1U);
}

Test(forward_hand_on, broken_off_answer_does_not_look_complete) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    scripted_server dying(it.loop);
    dying.script = {
        {"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nContent-Length: 9\r\n\r\nhalf", true}};
    it.paths.helpers = {{"dying", dying.at()}};
    cr_assert_eq(it.fetch_answer().status, 0);
}

Test(forward_hand_on, request_is_handed_on_once_only) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    it.helper.paths.is_lost = true;
    it.helper.paths.helpers = it.paths.helpers; // the helper would hand it on to itself
    it.script({whole});
    cr_assert_eq(it.fetch_answer().status, 200); // by this instance, since nobody is left
    cr_assert_eq(it.helper.requests_received(), 0U);
    cr_assert_eq(it.helper.paths.helped, 0);
    cr_assert(it.helper.paths.refused.empty());
}

Test(forward_hand_on, remaining_time_goes_with_the_request) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    it.helper.first.script = {};
    it.helper.second.script = {};
    auto began = it.loop.now();
    auto answer = it.fetch_answer({{"id", "q1"}, {"deadline", "300"}});
    cr_assert_eq(answer.status, 504);
    cr_assert_lt(it.loop.now() - began, std::chrono::milliseconds(600));
}

Test(forward_hand_on, workspace_is_charged_at_one_instance_only) {
    auto route = forward_fixture::route(execution_rule::once, 2);
    route.allows_no_key = false;
    helped_fixture it(route);
    it.helper.first.script = {{whole}};
    it.helper.second.script = {{whole}};
    cr_assert_eq(it.fetch_answer({{"id", "q1"}, {"key", "good"}}).status, 200);
    cr_assert_eq(it.fetch_answer({{"id", "q2"}, {"key", "bad"}}).status, 401);
}

Test(forward_hand_on, open_connection_is_used_while_only_new_ones_fail) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    it.paths.is_lost = false;
    for (auto* server : {&it.first, &it.second, &it.helper.first, &it.helper.second})
        server->script.assign(5, {whole});
    for (int i = 0; i < 3; ++i)
        cr_assert_eq(it.fetch_answer({{"id", "q" + std::to_string(i)}}).status, 200);
    auto own = [&] { return it.first.requests.size() + it.second.requests.size(); };
    cr_assert_eq(own(), 3U);
    it.paths.is_lost = true;
    it.paths.open_work = true;
    cr_assert_eq(it.fetch_answer({{"id", "q4"}}).status, 200);
    cr_assert_eq(it.fetch_answer({{"id", "q5"}}).status, 200);
    cr_assert_gt(own(), 3U);
}

Test(forward_hand_on, caller_who_leaves_cancels_the_run_at_the_server) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    {
        transport::backend_pool leaving(it.loop, {});
        transport::fetch(it.loop, leaving, it.at, {"POST", "/r/x", {{"id", "q1"}}, "body"},
                         std::chrono::seconds(20), [](const auto&) {});
        it.wait(std::chrono::milliseconds(100));
        cr_assert_eq(it.helper.requests_received(), 1U);
        cr_assert_eq(it.paths.helped, 1);
    }
    it.wait(std::chrono::milliseconds(200));
    cr_assert_eq(it.helper.first.resets + it.helper.second.resets, 1);
    cr_assert_eq(it.paths.helped, 0);
}

Test(forward_hand_on, events_of_a_stream_come_one_by_one) {
    auto route = forward_fixture::route(execution_rule::stream, 2);
    route.resumable = true;
    helped_fixture it(route);
    it.helper.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "13\r\nid: 1\ndata: one\n\n\n\r\n"});
    std::string received;

    struct stream_sink : transport::backend_answer_sink {
        explicit stream_sink(std::string& text) : out(text) {}

        transport::answer_verdict on_head(const transport::http_head& /*head*/) override {
            return transport::answer_verdict::accept;
        }

        void on_piece(std::string_view piece) override { out.append(piece); }

        void on_end() override {}

        void on_failure(const transport::error& /*ec*/) override {}

        std::string& out;
    };

    auto call = it.callers.send(it.at, {"POST", "/r/x", {{"id", "q1"}}, "body"}, {},
                                std::make_shared<stream_sink>(received));
    it.wait(std::chrono::milliseconds(200));
    cr_assert(received.starts_with("id: 1\ndata: one\n\n"), "%s", received.c_str());
}

Test(forward_hand_on, helper_that_is_about_to_end_is_passed_over) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    it.helper.services->refuse_all = true;
    it.script({whole});
    cr_assert_eq(it.fetch_answer().status, 200); // by this instance, since nobody is left
    cr_assert_eq(it.paths.refused.size(), 1U);
}

Test(forward_hand_on, server_that_writes_the_helpers_refusal_hides_no_run) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    it.helper.script({"HTTP/1.1 500 Error\r\nid: ID\r\nstamp: s\r\nAzureyoke-Not-Run: 1\r\n"
                      "Content-Length: 0\r\n\r\n"});
    it.script({whole});
    auto answer = it.fetch_answer();
    cr_assert_eq(answer.status, 500);
    cr_assert_eq(it.requests_received(), 0U);
    cr_assert_eq(it.helper.requests_received(), 1U);
}

// Without the question the stream would be bound to no software version, and go on nowhere.
Test(forward_hand_on, stream_that_no_helper_takes_up_is_looked_for_here) {
    auto route = forward_fixture::route(execution_rule::stream, 2);
    route.resumable = true;
    helped_fixture it(route);
    it.helper.paths.is_lost = true;
    it.script(
        {"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nContent-Length: 16\r\n\r\nid: 2\ndata: two\n"});
    (void)it.fetch_answer({{"id", "q2"}, {"last", "1"}, {"resumes", "q1"}});
    cr_assert_eq(it.paths.refused.size(), 1U);
    cr_assert_eq(it.streams.asked.size(), 1U);
}

// Guards against a path that never counts as lost, since something on the way accepts connections.
Test(forward_hand_on,
     new_connection_that_ends_without_an_answer_shows_that_its_server_is_not_reached) {
    helped_fixture it(forward_fixture::route(execution_rule::repeatable, 2));
    it.paths.is_lost = false;
    it.paths.lost_after = 2;
    it.script({"", true});
    it.helper.script({whole});
    cr_assert_eq(it.fetch_answer().status, 502);
    cr_assert_eq(it.paths.unreachable.size(), 2U);
    cr_assert(it.paths.is_lost);
    cr_assert_eq(it.fetch_answer({{"id", "q2"}}).status, 200);
}

Test(forward_hand_on,
     answer_that_breaks_off_or_a_kept_connection_that_ends_tells_nothing_of_the_path) {
    helped_fixture it(forward_fixture::route(execution_rule::once, 2));
    it.paths.is_lost = false;
    it.script({whole});
    it.script({"", true});
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nContent-Length: 9\r\n\r\nhalf", true});
    for (int i = 0; i < 6; ++i)
        (void)it.fetch_answer({{"id", "q" + std::to_string(i)}});
    cr_assert(it.paths.unreachable.empty());
}
