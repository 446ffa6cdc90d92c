// Guards against malformed engine streams and reports that are accepted or crash the parsers.
#include "azureyoke/src/protocol/engine_api.h"

#include <random>

#include <criterion/criterion.h>

#include "azureyoke/src/protocol/sse_decoder.h"

using namespace azureyoke;

namespace {

const std::string event_text =
    R"({"id":"r","position":3,"weights":"w1","choices":[{"index":0,"text":"t","finish_reason":"length"}],)"
    R"("usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":8}}})";

} // namespace

Test(engine_api, all_fields_of_a_stream_event_are_read) {
    auto event = protocol::parse_engine_event(event_text);
    cr_assert(event.has_value());
    cr_assert_eq(event->request_id, "r");
    cr_assert_eq(event->position, 3);
    cr_assert_eq(event->finish_reason, "length");
    cr_assert_eq(event->usage->cached_tokens, 8);
}

Test(engine_api, malformed_events_and_reports_are_rejected) {
    for (const char* text :
         {"", "[]", "{}", R"({"position":-1,"choices":[{}]})", R"({"position":1,"choices":[]})",
          R"({"position":"1","choices":[{}]})"})
        cr_assert_not(protocol::parse_engine_event(text).has_value(), "%s", text);
    for (const char* text : {"{}", R"({"incarnation":"a","queued_tokens":-1,"running":0})"})
        cr_assert_not(protocol::parse_engine_report(text).has_value(), "%s", text);
    cr_assert_not(protocol::parse_engine_events(R"({"incarnation":"a","events":[{"number":1}]})")
                      .has_value());
}

Test(engine_api, cache_events_are_read_in_order) {
    auto page = protocol::parse_engine_events(
        R"({"incarnation":"a","events":[{"number":4,"kind":"stored","piece":18446744073709551615},)"
        R"({"number":6,"kind":"removed","piece":7}]})");
    cr_assert(page.has_value());
    cr_assert_eq(page->events.size(), 2U);
    cr_assert_eq(page->events[0].piece, UINT64_MAX);
    cr_assert_not(page->events[1].stored);
}

Test(engine_api, result_does_not_depend_on_chunk_boundaries) {
    std::string stream = "data: one\r\n\r\n: comment\ndata: two\ndata: more\n\ndata: [DONE]\n\n";
    protocol::sse_decoder whole(1000);
    auto expected = whole.feed(stream);
    cr_assert_eq(expected.size(), 3U);
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        protocol::sse_decoder decoder(1000);
        auto events = decoder.feed(stream.substr(0, cut));
        for (const auto& it : decoder.feed(stream.substr(cut)))
            events.push_back(it);
        cr_assert(events == expected);
    }
}

Test(engine_api, event_above_the_limit_stops_decoding) {
    protocol::sse_decoder decoder(10);
    cr_assert(decoder.feed("data: much longer than ten bytes").empty());
    cr_assert(decoder.failed());
    cr_assert(decoder.feed("\n\ndata: x\n\n").empty());
}

// Fuzzes the parsers of engines' streams with a fixed corpus and seed.
Test(engine_api, mutated_streams_never_crash_the_parsers) {
    std::mt19937_64 random(20261203);
    for (int i = 0; i < 20'000; ++i) {
        auto text = "data: " + event_text + "\n\n";
        for (int k = 0; k < 3; ++k)
            text[random() % text.size()] = static_cast<char>(random());
        protocol::sse_decoder decoder(4096);
        for (const auto& data : decoder.feed(text)) {
            auto event = protocol::parse_engine_event(data);
            if (event)
                cr_assert_geq(event->position, 0);
        }
    }
}
