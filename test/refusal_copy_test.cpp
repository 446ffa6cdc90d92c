// Guards against the copy of a refusal that hides a run: it bears the id of the refused request, so
// that on the same connection it is taken for the answer to a later send of that request.
#include <array>
#include <map>
#include <random>
#include <string>

#include <criterion/criterion.h>

#include "test/copying_server.h"
#include "test/forward_fixture.h"

using namespace azureyoke;
using state::execution_rule;

namespace {

/// An instance before copying servers, and a helper for the time in which it reaches none.
struct copy_world : forward_fixture {
    explicit copy_world(const std::function<copy_plan()>& next)
        : forward_fixture(forward_fixture::route(execution_rule::once, 3)),
          a(loop, "a", copying_server::role::backend, next),
          b(loop, "b", copying_server::role::backend, next),
          helper(loop, "helper", copying_server::role::helper, next) {
        register_servers({&a, &b});
    }

    void register_servers(const std::vector<const copying_server*>& list) const {
        state->directory.replace_all({}, loop.now());
        for (const auto* it : list)
            add(it->name(), it->at());
    }

    /// From now on requests go to the helper, again after each of its refusals.
    void lose_path() {
        paths.is_lost = true;
        paths.helpers.assign(1000, {"helper", helper.at()});
    }

    void send(const std::string& id) {
        ++open;
        ++counts[id].sends;
        transport::fetch(loop, callers, at, {"POST", "/r/x", {{"id", id}}, "body"},
                         std::chrono::seconds(20), [this, id](const auto& answer) {
                             --open;
                             on_status(id, answer ? answer->status : 0);
                         });
    }

    void on_status(const std::string& id, int status) {
        bool refused = status == 503 || status == 429 || status == 408 || status == 421;
        counts[id].refusals += refused ? 1 : 0;
        served += status == 200 ? 1 : 0;
        unknown += !refused && status != 200 ? 1 : 0;
    }

    void finish() {
        while (open > 0)
            loop.run_once(true);
    }

    /// \returns the first broken promise, or an empty text.
    std::string broken_promise() const {
        std::map<std::string, int> runs;
        for (const auto* server : {&a, &b, &helper}) {
            for (const auto& id : server->runs)
                ++runs[id];
        }
        for (const auto& [id, n] : runs) {
            const auto& sent = counts.at(id);
            if (n > sent.sends - sent.refusals)
                return id + " was sent " + std::to_string(sent.sends) + " times, refused " +
                       std::to_string(sent.refusals) + " times and ran " + std::to_string(n) +
                       " times";
        }
        return {};
    }

    struct request_count {
        int sends = 0; ///< By the caller.
        int refusals = 0;
    };

    copying_server a;
    copying_server b;
    copying_server helper;
    std::map<std::string, request_count> counts; ///< By id.
    int open = 0;
    int served = 0;
    int unknown = 0; ///< Answers that tell neither a result nor that the request did not run.
};

/// Refuses the first `refusals` requests and runs the others.
std::function<copy_plan()> refuse_first(int refusals) {
    return [refusals, number = 0]() mutable { return copy_plan{++number <= refusals ? 503 : 0}; };
}

} // namespace

Test(refusal_copy, request_that_comes_again_at_the_same_server_runs_once) {
    copy_world it(refuse_first(2));
    it.register_servers({&it.a});
    it.send("q1");
    it.finish();
    cr_assert_eq(it.served, 1);
    cr_assert_eq(it.a.runs.size(), 1U);
}

// The 421 of the first send stays behind on a connection that is kept by address.
Test(refusal_copy, request_that_comes_again_at_a_server_with_a_new_name_runs_once) {
    copy_world* world = nullptr;
    int number = 0;
    copy_world it([&] {
        if (++number == 2) {
            world->register_servers({&world->a, &world->b});
            return copy_plan{503};
        }
        return copy_plan{};
    });
    world = &it;
    it.add("a", it.a.at());
    bool a_first = &it.first_choice_of("q1") == &it.first;
    auto& replaced = a_first ? it.a : it.b;
    replaced.rename("c");
    it.send("q1");
    it.finish();
    cr_assert_eq(it.broken_promise(), "");
    cr_assert_eq(it.served, 1);
    cr_assert_eq(replaced.runs.size(), 1U);
}

Test(refusal_copy, request_that_its_caller_sends_again_runs_once) {
    bool refuses = true;
    copy_world it([&] { return copy_plan{refuses ? 503 : 0}; });
    it.send("q1");
    it.finish();
    cr_assert_eq(it.counts["q1"].refusals, 1);
    refuses = false;
    it.send("q1");
    it.finish();
    cr_assert_eq(it.broken_promise(), "");
    cr_assert_eq(it.served, 1);
}

Test(refusal_copy, request_that_is_handed_on_to_the_same_helper_again_runs_once) {
    bool refuses = true;
    copy_world it([&] { return copy_plan{refuses ? 503 : 0}; });
    it.lose_path();
    it.send("q1"); // refused by the helper, and then by the servers
    it.finish();
    cr_assert_eq(it.counts["q1"].refusals, 1);
    refuses = false;
    it.send("q1");
    it.finish();
    cr_assert_eq(it.broken_promise(), "");
    cr_assert_eq(it.served, 1);
    cr_assert_eq(it.helper.runs.size(), 1U);
}

Test(refusal_copy, copies_at_random_hide_no_run_and_cast_no_doubt) {
    constexpr std::array refusals = {503, 429, 421, 408, 400};
    int copies = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        copy_world it([&] {
            return copy_plan{random() % 2 == 0 ? refusals[random() % refusals.size()] : 0,
                             random() % 4 == 0};
        });
        int names = 0;
        for (int i = 0; i < 150; ++i) {
            it.send("q" + std::to_string(random() % 12));
            for (auto turns = random() % 12; turns > 0; --turns)
                it.loop.run_once(false);
            if (random() % 8 == 0) // registered later
                (random() % 2 == 0 ? it.a : it.b).rename("s" + std::to_string(++names));
            if (random() % 8 == 0)
                it.register_servers({&it.a, &it.b});
            if (random() % 8 == 0)
                it.lose_path();
            else if (random() % 8 == 0)
                it.paths.is_lost = false;
            if (random() % 16 == 0)
                it.wait(std::chrono::milliseconds(2));
        }
        it.finish();
        auto broken = it.broken_promise();
        cr_assert(broken.empty(), "seed %u: %s", seed, broken.c_str());
        cr_assert_eq(it.unknown, 0, "seed %u: %d sound refusals were doubted", seed, it.unknown);
        copies += it.a.copies + it.b.copies + it.helper.copies;
    }
    cr_log_info("%d copies of answers before a request of the same id", copies);
}
