// Guards against large requests of a workspace at its limit that are never admitted, since small
// ones keep the level of its bucket below their cost.
#include "azureyoke/src/coordination/fleet_limit.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace azureyoke;
using namespace azureyoke::coordination;

namespace {

constexpr instant start{std::chrono::seconds(100)};
constexpr double rate = 36'000;
constexpr double burst = 130'000;
constexpr double max_cost = 93'000;

struct demand {
    double tokens = 0;
    bool large_kind = false; ///< Of the kind of request whose costs differ most.
    bool admitted = false;
};

/// \returns the part that was admitted.
double share(const std::vector<demand>& list) {
    auto admitted =
        std::count_if(list.begin(), list.end(), [](const auto& it) { return it.admitted; });
    return static_cast<double>(admitted) / static_cast<double>(list.size());
}

/// A workspace that asks for `excess` times its rate, in one kind of request with prompts of 17,000
/// tokens on average and another, ten times as frequent, with 400.
std::vector<demand> play(double excess, unsigned seed) {
    constexpr double large_mean = 17'000;
    constexpr double small_mean = 400;
    constexpr double large_part = 1.0 / 11;
    std::mt19937 random(seed);
    fleet_limit_settings settings;
    settings.window = std::chrono::seconds(8);
    settings.reserved_fraction = 0.1;
    fleet_limit limit(settings, rate, burst, start);
    double mean = large_part * large_mean + (1 - large_part) * small_mean;
    std::exponential_distribution<> gap(excess * rate / mean);
    std::bernoulli_distribution is_large(large_part);
    std::lognormal_distribution<> large(std::log(large_mean) - 0.6, 1.1);
    std::lognormal_distribution<> small(std::log(small_mean) - 0.5, 1.0);
    std::vector<demand> list;
    for (auto now = start; now < start + std::chrono::seconds(200);
         now += from_seconds(gap(random))) {
        demand it;
        it.large_kind = is_large(random);
        it.tokens = std::min(max_cost, it.large_kind ? large(random) : small(random));
        it.admitted = limit.try_acquire(it.tokens, now);
        list.push_back(it);
    }
    return list;
}

} // namespace

Test(limit_size, largest_requests_of_a_workspace_over_its_limit_are_admitted_half_as_often_as_all) {
    for (double excess : {1.2, 1.5, 3.0}) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            auto list = play(excess, seed);
            std::erase_if(list, [](const auto& it) { return !it.large_kind; });
            std::sort(list.begin(), list.end(),
                      [](const auto& a, const auto& b) { return a.tokens > b.tokens; });
            auto tenth = static_cast<std::ptrdiff_t>(list.size() / 10);
            std::vector<demand> largest(list.begin(), list.begin() + tenth);
            cr_expect_geq(2 * share(largest), share(list),
                          "%.1f times the limit, seed %u: %.2f of the largest tenth, %.2f of all",
                          excess, seed, share(largest), share(list));
        }
    }
}
