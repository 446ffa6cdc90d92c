// Guards against repeats that overload a failing service.
#include "azureyoke/src/coordination/service_retry_budget.h"

#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace azureyoke::coordination;

namespace {

constexpr instant start{std::chrono::seconds(100)};
constexpr int instances = 8;

} // namespace

Test(service_retry_budget, repeats_of_all_instances_stay_within_the_share_and_the_reserve) {
    service_retry_settings settings;
    std::mt19937 random(7);
    std::vector<service_retry_budget> budgets(instances, service_retry_budget(settings));
    std::deque<instant> requests;
    std::deque<instant> repeats;
    for (auto now = start; now < start + std::chrono::seconds(60);
         now += std::chrono::milliseconds(10)) {
        auto& it = budgets[random() % instances];
        it.on_request(now);
        requests.push_back(now);
        // During a general failure every request is repeated several times.
        for (int i = 0; i < 3; ++i) {
            if (it.try_acquire(instances, now))
                repeats.push_back(now);
        }
        while (now - requests.front() > settings.window)
            requests.pop_front();
        while (!repeats.empty() && now - repeats.front() > settings.window)
            repeats.pop_front();
        double bound = settings.share * static_cast<double>(requests.size()) + settings.reserve;
        cr_assert_leq(static_cast<double>(repeats.size()), bound);
    }
}

Test(service_retry_budget, idle_instance_has_its_part_of_the_reserve) {
    service_retry_budget budget({});
    int taken = 0;
    while (budget.try_acquire(instances, start))
        ++taken;
    cr_assert_geq(taken, 3);
    cr_assert_leq(taken, 7);
}

Test(service_retry_budget, requests_outside_the_window_are_dropped_even_without_repeats) {
    service_retry_budget budget({});
    constexpr int requests_per_second = 100;
    for (int i = 0; i < 600 * requests_per_second; ++i)
        budget.on_request(start + duration(std::chrono::seconds(1)) * i / requests_per_second);
    auto window = service_retry_settings{}.window / std::chrono::seconds(1);
    cr_assert_leq(budget.counted_requests(),
                  static_cast<std::size_t>(window * requests_per_second + 1));
}
