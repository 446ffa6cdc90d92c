// Guards against rollouts that cut streams, change an engine twice or change more than two at a
// time, also when the rollout leader is paused past its lease.
#include <algorithm>
#include <csignal>
#include <set>

#include <criterion/criterion.h>

#include "standin/load.h"
#include "test/fleet_fixture.h"

using namespace azureyoke;
using nlohmann::json;

namespace {

constexpr int rollout_timeout_ms = 90'000;

struct change_event {
    std::int64_t at_us = 0;
    int step = 0; ///< 1 when a change begins, -1 when it ends.
};

bool all_engines_have(standin::fleet& fleet, const std::string& weights) {
    return std::all_of(fleet.engines().begin(), fleet.engines().end(), [&](const auto& it) {
        return fleet.fetch_json(it.direct, "/load")["weights"] == weights;
    });
}

/// Checks that each engine changed its weights once, after it was drained, and that at most two
/// engines changed at the same time.
void check_changes(standin::fleet& fleet) {
    std::vector<change_event> steps;
    for (const auto& it : fleet.engines()) {
        auto changes = fleet.fetch_json(it.direct, "/stats")["weights_changes"];
        cr_assert_eq(changes.size(), 1U, "%s: %s", it.name.c_str(), changes.dump().c_str());
        cr_assert_eq(changes[0]["jobs_cut"], 0, "%s", changes.dump().c_str());
        steps.push_back({changes[0]["began_us"], 1});
        steps.push_back({changes[0]["ended_us"], -1});
    }
    std::sort(steps.begin(), steps.end(),
              [](const auto& a, const auto& b) { return a.at_us < b.at_us; });
    int changes_in_progress = 0;
    for (const auto& it : steps) {
        changes_in_progress += it.step;
        cr_assert_leq(changes_in_progress, 2);
    }
}

/// \returns the index of the rollout leader: the instance that issues the orders and reports a
/// replica under change; the number of instances when no instance does.
std::size_t rollout_leader(standin::fleet& fleet) {
    for (std::size_t i = 0; i < fleet.instances().size(); ++i) {
        auto status = fleet.fetch_json(fleet.instances()[i].operators, "/status");
        for (const auto& it : status["rollout"]) {
            if (it["phase"] != "waiting")
                return i;
        }
    }
    return fleet.instances().size();
}

standin::load_options steady_load(standin::fleet& fleet, double seconds) {
    standin::load_options options;
    options.targets = fleet.callers();
    options.keys = {{"returns", fleet.key("returns")}, {"disputes", fleet.key("disputes")}};
    options.seconds = seconds;
    options.requests_per_second = 30;
    options.tokens = 20;
    options.prompt_bytes = 4000;
    options.seed = 3;
    return options;
}

} // namespace

Test(rollout, document_with_new_weights_changes_every_replica_and_cuts_no_stream, .timeout = 150) {
    fleet_fixture fleet;
    fleet->set_weights("w2");
    cr_assert_eq(fleet->apply_document(), 0);
    cr_assert(fleet->wait_in_force(10'000));
    auto result = standin::run_load(fleet->loop(), fleet->client(), steady_load(*fleet, 30));
    cr_assert(
        fleet->wait_until([&] { return all_engines_have(*fleet, "w2"); }, rollout_timeout_ms));
    check_changes(*fleet);
    cr_assert_eq(result.broken, 0, "%s", standin::to_json(result).c_str());
    cr_assert(result.refused.empty());
    cr_assert_eq(result.whole, result.sent);
    cr_assert_gt(result.sent, 500);
}

Test(rollout, successor_finishes_after_the_rollout_leader_is_paused_past_its_lease,
     .timeout = 240) {
    standin::fleet_options options;
    options.instances = 4;
    options.engines = 6;
    options.engines_check_fencing_token = false;
    fleet_fixture fleet(options);
    fleet->set_weights("w2");
    cr_assert_eq(fleet->apply_document(), 0);
    std::size_t leader = 4;
    cr_assert(fleet->wait_until([&] { return (leader = rollout_leader(*fleet)) < 4; }, 30'000));
    fleet->instances()[leader].child->signal(SIGSTOP);
    auto resume = fleet->loop().after(std::chrono::seconds(20),
                                      [&] { fleet->instances()[leader].child->signal(SIGCONT); });
    cr_assert(
        fleet->wait_until([&] { return all_engines_have(*fleet, "w2"); }, rollout_timeout_ms * 2));
    check_changes(*fleet);
}
