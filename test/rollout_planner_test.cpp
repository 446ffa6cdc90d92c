// Guards against rollouts that take away the last serving replica of a model, order a busy replica
// or never finish.
#include "azureyoke/src/coordination/rollout_planner.h"

#include <algorithm>
#include <random>
#include <set>

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::instant;
using coordination::rollout_action;
using coordination::rollout_planner;
using coordination::rollout_replica;
using coordination::rollout_settings;
using coordination::rollout_step;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant start = instant() + std::chrono::hours(1);

rollout_replica replica(const std::string& name, const std::string& data_centre) {
    return {name, data_centre, {"m"}, "w2", "w1", true, true};
}

/// Simulated replicas that carry out orders after a delay.
class rollout_simulation {
public:
    explicit rollout_simulation(std::vector<rollout_replica> all,
                                coordination::duration loading_time = milliseconds(333))
        : all_(std::move(all)), loading_time_(loading_time), planner_(rollout_settings{}, "dc-a") {}

    /// Advances time by 100 ms. \returns the actions of that step.
    std::vector<rollout_action> step(bool may_issue = true) {
        now_ += milliseconds(100);
        auto actions = planner_.tick(all_, may_issue, now_);
        for (const auto& it : actions) {
            if (it.step == rollout_step::order)
                on_order(it);
        }
        for (auto at = loading_.begin(); at != loading_.end();) {
            if (now_ < at->second) {
                ++at;
                continue;
            }
            find(at->first).weights = "w2";
            find(at->first).serving = true;
            at = loading_.erase(at);
        }
        return actions;
    }

    void run(coordination::duration run_time) {
        for (auto until = now_ + run_time; now_ < until;)
            (void)step();
    }

    rollout_replica& find(const std::string& name) {
        return *std::find_if(all_.begin(), all_.end(),
                             [&](const auto& it) { return it.name == name; });
    }

    /// Replaces the planner by one without state, as after a change of the rollout leader.
    void replace_planner() { planner_ = rollout_planner(rollout_settings{}, "dc-a"); }

    bool finished() const { return !planner_.has_work(all_); }

    const std::vector<rollout_replica>& all() const { return all_; }

    rollout_planner& planner() { return planner_; }

    std::size_t max_loading() const { return max_loading_; }

    std::size_t orders() const { return orders_; }

private:
    void on_order(const rollout_action& it) {
        cr_assert(find(it.replica).idle, "%s was ordered while it had work", it.replica.c_str());
        ++orders_;
        find(it.replica).serving = false;
        loading_.emplace(it.replica, now_ + loading_time_);
        max_loading_ = std::max(max_loading_, loading_.size());
    }

    std::vector<rollout_replica> all_;
    coordination::duration loading_time_;
    rollout_planner planner_;
    instant now_ = start;
    std::map<std::string, instant> loading_;
    std::size_t max_loading_ = 0;
    std::size_t orders_ = 0;
};

int serving(const std::vector<rollout_replica>& all) {
    return static_cast<int>(
        std::count_if(all.begin(), all.end(), [](const auto& it) { return it.serving; }));
}

} // namespace

Test(rollout_planner, all_replicas_of_the_data_centre_change_two_at_a_time) {
    std::vector<rollout_replica> all;
    for (int i = 0; i < 6; ++i)
        all.push_back(replica("r" + std::to_string(i), "dc-a"));
    rollout_simulation simulation(all, seconds(5));
    simulation.run(seconds(60));
    cr_assert(simulation.finished());
    cr_assert_eq(simulation.orders(), 6U);
    cr_assert_eq(simulation.max_loading(), 2U);
}

Test(rollout_planner, last_serving_replica_is_not_changed_until_another_serves) {
    rollout_simulation simulation({replica("r0", "dc-a"), replica("r1", "dc-a")});
    for (int i = 0; i < 400 && !simulation.finished(); ++i) {
        (void)simulation.step();
        cr_assert_geq(serving(simulation.all()), 1);
    }
    cr_assert(simulation.finished());
}

Test(rollout_planner, only_replica_of_a_model_waits_and_reports_the_reason) {
    rollout_simulation simulation({replica("r0", "dc-a")});
    simulation.run(seconds(40));
    cr_assert_eq(simulation.orders(), 0U);
    auto items = simulation.planner().items(simulation.all());
    cr_assert_eq(items.size(), 1U);
    cr_assert_eq(items[0].held_by, "model \"m\" must keep a serving replica");
}

Test(rollout_planner, only_replica_of_the_data_centre_changes_while_another_one_serves) {
    rollout_simulation simulation({replica("r0", "dc-a"), replica("s0", "dc-b")});
    simulation.run(seconds(10));
    cr_assert_eq(simulation.find("r0").weights, "w2");
    // The rollout leader of the other data centre changes s0.
    cr_assert_eq(simulation.find("s0").weights, "w1");
}

Test(rollout_planner, ejected_neighbour_does_not_count_as_serving) {
    auto ejected = replica("r1", "dc-a");
    ejected.serving = false;
    ejected.weights = "w2";
    rollout_simulation simulation({replica("r0", "dc-a"), ejected});
    simulation.run(seconds(20));
    cr_assert_eq(simulation.orders(), 0U);
}

Test(rollout_planner, busy_replica_is_drained_before_the_order) {
    rollout_simulation simulation(
        {replica("r0", "dc-a"), replica("r1", "dc-a"), replica("r2", "dc-a")});
    simulation.find("r0").idle = false;
    auto first = simulation.step();
    cr_assert(std::any_of(first.begin(), first.end(), [](const auto& it) {
        return it == rollout_action{rollout_step::drain, "r0", {}};
    }));
    simulation.run(seconds(30));
    cr_assert_eq(simulation.find("r0").weights, "w1");
    simulation.find("r0").idle = true;
    simulation.run(seconds(30));
    cr_assert(simulation.finished());
}

Test(rollout_planner, nothing_is_ordered_without_the_leases) {
    rollout_simulation simulation({replica("r0", "dc-a"), replica("r1", "dc-a")});
    for (int i = 0; i < 200; ++i)
        cr_assert(simulation.step(false).empty());
}

Test(rollout_planner, new_rollout_leader_finishes_the_changes_of_its_predecessor) {
    std::vector<rollout_replica> all;
    for (int i = 0; i < 5; ++i)
        all.push_back(replica("r" + std::to_string(i), "dc-a"));
    rollout_simulation simulation(all);
    for (int i = 0; i < 20 && !simulation.finished(); ++i) {
        simulation.run(seconds(4));
        simulation.replace_planner();
    }
    cr_assert(simulation.finished());
}

Test(rollout_planner, refused_order_is_sent_again_later) {
    rollout_planner planner(rollout_settings{}, "dc-a");
    std::vector<rollout_replica> all = {replica("r0", "dc-a"), replica("s0", "dc-b")};
    int orders = 0;
    for (auto now = start; now < start + seconds(12); now += milliseconds(100)) {
        for (const auto& it : planner.tick(all, true, now)) {
            if (it.step != rollout_step::order)
                continue;
            ++orders;
            planner.on_order_refused(it.replica, now);
        }
    }
    // Orders start after `min_drain_time`, which is 3 s, and are at least twice `order_interval`
    // apart.
    cr_assert_gt(orders, 3);
    cr_assert_leq(orders, 10);
}

Test(rollout_planner, random_fleets_never_lose_the_last_serving_replica_of_a_model) {
    std::mt19937_64 random(7);
    auto random_between = [&](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    for (int history = 0; history < 200; ++history) {
        std::vector<rollout_replica> all;
        for (int i = 0, n = random_between(1, 8); i < n; ++i) {
            auto made =
                replica("r" + std::to_string(i), random_between(0, 2) == 0 ? "dc-b" : "dc-a");
            made.models.clear();
            for (const char* model : {"m", "n"}) {
                if (random_between(0, 1) == 1)
                    made.models.emplace_back(model);
            }
            all.push_back(made);
        }
        auto models_served = [](const auto& list) {
            std::set<std::string> names;
            for (const auto& it : list) {
                if (it.serving)
                    names.insert(it.models.begin(), it.models.end());
            }
            return names;
        };
        rollout_simulation simulation(all);
        auto initially_served = models_served(all);
        for (int i = 0; i < 300; ++i) {
            auto& changed = simulation.find(
                "r" + std::to_string(random_between(0, static_cast<int>(all.size()) - 1)));
            changed.idle = random_between(0, 9) != 0;
            (void)simulation.step();
            cr_assert(models_served(simulation.all()) == initially_served, "history %d", history);
            cr_assert_leq(simulation.max_loading(), 2U);
        }
    }
}
