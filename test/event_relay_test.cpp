// Guards against incomplete, repeated or lost events when a stream continues at another server.
#include "azureyoke/src/coordination/event_relay.h"

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
