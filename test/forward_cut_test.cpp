// Guards against an answer whose head or body breaks off, and that callers take for a whole one.
#include "forward_fixture.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using state::execution_rule;

namespace {

const std::string stream_event = "id: 1\ndata: one\n\n";
const std::string second_answer =
    "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 2\r\nContent-Length: 6\r\n\r\nsecond";

/// Answers whose ends do not depend on the end of the connection.
const std::vector<std::string> framed_answers = {
    "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nContent-Type: text/plain\r\nContent-Length: "
    "17\r\n\r\n" +
        stream_event,
    "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n" +
        stream_event + "\r\n0\r\ntrailer: 1\r\n\r\n",
    "HTTP/1.1 103 Early\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\n"
    "Content-Length: 17\r\n\r\n" +
        stream_event,
};

struct cut_fixture : forward_fixture {
    explicit cut_fixture(execution_rule rule, int attempts)
        : forward_fixture(make_route(rule, attempts)) {
        state->set_retry_settings(settings);
    }

    static state::forward_route make_route(execution_rule rule, int attempts) {
        auto result = forward_fixture::route(rule, attempts);
        result.resumable = rule == execution_rule::stream && attempts > 1;
        return result;
    }

    /// \brief Answers the next request with `bytes`, a byte a turn of the loop.
    transport::http_response fetch_in_bytes(const std::string& bytes) {
        first_choice_of("q1").script.push_back({bytes, false, true});
        return fetch_answer();
    }
};

} // namespace

Test(forward_cut, answer_that_breaks_off_at_any_byte_is_no_success, .timeout = 120) {
    for (auto rule : {execution_rule::once, execution_rule::repeatable, execution_rule::stream}) {
        for (const auto& whole : framed_answers) {
            for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
                cut_fixture it(rule, 1);
                it.first_choice_of("q1").script.push_back({whole.substr(0, bytes), true});
                auto answer = it.fetch_answer();
                cr_assert_neq(answer.status, 200, "rule %d: 200 with \"%s\" after %zu bytes of %s",
                              static_cast<int>(rule), answer.body.c_str(), bytes, whole.c_str());
            }
        }
    }
}

Test(forward_cut, second_server_answers_after_a_head_that_breaks_off, .timeout = 120) {
    for (auto rule : {execution_rule::repeatable, execution_rule::stream}) {
        for (const auto& whole : framed_answers) {
            auto head = whole.rfind("\r\n\r\n", whole.find(stream_event));
            for (std::size_t bytes = 0; bytes < head; ++bytes) {
                cut_fixture it(rule, 2);
                it.first_choice_of("q1").script.push_back({whole.substr(0, bytes), true});
                it.other_of("q1").script.push_back({second_answer});
                auto answer = it.fetch_answer();
                cr_assert_eq(answer.status, 200, "rule %d, %zu bytes of %s: %d",
                             static_cast<int>(rule), bytes, whole.c_str(), answer.status);
                cr_assert_eq(answer.body, "second", "%s", answer.body.c_str());
            }
        }
    }
}

Test(forward_cut, answer_that_comes_byte_by_byte_is_whole, .timeout = 120) {
    for (auto rule : {execution_rule::once, execution_rule::repeatable, execution_rule::stream}) {
        for (const auto& whole : framed_answers) {
            cut_fixture it(rule, 1);
            auto answer = it.fetch_in_bytes(whole);
            cr_assert_eq(answer.status, 200);
            cr_assert_eq(answer.body, stream_event, "%s", answer.body.c_str());
        }
    }
}

// The end of such an answer is that of its connection, so only a head that breaks off shows.
Test(forward_cut, head_without_length_that_breaks_off_is_no_success, .timeout = 120) {
    const std::string head = "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\n\r\n";
    for (auto rule : {execution_rule::once, execution_rule::repeatable, execution_rule::stream}) {
        for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
            cut_fixture it(rule, 1);
            it.first_choice_of("q1").script.push_back({head.substr(0, bytes), true});
            auto answer = it.fetch_answer();
            cr_assert_neq(answer.status, 200, "rule %d, %zu bytes", static_cast<int>(rule), bytes);
        }
    }
}
