#include <algorithm>
#include <functional>
#include <iostream>
#include <random>
#include <vector>

#include <nlohmann/json.hpp>

#include "azureyoke/src/coordination/fair_queue.h"
#include "bench/cases.h"
#include "standin/virtual_time.h"

namespace azureyoke::bench {

using coordination::from_seconds;
using coordination::to_seconds;

namespace internal {
namespace {

constexpr int workspaces = 5;
constexpr double capacity_tokens_per_second = 100'000;
constexpr double load_seconds = 60;
constexpr double mean_tokens = 5000;
/// Time that the run goes on after the last arrival, so that the queue can empty.
constexpr double drain_seconds = 300;
/// Load that each workspace offers, as a fraction of the capacity; the aggressor offers a multiple.
constexpr double base_load = 0.12;

double p99(std::vector<double> values) {
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(0.99 * static_cast<double>(values.size() - 1))];
}

/// Simulates one replica pool that serves one request at a time; workspace 0 is the aggressor.
class fairness_run {
public:
    fairness_run(bool fair, double aggressor_factor)
        : fair_(fair), aggressor_factor_(aggressor_factor), queue_(settings()) {}

    nlohmann::json run() {
        start_ = time_.now();
        for (int i = 0; i < workspaces; ++i)
            add_arrival(i);
        time_.run_until(start_ + from_seconds(load_seconds + drain_seconds));
        double worst = 0;
        int refused = 0;
        for (int i = 1; i < workspaces; ++i) {
            worst = std::max(worst, p99(waits_[static_cast<std::size_t>(i)]));
            refused += refused_[static_cast<std::size_t>(i)];
        }
        return {{"case", "fairness"},
                {"queue", fair_ ? "fair" : "first_come"},
                {"aggressor_factor", aggressor_factor_},
                {"worst_other_wait_p99_s", worst},
                {"others_refused", refused},
                {"aggressor_wait_p99_s", p99(waits_[0])},
                {"aggressor_refused", refused_[0]}};
    }

private:
    static coordination::fair_queue_settings settings() {
        coordination::fair_queue_settings result;
        result.max_queued_per_workspace = 512;
        return result;
    }

    void add_arrival(int workspace) {
        if (to_seconds(time_.now() - start_) >= load_seconds)
            return;
        auto tokens = std::uniform_int_distribution<std::int64_t>(1000, 9000)(random_);
        // A fair queue with a single flow serves first come, first served.
        auto flow = fair_ ? "w" + std::to_string(workspace) : "all";
        auto number = next_number_++;
        arrivals_.push_back({workspace, time_.now()});
        if (!queue_.push({number, flow, 1, tokens}, time_.now()))
            ++refused_[static_cast<std::size_t>(workspace)];
        serve_next();
        auto rate = base_load * capacity_tokens_per_second / mean_tokens;
        if (workspace == 0)
            rate *= aggressor_factor_;
        time_.after(from_seconds(std::exponential_distribution<>(rate)(random_)),
                    [this, workspace] { add_arrival(workspace); });
    }

    void serve_next() {
        if (busy_)
            return;
        for (const auto& expired : queue_.expire(time_.now()))
            ++refused_[static_cast<std::size_t>(arrivals_[expired.number].workspace)];
        auto it = queue_.pop();
        if (!it)
            return;
        busy_ = true;
        const auto& served = arrivals_[it->number];
        waits_[static_cast<std::size_t>(served.workspace)].push_back(
            to_seconds(time_.now() - served.at));
        time_.after(from_seconds(static_cast<double>(it->tokens) / capacity_tokens_per_second),
                    [this] {
                        busy_ = false;
                        serve_next();
                    });
    }

    struct arrival {
        int workspace = 0;
        coordination::instant at;
    };

    bool fair_;
    double aggressor_factor_;
    standin::virtual_time time_;
    coordination::fair_queue queue_;
    std::mt19937_64 random_{20261203};
    coordination::instant start_;
    std::uint64_t next_number_ = 0;
    std::vector<arrival> arrivals_;
    std::vector<std::vector<double>> waits_{workspaces};
    std::vector<int> refused_ = std::vector<int>(workspaces, 0);
    bool busy_ = false;
};

} // namespace
} // namespace internal

void run_fairness() {
    for (double aggressor_factor : {1.0, 5.0}) {
        for (bool fair : {false, true}) {
            internal::fairness_run run(fair, aggressor_factor);
            std::cout << run.run().dump() << std::endl;
        }
    }
}

} // namespace azureyoke::bench
