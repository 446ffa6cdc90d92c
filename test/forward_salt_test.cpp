// Guards against requests that are sent with the cache salt of another policy, or without any.
#include "forward_fixture.h"

#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace azureyoke;
using state::execution_rule;

namespace {

const std::string good = "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: 1\r\nContent-Length: 4\r\n\r\ndone";

/// Servers with the model `m`, whose weights may not be known, and the workspaces `w` and `wall`.
struct salt_fixture : forward_fixture {
    salt_fixture() : forward_fixture(forward_fixture::route(execution_rule::once, 1)) {
        set_policy(2, false);
        for (int i = 0; i < 3; ++i)
            script({good});
    }

    void set_weights(std::int64_t version) {
        for (const char* id : {"a", "b"}) {
            auto server = *state->directory.find(id);
            server.models = {{"m", version}};
            state->directory.put(server, loop.now());
        }
    }

    /// \returns the shared salt of the policy.
    std::string set_policy(std::int64_t version, bool isolated) {
        state::forward_workspace other;
        other.name = "w";
        state::forward_workspace wall;
        wall.name = "wall";
        wall.isolated = isolated;
        auto policy = std::make_shared<const state::traffic_policy>(
            version, std::vector{forward_fixture::route(execution_rule::once, 1)},
            std::vector<state::server_pool>{{"p", 0, 0, {"m"}, {}}}, std::vector{other, wall},
            state::caller_bounds());
        (void)state->set_policy({policy, ""}, loop.now());
        return policy->shared_cache_salt();
    }

    /// Sends a request. \returns the salt that a server got; empty without one.
    std::string salt_of(const std::string& id) {
        cr_assert_eq(fetch_answer({{"id", id}, {"model", "m"}}).status, 200);
        for (const auto* server : {&first, &second}) {
            for (const auto& it : server->requests) {
                if (transport::find_field(it.fields, "id") == id)
                    return transport::find_field(it.fields, "salt").value_or("");
            }
        }
        return {};
    }
};

} // namespace

Test(forward_salt, request_that_waits_while_a_workspace_is_isolated_gets_the_new_salt) {
    salt_fixture it;
    it.set_weights(1);
    it.permits.limited = {"a", "b"};
    it.permits.holds_requests = true;
    std::string shared;
    auto change = it.loop.after(std::chrono::milliseconds(100), [&] {
        shared = it.set_policy(3, true);
        it.permits.held.front()(true);
    });
    auto salt = it.salt_of("q1");
    cr_assert_neq(shared, "");
    cr_assert_eq(salt, shared + "#1");
}

// Guards against requests without a salt, which share their parts with all others: isolated
// workspaces, and requests that run on other weights.
Test(forward_salt, request_for_unknown_weights_shares_no_cache) {
    salt_fixture it;
    auto first_salt = it.salt_of("q1");
    cr_assert_neq(first_salt, "");
    cr_assert_neq(it.salt_of("q2"), first_salt);
    it.set_weights(1);
    cr_assert_eq(it.salt_of("q3"), "#1");
}
