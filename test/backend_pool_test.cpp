#include "azureyoke/src/transport/backend_pool.h"

#include <criterion/criterion.h>

#include "forward_fixture.h"

using namespace azureyoke;

namespace {

const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct pool_fixture {
    transport::event_loop loop;
    scripted_server server{loop};
    transport::backend_pool pool;

    explicit pool_fixture(const transport::backend_pool_limits& limits = {}) : pool(loop, limits) {
        for (int i = 0; i < 8; ++i)
            server.script.push_back({good});
    }

    /// \brief Sends `n` requests at once and waits for all. \returns the answers that came whole.
    int ask(int n) {
        int open = n;
        int whole = 0;
        for (int i = 0; i < n; ++i)
            transport::fetch(loop, pool, server.at(), {"GET", "/", {}, {}},
                             std::chrono::seconds(20), [&](auto answer) {
                                 --open;
                                 whole += answer && answer->body == "ok" ? 1 : 0;
                             });
        for (bool done = false; !done; done = open == 0)
            loop.turn(true);
        return whole;
    }
};

} // namespace

Test(backend_pool, kept_connection_carries_the_next_request) {
    pool_fixture it;
    cr_assert_eq(it.ask(1), 1);
    cr_assert_eq(it.ask(1), 1);
    cr_assert_eq(it.server.connections(), 1U);
}

Test(backend_pool, connections_that_idled_for_too_long_are_closed_and_not_used) {
    transport::backend_pool_limits limits;
    limits.longest_idle = transport::duration(0);
    pool_fixture it(limits);
    cr_assert_eq(it.ask(3), 3);
    cr_assert_eq(it.ask(1), 1, "the last of the idle ones is stale too");
    cr_assert_eq(it.server.connections(), 4U);
}

Test(backend_pool, end_of_the_pool_frees_a_call_that_is_under_way) {
    auto it = std::make_unique<pool_fixture>();
    it->server.script.clear(); // it stays silent
    auto token = std::make_shared<int>(0);
    std::weak_ptr<int> watched = token;
    transport::fetch(it->loop, it->pool, it->server.at(), {"GET", "/", {}, {}},
                     std::chrono::seconds(20), [held = std::move(token)](const auto&) {});
    while (it->server.requests.empty())
        it->loop.turn(true);
    cr_assert_not(watched.expired());
    it.reset();
    cr_assert(watched.expired());
}
