// Guards against orders that bring older weights back and against rollouts that never finish, also
// when orders are carried out late.
#include "azureyoke/src/coordination/weights_rollout.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include <criterion/criterion.h>

using namespace azureyoke;
using namespace azureyoke::coordination;

namespace {

constexpr instant start{std::chrono::seconds(100)};
constexpr duration tick_period = std::chrono::milliseconds(100);
constexpr duration allowed = std::chrono::seconds(4);

rollout_server server(const std::string& id, std::int64_t weights, std::int64_t wanted,
                      int load = 0) {
    rollout_server made;
    made.id = id;
    made.model = "m";
    made.weights = weights;
    made.desired = wanted;
    made.load = load;
    return made;
}

/// Simulated servers that carry out orders. Some orders get no answer and are carried out late.
class server_simulation {
public:
    struct state {
        std::int64_t weights = 1;
        std::int64_t orders = 0;
        std::int64_t loading = 0;
        instant loaded_at;
    };

    struct late_order {
        weights_action action;
        instant at;
    };

    server_simulation(int servers, unsigned seed) : random_(seed) {
        for (int i = 0; i < servers; ++i)
            servers_["s" + std::to_string(i)] = {};
    }

    /// \returns when all servers have the newest weights, or `instant::max()` after 60 s.
    instant run(double unanswered_share) {
        for (auto now = start; now < start + std::chrono::seconds(60); now += tick_period) {
            // Newer weights are named three more times while servers change.
            std::int64_t wanted =
                2 + std::min<std::int64_t>(3, (now - start) / std::chrono::seconds(1));
            advance(now);
            bool done =
                wanted == 5 && std::all_of(servers_.begin(), servers_.end(),
                                           [](const auto& it) { return it.second.weights == 5; });
            if (done && late_.empty())
                return now;
            std::vector<rollout_server> list;
            for (const auto& [id, it] : servers_)
                list.push_back(server(id, it.weights, wanted));
            for (const auto& it : rollout_.tick(list, allowed, now))
                perform(it, unanswered_share, now);
        }
        return instant::max();
    }

    std::size_t max_loading() const { return max_loading_; }

    bool regressed() const { return regressed_; }

private:
    void perform(const weights_action& it, double unanswered_share, instant now) {
        auto& target = servers_[it.server];
        if (it.step == weights_step::observe) {
            rollout_.on_observation(it.server, target.orders, target.loading != 0, now);
            return;
        }
        bool unanswered = static_cast<double>(random_() % 1000) < unanswered_share * 1000;
        if (unanswered) {
            late_.push_back({it, now + std::chrono::seconds(2 + random_() % 10)});
            rollout_.on_order(it.server, order_outcome::unanswered, now);
            return;
        }
        rollout_.on_order(it.server, carry_out(it, now), now);
    }

    order_outcome carry_out(const weights_action& it, instant now) {
        auto& target = servers_[it.server];
        if (target.loading != 0 || it.orders != target.orders)
            return order_outcome::conflict;
        if (target.weights == it.weights)
            return order_outcome::already_in_place;
        regressed_ = regressed_ || it.weights < target.weights;
        ++target.orders;
        target.loading = it.weights;
        target.loaded_at = now + std::chrono::milliseconds(320);
        return order_outcome::accepted;
    }

    void advance(instant now) {
        std::erase_if(late_, [&](const auto& it) {
            if (now < it.at)
                return false;
            (void)carry_out(it.action, now);
            return true;
        });
        std::size_t loading = 0;
        for (auto& [id, it] : servers_) {
            if (it.loading != 0 && now >= it.loaded_at)
                it.weights = std::exchange(it.loading, 0);
            loading += it.loading != 0 ? 1 : 0;
        }
        max_loading_ = std::max(max_loading_, loading);
    }

    weights_rollout rollout_{weights_rollout_settings{}};
    std::map<std::string, state> servers_;
    std::vector<late_order> late_;
    std::mt19937 random_;
    std::size_t max_loading_ = 0;
    bool regressed_ = false;
};

} // namespace

Test(weights_rollout, server_is_asked_for_its_count_of_orders_before_the_first_order) {
    weights_rollout rollout({});
    auto first = rollout.tick({server("a", 1, 2)}, allowed, start);
    cr_assert_eq(first.size(), 1U);
    cr_assert(first[0].step == weights_step::observe);
    rollout.on_observation("a", 7, false, start);
    auto second = rollout.tick({server("a", 1, 2)}, allowed, start + tick_period);
    cr_assert(second[0].step == weights_step::order);
    cr_assert_eq(second[0].orders, 7);
    cr_assert_eq(second[0].weights, 2);
}

Test(weights_rollout, servers_with_the_oldest_weights_change_first) {
    weights_rollout_settings settings;
    settings.limiter.min_initial = 1;
    weights_rollout rollout(settings);
    auto actions = rollout.tick({server("a", 2, 3), server("b", 1, 3, 9)}, allowed, start);
    cr_assert_eq(actions.size(), 1U);
    cr_assert_eq(actions[0].server, "b");
}

Test(weights_rollout, among_equal_weights_the_least_loaded_server_changes_first) {
    weights_rollout_settings settings;
    settings.limiter.min_initial = 1;
    weights_rollout rollout(settings);
    auto actions = rollout.tick({server("a", 1, 2, 5), server("b", 1, 2, 1)}, allowed, start);
    cr_assert_eq(actions[0].server, "b");
}

Test(weights_rollout, server_with_the_desired_weights_gets_no_order) {
    weights_rollout rollout({});
    cr_assert(rollout.tick({server("a", 2, 2)}, allowed, start).empty());
    cr_assert(rollout.idle());
}

Test(weights_rollout, versions_named_in_quick_succession_end_on_the_newest) {
    for (unsigned seed = 1; seed <= 50; ++seed) {
        server_simulation simulation(12, seed);
        auto done = simulation.run(0);
        cr_assert(done <= start + std::chrono::seconds(9), "seed %u", seed);
        cr_assert_leq(simulation.max_loading(), 12U / 4);
        cr_assert_not(simulation.regressed());
    }
}

Test(weights_rollout, orders_carried_out_late_never_bring_older_weights_back) {
    for (unsigned seed = 1; seed <= 200; ++seed) {
        server_simulation simulation(12, seed);
        auto done = simulation.run(0.5);
        cr_assert(done != instant::max(), "seed %u did not finish", seed);
        cr_assert_not(simulation.regressed(), "seed %u", seed);
    }
}
