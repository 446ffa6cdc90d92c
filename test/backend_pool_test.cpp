// Guards against reuse of expired connections and against calls that leak when the pool is
// destroyed.
#include "azureyoke/src/transport/backend_pool.h"

#include <criterion/criterion.h>

#include "forward_fixture.h"

using namespace azureyoke;

namespace {

const std::string ok_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct pool_fixture {
    transport::event_loop loop;
    scripted_server server{loop};
    transport::backend_pool pool;

    explicit pool_fixture(const transport::backend_pool_limits& limits = {}) : pool(loop, limits) {
        for (int i = 0; i < 8; ++i)
            server.script.push_back({ok_answer});
    }

    /// \brief Sends a request and waits for its answer. \returns the status.
    int fetch(const transport::answer_match& match) {
        int status = 0;
        bool done = false;
        transport::fetch(
            loop, pool, server.at(), {"GET", "/", {}, {}}, std::chrono::seconds(20),
            [&](const auto& answer) {
                done = true;
                status = answer ? answer->status : 0;
            },
            transport::max_fetched_bytes, match);
        while (!done)
            loop.run_once(true);
        return status;
    }

    /// \brief Sends `n` concurrent requests and waits until all have ended.
    /// \returns the number of complete answers.
    int fetch_concurrently(int n) {
        int pending = n;
        int complete = 0;
        for (int i = 0; i < n; ++i)
            transport::fetch(loop, pool, server.at(), {"GET", "/", {}, {}},
                             std::chrono::seconds(20), [&](auto answer) {
                                 --pending;
                                 complete += answer && answer->body == "ok" ? 1 : 0;
                             });
        for (bool done = false; !done; done = pending == 0)
            loop.run_once(true);
        return complete;
    }
};

} // namespace

Test(backend_pool, idle_connection_is_reused_for_the_next_request) {
    pool_fixture it;
    cr_assert_eq(it.fetch_concurrently(1), 1);
    cr_assert_eq(it.fetch_concurrently(1), 1);
    cr_assert_eq(it.server.connections(), 1U);
}

Test(backend_pool, expired_idle_connections_are_closed_and_not_reused) {
    transport::backend_pool_limits limits;
    limits.max_idle_time = transport::duration(0);
    pool_fixture it(limits);
    cr_assert_eq(it.fetch_concurrently(3), 3);
    cr_assert_eq(it.fetch_concurrently(1), 1, "the last idle connection has expired too");
    cr_assert_eq(it.server.connections(), 4U);
}

Test(backend_pool, destroying_the_pool_frees_a_call_in_progress) {
    auto it = std::make_unique<pool_fixture>();
    it->server.script.clear(); // the server never answers
    auto token = std::make_shared<int>(0);
    std::weak_ptr<int> watched = token;
    transport::fetch(it->loop, it->pool, it->server.at(), {"GET", "/", {}, {}},
                     std::chrono::seconds(20), [held = std::move(token)](const auto&) {});
    while (it->server.requests.empty())
        it->loop.run_once(true);
    cr_assert_not(watched.expired());
    it.reset();
    cr_assert(watched.expired());
}

// Guards against servers that take the end of a cancelled call for a caller who still reads.
Test(backend_pool, call_that_is_given_up_resets_its_connection) {
    pool_fixture it;
    it.server.script.clear();
    bool failed = false;
    transport::fetch(it.loop, it.pool, it.server.at(), {"GET", "/", {}, {}},
                     std::chrono::milliseconds(50), [&](auto answer) { failed = !answer; });
    while (it.server.resets + it.server.closes == 0)
        it.loop.run_once(true);
    cr_assert(failed);
    cr_assert_eq(it.server.resets, 1);
}

Test(backend_pool, answer_that_is_not_http_resets_its_connection) {
    pool_fixture it;
    it.server.script = {{"garbage\r\n\r\n"}};
    cr_assert_eq(it.fetch_concurrently(1), 0);
    while (it.server.resets + it.server.closes == 0)
        it.loop.run_once(true);
    cr_assert_eq(it.server.resets, 1);
}

Test(backend_pool, idle_connection_is_closed_in_good_order) {
    transport::backend_pool_limits limits;
    limits.max_idle_time = transport::duration(0);
    pool_fixture it(limits);
    cr_assert_eq(it.fetch_concurrently(1), 1);
    while (it.server.resets + it.server.closes == 0)
        it.loop.run_once(true);
    cr_assert_eq(it.server.closes, 1);
}

// Guards against a copy of the answer that a call got without success, which the server may write
// before its answer to a later call with the same id.
Test(backend_pool, call_uses_no_connection_on_which_its_id_failed) {
    using transport::answer_match;
    for (int status : {400, 421, 429, 500, 503}) {
        pool_fixture it;
        it.server.script.push_front(
            {"HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Length: 0\r\n\r\n"});
        cr_assert_eq(it.fetch(answer_match::by_id("q1")), status);
        cr_assert(it.pool.has_failed(it.server.at(), "q1"));
        cr_assert_not(it.pool.has_idle(it.server.at(), answer_match::by_id("q1")));
        cr_assert_eq(it.fetch(answer_match::by_id("q2")), 200);
        cr_assert_eq(it.server.connections(), 1U, "other ids use the connection");
        cr_assert_eq(it.fetch(answer_match::by_id("q1")), 200);
        cr_assert_eq(it.server.connections(), 2U);
        cr_assert_eq(it.fetch(answer_match::by_id("q1")), 200);
        cr_assert_eq(it.server.connections(), 2U, "the call succeeded on the second one");
    }
}

Test(backend_pool, connection_is_closed_once_it_can_remember_no_more_failed_calls) {
    pool_fixture it;
    auto failures = transport::failed_calls::capacity;
    it.server.script.assign(failures + 1, {"HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"});
    for (std::size_t i = 0; i < failures; ++i)
        (void)it.fetch(transport::answer_match::by_id("q" + std::to_string(i)));
    cr_assert_eq(it.server.connections(), 1U);
    cr_assert_eq(it.pool.idle_connections(), 0U);
    (void)it.fetch(transport::answer_match::by_id("q"));
    cr_assert_eq(it.server.connections(), 2U);
}

Test(backend_pool, call_with_a_connection_of_its_own_shares_it_with_no_other) {
    using transport::answer_match;
    pool_fixture it;
    cr_assert_eq(it.fetch({}), 200);
    cr_assert_eq(it.fetch(answer_match::by_connection()), 200);
    cr_assert_eq(it.server.connections(), 2U);
    cr_assert_eq(it.pool.idle_connections(), 1U);
}
