#include "forward_fixture.h"

#include <sstream>

#include <criterion/criterion.h>

using namespace azureyoke;
using state::run_rule;

namespace {

const std::string good = "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nContent-Length: 4\r\n\r\nbody";
const std::string shed = "HTTP/1.1 503 S\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string failed = "HTTP/1.1 500 E\r\nid: ID\r\nstamp: s\r\nContent-Length: 1\r\n\r\nx";
const std::string stream_head =
    "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& text) {
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string piece(int n) {
    return "id: " + std::to_string(n) + "\ndata: t" + std::to_string(n) + "\n\n";
}

} // namespace

Test(forward_session, answer_is_passed_on_with_its_status_signature_and_body) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.script({good});
    auto got = it.ask();
    cr_assert_eq(got.status, 200);
    cr_assert_eq(got.body, "body");
    cr_assert_eq(*transport::find_field(got.fields, "stamp"), "s");
    cr_assert_eq(it.arrivals(), 1U);
}

Test(forward_session, failure_of_the_server_is_passed_on_unchanged) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.script({failed});
    auto got = it.ask();
    cr_assert_eq(got.status, 500);
    cr_assert_eq(got.body, "x");
}

Test(forward_session, request_that_runs_once_is_not_sent_again_after_a_lost_answer) {
    forward_fixture it(forward_fixture::route(run_rule::once, 3));
    it.script({"", true});
    auto got = it.ask();
    cr_assert_eq(got.status, 502);
    cr_assert_eq(it.arrivals(), 1U);
}

Test(forward_session, request_that_runs_once_is_not_sent_again_after_half_an_answer) {
    forward_fixture it(forward_fixture::route(run_rule::once, 3));
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nContent-Length: 9\r\n\r\nhalf", true});
    cr_assert_eq(it.ask().status, 502);
    cr_assert_eq(it.arrivals(), 1U);
}

Test(forward_session, request_that_did_not_run_goes_to_another_server) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.home_of("q1").script = {{shed}};
    it.other_of("q1").script = {{good}};
    cr_assert_eq(it.ask().status, 200);
    cr_assert_eq(it.arrivals(), 2U);
}

Test(forward_session, request_that_ran_nowhere_is_refused_as_not_run) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    for (int i = 0; i < 4; ++i)
        it.script({shed});
    auto got = it.ask();
    cr_assert_eq(got.status, 503);
    cr_assert(transport::find_field(got.fields, "Retry-After").has_value());
    cr_assert_not(transport::find_field(got.fields, "stamp").has_value());
}

Test(forward_session, unproven_503_of_a_server_does_not_promise_the_caller_that_it_did_not_run) {
    forward_fixture it(forward_fixture::route(run_rule::once, 2));
    it.script({"HTTP/1.1 503 S\r\nid: ID\r\nstamp: s\r\nContent-Length: 0\r\n\r\n"});
    auto got = it.ask();
    cr_assert_eq(got.status, 502);
    cr_assert_eq(it.arrivals(), 1U);
}

Test(forward_session, repeatable_request_is_sent_again_after_a_lost_answer) {
    forward_fixture it(forward_fixture::route(run_rule::repeatable, 2));
    it.home_of("q1").script = {{"", true}};
    it.other_of("q1").script = {{good}};
    cr_assert_eq(it.ask().status, 200);
    cr_assert_eq(it.arrivals(), 2U);
}

Test(forward_session, repeatable_request_is_not_sent_to_more_servers_than_its_route_allows) {
    forward_fixture it(forward_fixture::route(run_rule::repeatable, 2));
    for (int i = 0; i < 5; ++i)
        it.script({"", true});
    cr_assert_eq(it.ask().status, 502);
    cr_assert_eq(it.arrivals(), 2U);
}

Test(forward_session, success_without_a_signature_is_not_passed_on) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nContent-Length: 4\r\n\r\nfake"});
    auto got = it.ask();
    cr_assert_eq(got.status, 502);
    cr_assert_neq(got.body, "fake");
}

Test(forward_session, second_answer_never_meets_the_next_request) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.script({good + "HTTP/1.1 200 OK\r\nid: old\r\nstamp: s\r\nContent-Length: 5\r\n\r\nwrong"});
    it.script({good});
    cr_assert_eq(it.ask({{"id", "q1"}}).body, "body");
    auto got = it.ask({{"id", "q2"}});
    cr_assert_eq(got.body, "body");
    cr_assert_eq(*transport::find_field(got.fields, "id"), "q2");
}

Test(forward_session, late_answer_to_an_earlier_request_is_skipped) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.script({"HTTP/1.1 200 OK\r\nid: old\r\nstamp: s\r\nContent-Length: 5\r\n\r\nwrong" + good});
    auto got = it.ask();
    cr_assert_eq(got.status, 200);
    cr_assert_eq(got.body, "body");
}

Test(forward_session, second_copy_that_comes_on_a_reused_connection_does_not_meet_its_caller) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.state->directory.remove("b", it.loop.now());
    it.first.script = {
        {good}, {"HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\nContent-Length: 5\r\n\r\nwrong" + good}};
    cr_assert_eq(it.ask({{"id", "q1"}}).status, 200);
    auto got = it.ask({{"id", "q2"}});
    cr_assert_eq(it.first.connections(), 1U, "the connection was reused");
    cr_assert_eq(got.body, "body");
    cr_assert_eq(*transport::find_field(got.fields, "id"), "q2");
}

Test(forward_session, bytes_that_are_no_answer_are_not_passed_on) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.script({"garbage garbage\r\n\r\n"});
    cr_assert_eq(it.ask().status, 502);
}

Test(forward_session, stream_that_breaks_off_is_cut_and_not_ended) {
    forward_fixture it(forward_fixture::route(run_rule::stream, 3));
    it.script({stream_head + chunk(piece(1)) + chunk("id: 2\nda"), true});
    cr_assert_eq(it.ask().status, 0, "the cut must be seen");
    cr_assert_eq(it.arrivals(), 1U);
}

Test(forward_session, stream_that_may_be_resumed_goes_on_after_its_last_whole_event) {
    auto route = forward_fixture::route(run_rule::stream, 2);
    route.resumable = true;
    forward_fixture it(route);
    auto& goes_on = it.other_of("q1");
    it.home_of("q1").script = {
        {stream_head + chunk(piece(1)) + chunk(piece(2)) + chunk("id: 3\nda"), true}};
    goes_on.script = {{stream_head + chunk(piece(3)) + chunk(piece(4)) + "0\r\n\r\n"}};
    auto got = it.ask();
    cr_assert_eq(got.status, 200);
    cr_assert_eq(got.body, piece(1) + piece(2) + piece(3) + piece(4));
    cr_assert_eq(*transport::find_field(goes_on.requests.front().fields, "last"), "2");
}

Test(forward_session, resumed_stream_without_a_server_is_cut_and_gets_no_second_answer) {
    auto route = forward_fixture::route(run_rule::stream, 3);
    route.resumable = true;
    forward_fixture it(route);
    it.home_of("q1").script = {{stream_head + chunk(piece(1)) + chunk("id: 2\nda")}};
    std::string raw;

    struct : transport::tcp_stream_sink {
        std::string* raw = nullptr;
        bool ended = false;

        void on_bytes(std::string_view bytes) override { raw->append(bytes); }

        void on_end(bool /*reset*/) override { ended = true; }
    } caller;

    caller.raw = &raw;
    transport::tcp_stream stream(it.loop, it.at, caller);
    stream.write("POST /r/x HTTP/1.1\r\nid: q1\r\nContent-Length: 0\r\n\r\n");
    while (raw.find("id: 1") == std::string::npos)
        it.loop.turn(true);
    it.state->directory.replace_all({}, it.loop.now());
    it.first.close_all();
    it.second.close_all();
    while (!caller.ended && raw.find("HTTP/1.1", 1) == std::string::npos)
        it.loop.turn(true);
    cr_assert_eq(raw.find("HTTP/1.1", 1), std::string::npos, "%s", raw.c_str());
    cr_assert_eq(raw.find("0\r\n\r\n"), std::string::npos, "the cut must be seen");
}

Test(forward_session, unknown_path_and_key_are_told_apart) {
    auto route = forward_fixture::route(run_rule::once, 1);
    route.keyless = false;
    forward_fixture it(route);
    it.script({good});
    cr_assert_eq(it.ask({{"id", "q"}}, "/x/").status, 404);
    cr_assert_eq(it.ask({{"id", "q"}, {"key", "bad"}}).status, 401);
    cr_assert_eq(it.ask({{"id", "q"}, {"key", "good"}}).status, 200);
}

Test(forward_session, instance_whose_policy_may_be_old_denies_nothing) {
    auto route = forward_fixture::route(run_rule::once, 1);
    route.keyless = false;
    forward_fixture it(route);
    it.state->policy_may_be_old = true;
    cr_assert_eq(it.ask({{"id", "q"}}, "/x/").status, 503);
    cr_assert_eq(it.ask({{"id", "q"}, {"key", "new"}}).status, 503);
}

Test(forward_session, request_without_an_answer_ends_with_its_deadline_and_promises_nothing) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    cr_assert_eq(it.ask({{"id", "q"}, {"deadline", "200"}}).status, 504);
    cr_assert_eq(it.arrivals(), 1U);
}

Test(forward_session, request_without_a_server_is_refused_at_once_as_not_run) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.state->directory.replace_all({}, it.loop.now());
    cr_assert_eq(it.ask().status, 503);
}

Test(forward_session, request_to_an_address_without_a_listener_goes_to_another_server) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.script({good});
    transport::address nowhere;
    {
        scripted_server closed(it.loop);
        nowhere = closed.at();
    }
    it.add("a", nowhere);
    for (int i = 0; i < 6; ++i) {
        it.script({good});
        cr_assert_eq(it.ask({{"id", "q" + std::to_string(i)}}).status, 200);
    }
}

Test(forward_session, model_that_a_plain_service_does_not_serve_has_no_say_in_placement) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.state->weights["m"].learn(4, it.loop.now() - std::chrono::minutes(1), true);
    it.script({good});
    cr_assert_eq(it.ask({{"id", "q1"}, {"model", "m"}}).status, 200);
}

namespace {

const std::string leaves =
    "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nleaves: 1\r\nContent-Length: 4\r\n\r\nbody";

std::string rests(const std::string& seconds) {
    return "HTTP/1.1 503 S\r\nid: ID\r\nnot-run: 1\r\nrest: " + seconds +
           "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

Test(forward_session, server_that_says_in_an_answer_that_it_leaves_gets_no_more_requests) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    auto& home = it.home_of("q0");
    auto& other = it.other_of("q0");
    home.script.push_back({leaves});
    cr_assert_eq(it.ask({{"id", "q0"}}).status, 200, "its answer is passed on");
    for (int i = 1; i <= 20; ++i) {
        other.script.push_back({good});
        cr_assert_eq(it.ask({{"id", "q" + std::to_string(i)}}).status, 200);
    }
    cr_assert_eq(home.requests.size(), 1U);
    cr_assert_eq(it.state->directory.fresh_departures(it.loop.now()).size(), 1U);
}

Test(forward_session, answer_of_a_wrong_server_does_not_say_that_the_right_one_leaves) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.home_of("q0").script.push_back(
        {"HTTP/1.1 421 M\r\nid: ID\r\nleaves: 1\r\nContent-Length: 0\r\n\r\n"});
    it.other_of("q0").script.push_back({good});
    cr_assert_eq(it.ask({{"id", "q0"}}).status, 200);
    cr_assert_eq(it.state->directory.usable("p").size(), 2U);
}

Test(forward_session, request_that_a_resting_server_turned_away_goes_elsewhere_at_once) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    auto& home = it.home_of("q0");
    auto& other = it.other_of("q0");
    home.script.push_back({rests("30")});
    for (int i = 0; i <= 20; ++i) {
        if (i == 1)
            it.wait(std::chrono::milliseconds(300)); // longer than the pause after any refusal
        other.script.push_back({good});
        cr_assert_eq(it.ask({{"id", "q" + std::to_string(i)}}).status, 200);
    }
    cr_assert_eq(home.requests.size(), 1U);
}

Test(forward_session, pool_that_rests_whole_is_left_alone_and_the_caller_told_when_to_return) {
    forward_fixture it(forward_fixture::route(run_rule::once, 3));
    it.home_of("q0").script.push_back({rests("40")});
    it.other_of("q0").script.push_back({rests("20")});
    for (int i = 0; i < 5; ++i) {
        auto got = it.ask({{"id", "q" + std::to_string(i)}});
        cr_assert_eq(got.status, 503);
        auto wait = std::stod(*transport::find_field(got.fields, "Retry-After"));
        cr_assert(wait > 18 && wait < 26, "%f", wait);
    }
    cr_assert_eq(it.arrivals(), 2U);
}

Test(forward_session, rest_of_no_time_is_none) {
    forward_fixture it(forward_fixture::route(run_rule::once, 1));
    it.script({rests("0")});
    it.script({good});
    cr_assert_eq(it.ask().status, 200);
    cr_assert_not(it.state->router.rest_left(it.state->directory, "p", it.loop.now()));
}
