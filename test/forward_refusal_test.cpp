// Guards against a refusal that a faulty server writes once more, and that is taken for the refusal
// of a request that runs.
#include "forward_fixture.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using state::execution_rule;

namespace {

const std::string good = "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nContent-Length: 4\r\n\r\nbody";
const std::string refusal = "HTTP/1.1 503 S\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

/// A refusal that does not tell which request it answers.
std::string anonymous_refusal(int status) {
    return "HTTP/1.1 " + std::to_string(status) + " S\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
}

struct refusal_fixture : forward_fixture {
    explicit refusal_fixture(int attempts = 3)
        : forward_fixture(forward_fixture::route(execution_rule::once, attempts)) {}

    /// \returns an id whose request goes to the same server first as that of "q1".
    std::string next_id() {
        for (int i = 2;; ++i) {
            auto id = "q" + std::to_string(i);
            if (&first_choice_of(id) == &first_choice_of("q1"))
                return id;
        }
    }
};

} // namespace

Test(forward_refusal, refusal_without_an_id_on_a_kept_connection_proves_nothing) {
    for (int status : {503, 429, 421, 400}) {
        refusal_fixture it;
        auto id = it.next_id();
        auto& server = it.first_choice_of("q1");
        server.script.push_back({good});
        server.script.push_back({anonymous_refusal(status)});
        it.other_of("q1").script.push_back({good});
        cr_assert_eq(it.fetch_answer().status, 200);
        cr_assert_eq(it.fetch_answer({{"id", id}}).status, 502, "%d", status);
        cr_assert_eq(it.requests_received(), 2U, "the request may run at two servers");
    }
}

Test(forward_refusal, refusal_without_an_id_on_a_new_connection_is_that_of_the_request) {
    refusal_fixture it;
    it.first_choice_of("q1").script.push_back({anonymous_refusal(503)});
    it.other_of("q1").script.push_back({good});
    cr_assert_eq(it.fetch_answer().status, 200);
}

Test(forward_refusal, request_is_sent_to_the_same_server_again_on_a_new_connection) {
    refusal_fixture it;
    auto& server = it.first_choice_of("q1");
    // The second refusal of the first try lies there before the request is sent again.
    server.script.push_back({refusal});
    it.other_of("q1").script.push_back({refusal});
    server.script.push_back({good});
    (void)it.fetch_answer();
    cr_assert_eq(server.requests.size() + it.other_of("q1").requests.size(), 3U);
    cr_assert_eq(it.first.connections() + it.second.connections(), 3U);
}

Test(forward_refusal, repeatable_request_survives_a_doubtful_refusal) {
    forward_fixture it(forward_fixture::route(execution_rule::repeatable, 2));
    auto id = std::string("q1");
    auto& server = it.first_choice_of(id);
    server.script.push_back({good});
    server.script.push_back({anonymous_refusal(503)});
    it.other_of(id).script.push_back({good});
    cr_assert_eq(it.fetch_answer().status, 200);
    cr_assert_eq(it.fetch_answer().status, 200);
}
