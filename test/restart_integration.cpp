// Guards against restarts that cut requests, lose parts of the share or start with a cold router.
#include <algorithm>
#include <csignal>
#include <vector>

#include <criterion/criterion.h>

#include "standin/load.h"
#include "standin/rolling_restart.h"
#include "test/fleet_fixture.h"

using namespace azureyoke;

namespace {

/// \returns the sum of the share parts that the instances of `data_centre` may spend, in
/// millionths, or -1 when an instance does not answer.
std::int64_t sum_of_share_parts(standin::fleet& fleet, const std::string& data_centre) {
    std::int64_t sum = 0;
    for (const auto& it : fleet.instances()) {
        if (it.data_centre != data_centre)
            continue;
        auto status = fleet.fetch_json(it.operators, "/status");
        if (status.is_null())
            return -1;
        sum += status["share_part_millionths"].get<std::int64_t>();
    }
    return sum;
}

} // namespace

Test(restart, every_instance_replaced_under_load_cuts_nothing_and_starts_warm, .timeout = 180) {
    constexpr std::int64_t whole_share = 1'000'000;
    // A difference below a hundredth of the share does not cause a write of the grant row.
    constexpr std::int64_t min_written_change = 10'000;
    constexpr double min_hit_rate_ratio = 0.95;
    standin::fleet_options options;
    options.instances = 4;
    fleet_fixture fleet(options);
    standin::load_options load;
    load.targets = fleet->callers();
    load.keys = {{"returns", fleet->key("returns")}, {"disputes", fleet->key("disputes")}};
    load.requests_per_second = 30;
    load.seconds = 5;
    (void)standin::run_load(fleet->loop(), fleet->client(), load);
    ++load.seed;
    auto before = standin::run_load(fleet->loop(), fleet->client(), load);

    standin::rolling_restart restart(*fleet, load.targets);
    std::int64_t sent = 0;
    while (!restart.done()) {
        ++load.seed;
        auto result = standin::run_load(fleet->loop(), fleet->client(), load);
        sent += result.sent;
        cr_expect_eq(result.whole, result.sent, "%s", standin::to_json(result).c_str());
    }
    cr_assert_not(restart.failed());
    cr_assert_gt(sent, 100);

    ++load.seed;
    auto after = standin::run_load(fleet->loop(), fleet->client(), load);
    cr_assert_eq(after.whole, after.sent, "%s", standin::to_json(after).c_str());
    cr_assert_geq(after.hit_rate, min_hit_rate_ratio * before.hit_rate);
    bool conserved = fleet->wait_until(
        [&] {
            auto sum = sum_of_share_parts(*fleet, "dc-a");
            cr_assert_leq(sum, whole_share);
            return sum >= whole_share - min_written_change;
        },
        20'000);
    cr_assert(conserved);
}

Test(restart, all_instances_killed_at_once_restore_their_router_snapshots, .timeout = 120) {
    constexpr double min_hit_rate_ratio = 0.95;
    constexpr double initial_speed = 8000; // the estimate of a router without any observation
    fleet_fixture fleet;
    standin::load_options load;
    load.targets = fleet->callers();
    load.keys = {{"returns", fleet->key("returns")}, {"disputes", fleet->key("disputes")}};
    load.requests_per_second = 30;
    load.seconds = 5;
    auto before = standin::run_load(fleet->loop(), fleet->client(), load);
    auto prompt_speeds = [&] {
        std::vector<double> list;
        for (const auto& it : fleet->instances()) {
            auto status = fleet->fetch_json(it.operators, "/status");
            for (const auto& replica : status["replicas"])
                list.push_back(replica["prompt_tokens_per_second"]);
        }
        return list;
    };
    auto speeds_before = prompt_speeds();
    (void)fleet->wait_until([] { return false; }, 1500); // the snapshot is saved meanwhile
    for (auto& it : fleet->instances())
        it.child->signal(SIGKILL);
    for (std::size_t i = 0; i < fleet->instances().size(); ++i) {
        fleet->instances()[i].child->wait();
        fleet->start_instance(i);
    }
    cr_assert(fleet->wait_in_force(30'000));
    bool restored = fleet->wait_until(
        [&] {
            auto now = prompt_speeds();
            return now.size() == speeds_before.size() &&
                   std::none_of(now.begin(), now.end(),
                                [](double it) { return it == initial_speed; });
        },
        10'000);
    cr_assert(restored);
    ++load.seed;
    auto after = standin::run_load(fleet->loop(), fleet->client(), load);
    cr_assert_eq(after.whole, after.sent, "%s", standin::to_json(after).c_str());
    cr_assert_geq(after.hit_rate, min_hit_rate_ratio * before.hit_rate);
}
