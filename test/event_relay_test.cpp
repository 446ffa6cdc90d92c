// Guards against incomplete, repeated or lost events when a stream continues at another server.
#include "azureyoke/src/coordination/event_relay.h"

#include <random>

#include <criterion/criterion.h>

using azureyoke::coordination::event_relay;

Test(event_relay, event_is_forwarded_only_when_complete) {
    event_relay relay;
    cr_assert_eq(relay.append("id: 1\ndata: a\n"), "");
    cr_assert_eq(relay.last_id(), "");
    cr_assert_eq(relay.append("\nid: 2\nda"), "id: 1\ndata: a\n\n");
    cr_assert_eq(relay.last_id(), "1");
}

Test(event_relay, incomplete_event_of_a_failed_server_is_replaced_by_the_next_servers_event) {
    event_relay relay;
    (void)relay.append("id: 1\ndata: a\n\nid: 2\ndata: b");
    relay.restart();
    cr_assert_eq(relay.append("id: 2\ndata: bb\n\n"), "id: 2\ndata: bb\n\n");
}

Test(event_relay, event_that_was_already_forwarded_is_dropped) {
    event_relay relay;
    (void)relay.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    relay.restart();
    cr_assert_eq(relay.append("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"), "id: 3\ndata: c\n\n");
    cr_assert_eq(relay.last_id(), "3");
}

Test(event_relay, lines_ending_in_carriage_returns_are_parsed) {
    event_relay relay;
    cr_assert_eq(relay.append("id: 7\r\ndata: a\r\n\r\n"), "id: 7\r\ndata: a\r\n\r\n");
    cr_assert_eq(relay.last_id(), "7");
}

Test(event_relay, remaining_bytes_of_a_stream_that_ended_normally_are_returned) {
    event_relay relay;
    (void)relay.append("id: 1\ndata: a\n\ntail");
    cr_assert_eq(relay.take_incomplete(), "tail");
}

Test(event_relay, events_are_the_same_however_their_bytes_are_cut) {
    const std::string text = "id: 1\ndata: a\n\n:\n\n\n\nid: 2\r\ndata: b\r\n\r\n\r\n\r\nid: "
                             "3\ndata: c\r\n\nid: 4\n\r\ndata: d\n\nid: 5\r\n\r\nid: 6\ndata";
    event_relay whole;
    auto expected = whole.append(text);
    std::mt19937 random(1);
    for (int i = 0; i < 2000; ++i) {
        event_relay relay;
        std::string out;
        for (std::size_t at = 0; at < text.size();) {
            auto n = 1 + random() % 9;
            out += relay.append(std::string_view(text).substr(at, n));
            at += n;
        }
        cr_assert_eq(out, expected);
        cr_assert_eq(relay.last_id(), whole.last_id());
        cr_assert_eq(relay.take_incomplete(), "id: 6\ndata");
    }
}

// Guards against a server that occupies an instance with small events: each was searched for in all
// bytes that had come.
Test(event_relay, time_for_small_events_is_proportional_to_their_bytes, .timeout = 10) {
    std::string comments;
    while (comments.size() < 4 * 1024 * 1024)
        comments += ":\n\n";
    event_relay relay;
    cr_assert_eq(relay.append(comments).size(), comments.size());
}

Test(event_relay, time_for_a_long_event_is_proportional_to_its_bytes, .timeout = 10) {
    event_relay relay;
    (void)relay.append("data: ");
    for (std::size_t i = 0; i < event_relay::max_event_bytes; ++i)
        (void)relay.append("x");
    cr_assert_eq(relay.append("\n\n").size(), event_relay::max_event_bytes + 8);
}

Test(event_relay, comments_are_forwarded_and_are_no_events) {
    event_relay relay;
    cr_assert_eq(relay.append(":\n\n: waits\n:\r\n\r\n\n\n"), ":\n\n: waits\n:\r\n\r\n\n\n");
    cr_assert_eq(relay.events(), 0U);
    (void)relay.append(":\nid: 1\ndata: a\n\ndata: b\n\n");
    cr_assert_eq(relay.events(), 2U);
}

Test(event_relay, comments_without_end_exceed_the_limit_and_events_without_end_do_not) {
    event_relay relay;
    std::string comments;
    while (comments.size() < event_relay::max_event_bytes / 2)
        comments += ":\n\n";
    for (int i = 0; i < 20; ++i) {
        (void)relay.append(comments);
        cr_assert_not(relay.exceeds_limit());
        (void)relay.append("data: a\n\n");
    }
    (void)relay.append(comments);
    (void)relay.append(comments + ":\n\n");
    cr_assert(relay.exceeds_limit());
    relay.restart();
    cr_assert_not(relay.exceeds_limit());
}
