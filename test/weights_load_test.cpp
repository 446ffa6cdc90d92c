// Guards against rollouts that miss their time limit, or take too many servers out of service, when
// concurrent loads slow each other down.
#include "azureyoke/src/coordination/weights_rollout.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace azureyoke;
using namespace azureyoke::coordination;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick_period = milliseconds(100);
constexpr std::size_t report_lag = 3; ///< Age of a server's reports, in ticks.

struct loading_fleet {
    int servers = 9;
    int full_speed_loads = 2; ///< Concurrent loads that take no longer than a single one.
    duration load = milliseconds(1800);
    /// Time within which all servers must have newly named weights.
    duration limit = seconds(15);
    std::vector<duration> namings;   ///< Times of versions 2, 3, and so on, from the start.
    std::string unresponsive_server; ///< A server that stops answering once it loads.
};

/// Simulated servers that share the bandwidth of one source of weights, and one rollout leader.
class loading_simulation {
public:
    explicit loading_simulation(const loading_fleet& fleet) : fleet_(fleet) {
        for (int i = 0; i < fleet.servers; ++i)
            servers_["s" + std::to_string(i)] = {};
    }

    void run(duration run_time) {
        for (now_ = start; now_ < start + run_time; now_ += tick_period) {
            while (versions() - 1 < static_cast<std::int64_t>(fleet_.namings.size()) &&
                   now_ - start >= fleet_.namings[static_cast<std::size_t>(versions() - 1)])
                named_at_.push_back(now_);
            advance();
            std::vector<rollout_server> list;
            for (const auto& [id, it] : servers_)
                list.push_back(observed_state(id, it));
            for (const auto& it : rollout_.tick(list, fleet_.limit * 65 / 100, now_))
                perform(it);
        }
    }

    /// \returns how long after its naming all servers had `version` or a newer one.
    duration in_place_after(std::int64_t version) const {
        auto found = in_place_at_.find(version);
        return found == in_place_at_.end()
                   ? duration::max()
                   : found->second - named_at_[static_cast<std::size_t>(version - 1)];
    }

    int loads() const { return loads_; }

    int orders() const { return orders_; }

    std::size_t max_loading(duration from = {}) const {
        std::size_t most = 0;
        for (const auto& [at, n] : loading_at_)
            most = at >= start + from ? std::max(most, n) : most;
        return most;
    }

private:
    struct server {
        std::int64_t weights = 1;
        std::int64_t orders = 0;
        std::int64_t loading = 0;
        double left_s = 0; ///< Seconds left of the current load at full speed.
    };

    std::int64_t versions() const { return static_cast<std::int64_t>(named_at_.size()); }

    rollout_server observed_state(const std::string& id, const server& it) const {
        rollout_server made;
        made.id = id;
        made.model = "m";
        made.weights = it.weights;
        made.desired = versions();
        if (it.weights < versions())
            made.replaced_at = named_at_[static_cast<std::size_t>(it.weights)];
        if (it.weights > 1 && it.weights < versions())
            made.time_as_newest =
                made.replaced_at - named_at_[static_cast<std::size_t>(it.weights - 1)];
        return made;
    }

    void perform(const weights_action& it) {
        auto& target = servers_[it.server];
        if (it.server == fleet_.unresponsive_server && target.loading != 0)
            return;
        if (it.step == weights_step::observe) {
            auto reported = report(it.server);
            rollout_.on_observation(it.server, reported.orders, reported.loading != 0, now_);
            return;
        }
        ++orders_;
        if (target.loading != 0 || it.orders != target.orders) {
            rollout_.on_order(it.server, order_outcome::conflict, now_);
            return;
        }
        ++target.orders;
        ++loads_;
        target.loading = it.weights;
        target.left_s = to_seconds(fleet_.load);
        rollout_.on_order(it.server, order_outcome::accepted, now_);
    }

    /// \returns the server's report, which is `report_lag` ticks old.
    const server& report(const std::string& id) const {
        const auto& past = past_.at(id);
        return past.size() > report_lag ? past[past.size() - 1 - report_lag] : past.front();
    }

    void advance() {
        std::size_t loading = 0;
        for (const auto& [id, it] : servers_)
            loading += it.loading != 0 ? 1 : 0;
        double speed =
            std::min(1.0, fleet_.full_speed_loads / std::max(1.0, static_cast<double>(loading)));
        for (auto& [id, it] : servers_) {
            if (it.loading == 0 || id == fleet_.unresponsive_server)
                continue;
            it.left_s -= speed * to_seconds(tick_period);
            if (it.left_s <= 1e-6)
                it.weights = std::exchange(it.loading, 0);
        }
        for (const auto& [id, it] : servers_)
            past_[id].push_back(it);
        loading_at_[now_] = loading;
        auto oldest = std::min_element(servers_.begin(), servers_.end(), [](auto& a, auto& b) {
                          return a.second.weights < b.second.weights;
                      })->second.weights;
        for (std::int64_t version = 2; version <= oldest; ++version)
            in_place_at_.emplace(version, now_);
    }

    static constexpr instant start{seconds(100)};

    loading_fleet fleet_;
    weights_rollout rollout_{weights_rollout_settings{}};
    instant now_ = start;
    std::map<std::string, server> servers_;
    std::vector<instant> named_at_ = {start - std::chrono::hours(1)};
    std::map<std::int64_t, instant> in_place_at_;
    std::map<instant, std::size_t> loading_at_;
    std::map<std::string, std::vector<server>> past_; ///< States by tick.
    int loads_ = 0;
    int orders_ = 0;
};

void expect_in_time(const loading_simulation& simulation, const loading_fleet& fleet) {
    for (std::size_t i = 0; i < fleet.namings.size(); ++i) {
        auto version = static_cast<std::int64_t>(i) + 2;
        cr_assert_leq(to_seconds(simulation.in_place_after(version)), to_seconds(fleet.limit),
                      "version %d is late", static_cast<int>(version));
    }
}

} // namespace

Test(weights_load, three_quarters_keep_serving_during_quick_successive_versions) {
    loading_fleet fleet;
    fleet.namings = {seconds(0), seconds(3), seconds(7), seconds(11)};
    loading_simulation simulation(fleet);
    simulation.run(seconds(40));
    cr_assert_leq(simulation.max_loading(), 2U);
    expect_in_time(simulation, fleet);
}

Test(weights_load, server_loads_at_most_twice_during_quick_successive_versions) {
    // One load replaces the oldest weights in time. The second loads the last version, which is
    // named before the time limit of the second version ends.
    loading_fleet fleet;
    fleet.limit = seconds(20);
    fleet.namings = {seconds(0), seconds(3), seconds(7), seconds(11)};
    loading_simulation simulation(fleet);
    simulation.run(seconds(40));
    cr_assert_leq(simulation.loads(), 2 * fleet.servers);
}

Test(weights_load, server_that_accepted_an_order_gets_no_second_one) {
    loading_fleet fleet;
    fleet.namings = {seconds(0)};
    loading_simulation simulation(fleet);
    simulation.run(seconds(40));
    cr_assert_eq(simulation.orders(), fleet.servers);
}

Test(weights_load, large_fleets_have_the_weights_in_time) {
    loading_fleet fleet;
    fleet.namings = {seconds(0)};
    fleet.servers = 57;
    fleet.full_speed_loads = 11;
    fleet.limit = seconds(20);
    loading_simulation middle(fleet);
    middle.run(seconds(40));
    expect_in_time(middle, fleet);
    fleet.servers = 117;
    fleet.full_speed_loads = 23;
    fleet.load = milliseconds(320);
    fleet.limit = seconds(8);
    loading_simulation large(fleet);
    large.run(seconds(40));
    expect_in_time(large, fleet);
    cr_assert_leq(large.max_loading(), 117U / 4);
}

Test(weights_load, source_that_sustains_few_loads_soon_gets_few_at_the_same_time) {
    loading_fleet fleet;
    fleet.namings = {seconds(0)};
    fleet.servers = 40;
    fleet.limit = seconds(120);
    loading_simulation simulation(fleet);
    simulation.run(seconds(60));
    cr_assert_leq(simulation.max_loading(seconds(15)), 4U);
    cr_assert_leq(to_seconds(simulation.in_place_after(2)), 40 * 1.8 / 2 * 1.25);
}

Test(weights_load, unresponsive_server_does_not_delay_the_others) {
    loading_fleet fleet;
    fleet.namings = {seconds(0)};
    fleet.unresponsive_server = "s0";
    loading_simulation simulation(fleet);
    simulation.run(seconds(15));
    cr_assert_eq(simulation.loads(), fleet.servers);
}

Test(weights_load, long_lived_weights_are_replaced_at_once) {
    loading_fleet fleet;
    fleet.namings = {seconds(0), seconds(30)};
    loading_simulation simulation(fleet);
    simulation.run(seconds(60));
    cr_assert_leq(to_seconds(simulation.in_place_after(3)), 5 * 2.3);
}

Test(load_concurrency_limiter, limit_doubles_with_each_round_until_loads_lengthen) {
    load_concurrency_limiter limiter({});
    constexpr std::size_t servers = 117;
    auto first = limiter.limit(servers);
    for (std::size_t i = 0; i < first; ++i)
        limiter.on_load_finished(seconds(2), first, servers);
    cr_assert_eq(limiter.limit(servers), 2 * first);
    limiter.on_load_finished(seconds(4), 2 * first, servers);
    cr_assert_eq(limiter.limit(servers), first);
}

Test(load_concurrency_limiter, loads_with_little_concurrency_do_not_raise_the_limit) {
    load_concurrency_limiter limiter({});
    constexpr std::size_t servers = 117;
    auto first = limiter.limit(servers);
    for (int i = 0; i < 20; ++i)
        limiter.on_load_finished(seconds(2), 1, servers);
    cr_assert_eq(limiter.limit(servers), first);
}
