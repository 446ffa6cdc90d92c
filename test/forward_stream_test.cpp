// Guards against streams that go on at another software version than they began on.
#include "forward_fixture.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using state::execution_rule;

namespace {

const std::string head =
    "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string first_event = "11\r\nid: 1\ndata: one\n\n\r\n";
const std::string second_event = "11\r\nid: 2\ndata: two\n\n\r\n";
const std::string last_chunk = "0\r\n\r\n";
const std::string unframed_head = "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\n\r\n";

std::string concat(std::initializer_list<std::string> texts) {
    std::string all;
    for (const auto& it : texts)
        all += it;
    return all;
}

const transport::http_fields take_up = {{"id", "q2"}, {"last", "1"}, {"resumes", "q1"}};
const transport::http_fields nameless_take_up = {{"id", "q2"}, {"last", "1"}};

struct stream_fixture : forward_fixture {
    stream_fixture() : forward_fixture(resumable_route()) {}

    static state::forward_route resumable_route() {
        auto result = forward_fixture::route(execution_rule::stream, 3);
        result.resumable = true;
        return result;
    }

    void set_software(const std::string& of_first, const std::string& of_second) const {
        for (const auto& [id, software] : {std::pair("a", of_first), std::pair("b", of_second)}) {
            auto entry = *state->directory.find(id);
            entry.software = software;
            state->directory.put(entry, loop.now());
        }
    }

    /// The registration of a server that started again under its id is read.
    void restart(const std::string& id, const std::string& software) const {
        auto entry = *state->directory.find(id);
        ++entry.started_ms;
        entry.software = software;
        state->directory.put(entry, loop.now());
    }
};

} // namespace

Test(forward_stream, stream_goes_on_at_a_server_of_the_same_version) {
    stream_fixture it;
    it.set_software("v1", "v1");
    auto& other = it.other_of("q1");
    it.first_choice_of("q1").script.push_back({head + first_event, true});
    other.script.push_back({concat({head, second_event, last_chunk})});
    auto answer = it.fetch_answer();
    cr_assert_eq(answer.status, 200);
    cr_assert_eq(answer.body, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
    cr_assert_eq(it.streams.begun.size(), 1U);
    cr_assert_eq(it.streams.completed.size(), 1U);
}

Test(forward_stream, stream_does_not_go_on_at_a_server_of_another_version) {
    stream_fixture it;
    it.set_software("v1", "v2");
    auto& other = it.other_of("q1");
    it.first_choice_of("q1").script.push_back({head + first_event, true});
    cr_assert_eq(it.fetch_answer().status, 0, "the caller must see that the stream broke off");
    cr_assert(other.requests.empty());
    cr_assert(it.streams.completed.empty());
}

Test(forward_stream, stream_that_broke_off_before_its_first_event_may_begin_at_another_version) {
    stream_fixture it;
    it.set_software("v1", "v2");
    auto& other = it.other_of("q1");
    it.first_choice_of("q1").script.push_back({head, true});
    other.script.push_back({concat({head, first_event, last_chunk})});
    cr_assert_eq(it.fetch_answer().status, 200);
    cr_assert_eq(it.streams.begun.size(), 1U);
}

Test(forward_stream, taken_up_stream_goes_on_at_the_version_that_it_began_on) {
    for (const char* version : {"v1", "v2"}) {
        stream_fixture it;
        it.set_software("v1", "v2");
        it.streams.reply = version;
        it.script({concat({head, second_event, last_chunk})});
        cr_assert_eq(it.fetch_answer(take_up).status, 200);
        cr_assert_eq(it.streams.asked.front(), "q1");
        cr_assert_eq(it.first.requests.size(), version == std::string("v1") ? 1U : 0U);
        cr_assert_eq(it.second.requests.size(), version == std::string("v2") ? 1U : 0U);
    }
}

Test(forward_stream, taken_up_stream_of_a_version_without_servers_is_refused) {
    stream_fixture it;
    it.set_software("v2", "v2");
    it.streams.reply = "v1";
    cr_assert_eq(it.fetch_answer(take_up).status, 503);
    cr_assert_eq(it.requests_received(), 0U);
}

Test(forward_stream, taken_up_stream_that_nobody_knows_is_refused_and_not_sent) {
    stream_fixture it;
    it.set_software("v1", "v2");
    it.streams.reply = std::nullopt;
    for (bool may_be_found_later : {false, true}) {
        it.streams.may_be_found_later = may_be_found_later;
        auto answer = it.fetch_answer(take_up);
        cr_assert_eq(answer.status, 503);
        cr_assert_eq(transport::find_field(answer.fields, "Retry-After").has_value(),
                     may_be_found_later);
    }
    cr_assert_eq(it.requests_received(), 0U);
}

Test(forward_stream, taken_up_stream_stays_bound_to_the_request_that_began_it) {
    stream_fixture it;
    it.set_software("v1", "v1");
    it.streams.reply = "v1";
    it.script({head + second_event, true});
    cr_assert_eq(it.fetch_answer(take_up).status, 0);
    for (const auto& [stream, software] : it.streams.begun) {
        cr_assert_eq(stream, "q1");
        cr_assert_eq(software, "v1");
    }
}

// Guards against streams that look complete although they ended within an event.
Test(forward_stream, stream_that_ends_within_an_event_goes_on_elsewhere_or_is_cut) {
    const std::string chunked_end = "8\r\nid: 2\nda\r\n" + last_chunk;
    for (const auto& broken :
         {unframed_head + "id: 1\ndata: one\n\nid: 2\nda", unframed_head + "id: 1\nda",
          concat({head, first_event, chunked_end})}) {
        for (bool same_version : {true, false}) {
            stream_fixture it;
            it.set_software("v1", same_version ? "v1" : "v2");
            auto& other = it.other_of("q1");
            it.first_choice_of("q1").script.push_back({broken, true});
            bool begun = broken.find("data: one") != std::string::npos;
            other.script.push_back(
                {concat({head, begun ? "" : first_event, second_event, last_chunk})});
            auto answer = it.fetch_answer();
            bool goes_on = same_version || !begun;
            cr_assert_eq(answer.status, goes_on ? 200 : 0);
            if (goes_on)
                cr_assert_eq(answer.body, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
        }
    }
}

// Guards against a copy of the broken answer that is taken for the continuation of the stream.
Test(forward_stream, stream_that_ends_within_an_event_goes_on_over_another_connection) {
    stream_fixture it;
    it.state->directory.replace_all({}, it.loop.now());
    it.add("a", it.first.at());
    auto& server = it.first;
    server.script.push_back({concat({head, first_event, "8\r\nid: 2\nda\r\n", last_chunk})});
    server.script.push_back({concat({head, second_event, last_chunk})});
    cr_assert_eq(it.fetch_answer().body, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
    cr_assert_eq(server.connections(), 2U);
}

// Guards against an error of the next server in the middle of a stream.
Test(forward_stream, stream_that_meets_an_error_elsewhere_does_not_look_complete) {
    for (const auto* error :
         {"HTTP/1.1 500 E\r\nid: ID\r\nstamp: 1\r\nContent-Length: 5\r\n\r\nerror",
          "HTTP/1.1 200 OK\r\nid: ID\r\nContent-Length: 5\r\n\r\nerror", "error\r\n\r\n"}) {
        stream_fixture it;
        it.set_software("v1", "v1");
        auto& other = it.other_of("q1");
        it.first_choice_of("q1").script.push_back({head + first_event, true});
        for (int i = 0; i < 3; ++i)
            other.script.push_back({error, true});
        cr_assert_eq(it.fetch_answer().status, 0, "the caller must see that the stream broke off");
        cr_assert_geq(other.requests.size(), 1U);
    }
}

Test(forward_stream, unframed_stream_that_ends_after_an_event_is_complete) {
    stream_fixture it;
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\n\r\nid: 1\ndata: one\n\n", true});
    auto answer = it.fetch_answer();
    cr_assert_eq(answer.status, 200);
    cr_assert_eq(answer.body, "id: 1\ndata: one\n\n");
}

Test(forward_stream, body_without_events_is_passed_on_as_it_is) {
    stream_fixture it;
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nContent-Length: 5\r\n\r\nplain"});
    cr_assert_eq(it.fetch_answer().body, "plain");
}

// Guards against an instance that was stopped and takes a server that started again under its id
// with another version for the one of before.
Test(forward_stream, stream_does_not_go_on_where_versions_may_be_old) {
    for (bool old_at_start : {true, false}) {
        stream_fixture it;
        it.set_software("v1", "v1");
        it.streams.current = !old_at_start;
        auto& other = it.other_of("q1");
        it.first_choice_of("q1").script.push_back({head + first_event});
        auto timer = it.loop.after(std::chrono::milliseconds(50), [&] {
            it.streams.current = old_at_start;
            it.first_choice_of("q1").close_all();
        });
        cr_assert_eq(it.fetch_answer().status, 0);
        cr_assert(other.requests.empty());
        cr_assert_eq(it.streams.begun.size(), old_at_start ? 0U : 1U);
    }
}

// Guards against a take-up that waits for a permit and is sent to a server that has meanwhile
// started again under its id with another version.
Test(forward_stream, take_up_is_not_sent_to_a_server_that_changed_its_version_during_the_wait) {
    stream_fixture it;
    it.set_software("v1", "v1");
    it.streams.reply = "v1";
    it.permits.limited = {"a", "b"};
    it.permits.holds_requests = true;
    auto& changed = it.first_choice_of("q2");
    it.other_of("q2").script.push_back({concat({head, second_event, last_chunk})});
    auto timer = it.loop.after(std::chrono::milliseconds(50), [&] {
        bool is_first = &changed == &it.first;
        it.set_software(is_first ? "v2" : "v1", is_first ? "v1" : "v2");
        it.permits.holds_requests = false;
        it.permits.permits = 1;
        it.permits.held.front()(true);
    });
    cr_assert_eq(it.fetch_answer(take_up).status, 200);
    cr_assert(changed.requests.empty());
}

Test(forward_stream, take_up_is_not_sent_where_versions_became_old_during_the_wait) {
    for (const auto& fields : {take_up, nameless_take_up}) {
        stream_fixture it;
        it.set_software("v1", "v1");
        it.streams.reply = "v1";
        it.script({concat({head, second_event, last_chunk})});
        it.permits.limited = {"a", "b"};
        it.permits.holds_requests = true;
        auto timer = it.loop.after(std::chrono::milliseconds(50), [&] {
            it.streams.current = false;
            it.permits.held.front()(true);
        });
        cr_assert_eq(it.fetch_answer(fields).status, 503);
        cr_assert_eq(it.requests_received(), 0U);
    }
}

// Guards against a server that starts again under its id with another version just before a request
// reaches it: its registration is read after the request was sent.
Test(forward_stream, stream_whose_server_changed_its_version_meanwhile_does_not_go_on) {
    for (bool before_first_event : {true, false}) {
        stream_fixture it;
        it.set_software("v1", "v1");
        auto& began = it.first_choice_of("q1");
        bool is_first = &began == &it.first;
        auto change = [&] { it.restart(is_first ? "a" : "b", "v2"); };
        auto& other = it.other_of("q1");
        other.script.push_back({concat({head, second_event, last_chunk})});
        began.script.push_back({concat({head, first_event}), false, before_first_event});
        auto timer = it.loop.after(std::chrono::milliseconds(20), change);
        auto end = it.loop.after(std::chrono::milliseconds(400), [&] { began.close_all(); });
        cr_assert_eq(it.fetch_answer().status, 0);
        cr_assert(other.requests.empty());
        cr_assert_eq(it.streams.begun.size(), before_first_event ? 0U : 1U);
        cr_assert_eq(it.streams.uncertain.size(), before_first_event ? 0U : 1U);
    }
}

// The same for the server at which a stream goes on.
Test(forward_stream, events_of_a_server_that_changed_its_version_meanwhile_are_not_joined) {
    stream_fixture it;
    it.set_software("v1", "v1");
    it.streams.reply = "v1";
    auto& changed = it.first_choice_of("q2");
    bool is_first = &changed == &it.first;
    changed.script.push_back(
        {concat({head, "1a\r\nid: 2\ndata: of version 2\n\n\r\n", last_chunk}), false, true});
    it.other_of("q2").script.push_back({concat({head, second_event, last_chunk})});
    auto timer = it.loop.after(std::chrono::milliseconds(20),
                               [&] { it.restart(is_first ? "a" : "b", "v2"); });
    auto answer = it.fetch_answer(take_up);
    cr_assert_eq(answer.status, 200);
    cr_assert_eq(answer.body, "id: 2\ndata: two\n\n");
}

// A server that starts again with the version that it had does not make its streams uncertain.
Test(forward_stream, stream_goes_on_after_its_server_started_again_with_the_same_version) {
    stream_fixture it;
    it.set_software("v1", "v1");
    auto& began = it.first_choice_of("q1");
    bool is_first = &began == &it.first;
    began.script.push_back({head + first_event});
    it.other_of("q1").script.push_back({concat({head, second_event, last_chunk})});
    auto timer = it.loop.after(std::chrono::milliseconds(50), [&] {
        it.restart(is_first ? "a" : "b", "v1");
        began.close_all();
    });
    cr_assert_eq(it.fetch_answer().status, 200);
}

Test(forward_stream, take_up_that_broke_off_does_not_go_on_where_versions_may_be_old) {
    for (const auto& fields : {take_up, nameless_take_up}) {
        stream_fixture it;
        it.set_software("v1", "v1");
        it.streams.reply = "v1";
        auto timer = it.loop.after(std::chrono::milliseconds(50), [&] {
            it.streams.current = false;
            it.first_choice_of("q2").close_all();
        });
        auto& other = it.other_of("q2");
        cr_assert_eq(it.fetch_answer(fields).status, 502);
        cr_assert(other.requests.empty());
    }
}

Test(forward_stream, take_up_without_a_name_is_looked_up_and_binds_nothing) {
    stream_fixture it;
    it.set_software("v1", "v2");
    it.streams.reply = "v2";
    it.script({concat({head, second_event, last_chunk})});
    cr_assert_eq(it.fetch_answer(nameless_take_up).status, 200);
    cr_assert_eq(it.streams.asked, std::vector<std::string>{""});
    cr_assert_eq(it.second.requests.size(), 1U);
    cr_assert(it.streams.begun.empty());
}

Test(forward_stream, stream_that_is_taken_up_twice_goes_on_at_its_version_both_times) {
    stream_fixture it;
    it.set_software("v1", "v2");
    it.streams.reply = "v2";
    it.script({concat({head, second_event, last_chunk})});
    it.script({concat({head, second_event, last_chunk})});
    for (const char* id : {"q2", "q3"})
        cr_assert_eq(it.fetch_answer({{"id", id}, {"last", "1"}, {"resumes", "q1"}}).status, 200);
    cr_assert(it.first.requests.empty());
    cr_assert_eq(it.second.requests.size(), 2U);
}

Test(forward_stream, route_that_is_not_resumable_looks_up_no_stream) {
    stream_fixture it;
    auto route = stream_fixture::resumable_route();
    route.resumable = false;
    route.path_prefix = "/n/";
    auto policy = std::make_shared<const state::traffic_policy>(
        2, std::vector{route}, std::vector<state::server_pool>{{"p", 0, 0, {}, {}}},
        std::vector<state::forward_workspace>(), state::caller_bounds());
    (void)it.state->set_policy({policy, ""}, it.loop.now());
    it.streams.reply = std::nullopt;
    it.script({concat({head, second_event, last_chunk})});
    cr_assert_eq(it.fetch_answer(take_up, "/n/x").status, 200);
    cr_assert(it.streams.asked.empty());
}

Test(forward_stream, new_stream_asks_nobody) {
    stream_fixture it;
    it.script({concat({head, first_event, last_chunk})});
    cr_assert_eq(it.fetch_answer().status, 200);
    cr_assert(it.streams.asked.empty());
}
