// Guards against streams that go on at another server while the server before still works on them:
// a silent server may not notice that its connection was closed.
#include "forward_fixture.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using state::execution_rule;

namespace {

const std::string head = "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\n";
/// A body that goes on until the connection ends.
const std::string first_event = head + "\r\nid: 1\ndata: a\n\n";
const std::string last_event = head + "Content-Length: 15\r\n\r\nid: 2\ndata: b\n\n";

struct move_fixture : forward_fixture {
    move_fixture() : forward_fixture(stream_route()) { run_ends.holds_runs = true; }

    static state::forward_route stream_route() {
        auto made = route(execution_rule::stream, 3);
        made.resumable = true;
        made.timeout_ms = 4000;
        return made;
    }

    /// The caller's connection, which a test may close.
    struct caller : transport::backend_answer_sink {
        transport::answer_verdict on_head(const transport::http_head& received) override {
            status = received.status;
            return transport::answer_verdict::accept;
        }

        void on_piece(std::string_view piece) override { body += piece; }

        void on_end() override { done = true; }

        void on_failure(const transport::error& /*ec*/) override { done = failed = true; }

        int status = 0;
        std::string body;
        bool done = false;
        bool failed = false;
        std::unique_ptr<transport::backend_call> call;
    };

    std::shared_ptr<caller> send() {
        auto made = std::make_shared<caller>();
        made->call = callers.send(at, {"POST", "/r/x", {{"id", "q1"}}, "body"}, {}, made);
        return made;
    }

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition())
            loop.run_once(true);
    }
};

} // namespace

Test(forward_move, silent_stream_goes_on_elsewhere_only_after_its_run_has_ended) {
    move_fixture it;
    it.first_choice_of("q1").script = {{first_event}};
    it.other_of("q1").script = {{last_event}};
    auto caller = it.send();
    it.run_until([&] { return !it.run_ends.held.empty(); });
    it.wait(std::chrono::milliseconds(500));
    cr_assert_eq(it.requests_received(), 1U, "the server may work on it still");
    cr_assert_eq(it.run_ends.awaited.front().request_id, "q1");
    it.run_ends.held.front()();
    it.run_until([&] { return caller->done; });
    cr_assert_not(caller->failed);
    cr_assert_eq(caller->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

Test(forward_move, stream_whose_run_does_not_end_is_aborted_at_its_deadline) {
    move_fixture it;
    it.first_choice_of("q1").script = {{first_event}};
    auto caller = it.send();
    it.run_until([&] { return caller->done; });
    cr_assert(caller->failed);
    cr_assert_eq(it.requests_received(), 1U);
    it.run_ends.held.front()();
    it.wait(std::chrono::milliseconds(50));
    cr_assert_eq(it.requests_received(), 1U, "its caller is gone");
}

Test(forward_move, stream_whose_caller_leaves_meanwhile_goes_on_nowhere) {
    move_fixture it;
    it.first_choice_of("q1").script = {{first_event}};
    auto caller = it.send();
    it.run_until([&] { return !it.run_ends.held.empty(); });
    caller->call.reset();
    it.wait(std::chrono::milliseconds(50));
    it.run_ends.held.front()();
    it.wait(std::chrono::milliseconds(50));
    cr_assert_eq(it.requests_received(), 1U);
}

Test(forward_move, stream_that_its_server_broke_off_goes_on_at_once) {
    move_fixture it;
    it.first_choice_of("q1").script = {
        {head + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n", true}};
    it.other_of("q1").script = {{last_event}};
    auto caller = it.send();
    it.run_until([&] { return caller->done; });
    cr_assert_not(caller->failed);
    cr_assert(it.run_ends.awaited.empty());
}

Test(forward_move, event_without_end_leaves_a_run_behind) {
    move_fixture it;
    it.first_choice_of("q1").script = {{first_event + std::string(300 * 1024, 'x')}};
    it.other_of("q1").script = {{last_event}};
    auto caller = it.send();
    it.run_until([&] { return !it.run_ends.held.empty(); });
    cr_assert_eq(it.requests_received(), 1U);
    it.run_ends.held.front()();
    it.run_until([&] { return caller->done; });
    cr_assert_not(caller->failed);
}
