// Guards against ambiguous framing that allows request smuggling, and against truncated messages
// that count as complete.
#include "azureyoke/src/transport/http_reader.h"

#include <vector>

#include <criterion/criterion.h>

using namespace azureyoke::transport;

namespace {

constexpr std::size_t max_head_bytes = 1024;

struct recorder : http_reader_sink {
    std::vector<http_head> heads;
    std::string body;
    int completed = 0;

    void on_head(http_head head) override { heads.push_back(std::move(head)); }

    void on_body(std::string_view piece) override { body.append(piece); }

    void on_complete() override { ++completed; }
};

struct reader_fixture {
    recorder recorded;
    http_reader reader;

    explicit reader_fixture(http_reader_kind kind) : reader(kind, max_head_bytes, recorded) {}

    std::size_t feed(std::string_view bytes) { return reader.feed(bytes); }
};

} // namespace

Test(http_reader, request_with_length_given_byte_by_byte_is_read_whole) {
    reader_fixture it(http_reader_kind::requests);
    std::string text = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
    for (char c : text)
        cr_assert_eq(it.feed({&c, 1}), 1U);
    cr_assert_eq(it.recorded.completed, 1);
    cr_assert_eq(it.recorded.heads[0].method, "POST");
    cr_assert_eq(it.recorded.heads[0].target, "/a/b?c");
    cr_assert_eq(it.recorded.body, "xyz");
    cr_assert(it.reader.at_boundary());
}

Test(http_reader, bytes_after_a_message_are_not_consumed) {
    reader_fixture it(http_reader_kind::answers);
    std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::string text = first + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
    cr_assert_eq(it.feed(text), first.size());
    cr_assert_eq(it.recorded.completed, 1);
    cr_assert_eq(it.recorded.body, "ok");
}

Test(http_reader, chunked_answer_is_decoded) {
    reader_fixture it(http_reader_kind::answers);
    (void)it.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    cr_assert_eq(it.recorded.completed, 0);
    (void)it.feed("2\r\nde\r\n0\r\n\r\n");
    cr_assert_eq(it.recorded.completed, 1);
    cr_assert_eq(it.recorded.body, "abcde");
}

Test(http_reader, answer_without_length_ends_with_its_connection) {
    reader_fixture it(http_reader_kind::answers);
    (void)it.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    cr_assert(it.recorded.heads[0].framing == http_framing::until_close);
    cr_assert_eq(it.recorded.completed, 0);
    it.reader.feed_end();
    cr_assert_eq(it.recorded.completed, 1);
}

Test(http_reader, answer_truncated_by_the_connection_is_a_failure) {
    reader_fixture it(http_reader_kind::answers);
    (void)it.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    it.reader.feed_end();
    cr_assert_eq(it.recorded.completed, 0);
    cr_assert_not(it.reader.failure().empty());
}

Test(http_reader, answer_without_body_is_complete_after_its_head) {
    reader_fixture it(http_reader_kind::answers);
    (void)it.feed("HTTP/1.1 204 No Content\r\n\r\n");
    cr_assert_eq(it.recorded.completed, 1);
    cr_assert(it.recorded.heads[0].framing == http_framing::none);
}

Test(http_reader, interim_answer_is_a_separate_message) {
    reader_fixture it(http_reader_kind::answers);
    std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    cr_assert_eq(it.feed(interim + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), interim.size());
    cr_assert_eq(it.recorded.heads[0].status, 100);
}

Test(http_reader, request_with_ambiguous_framing_is_refused) {
    const std::vector<std::string> smuggled = {
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
        "GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nX: a\x01b\r\n\r\n",
    };
    for (const auto& text : smuggled) {
        reader_fixture it(http_reader_kind::requests);
        (void)it.feed(text);
        cr_assert_not(it.reader.failure().empty(), "accepted: %s", text.c_str());
    }
}

Test(http_reader, head_over_the_limit_is_refused_as_too_large) {
    reader_fixture it(http_reader_kind::requests);
    (void)it.feed("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2 * max_head_bytes, 'x'));
    cr_assert(it.reader.head_too_large());
}
