// Guards against an instance that issues more permits of a server than its limit allows, or fewer.
#include "azureyoke/src/coordination/permit_issuer.h"

#include <algorithm>
#include <map>

#include <criterion/criterion.h>

#include "azureyoke/src/coordination/paced_returns.h"

using namespace azureyoke::coordination;

namespace {

constexpr instant start{std::chrono::seconds(100)};
constexpr duration ms = std::chrono::milliseconds(1);
constexpr duration second = std::chrono::seconds(1);

struct issuer_fixture {
    permit_issuer issuer{{}};

    permit_decision ask(const std::string& instance, duration at, double per_second = 2,
                        double part = 1) {
        return issuer.issue("s", instance, per_second, part, start + at);
    }

    /// \returns the permits granted to an instance that asks each 10 ms.
    int granted(duration from, duration to, double per_second, double part = 1) {
        int count = 0;
        for (auto at = from; at < to; at += 10 * ms)
            count += ask("a", at, per_second, part).granted ? 1 : 0;
        return count;
    }
};

} // namespace

Test(permit_issuer, first_permit_is_issued_one_interval_after_the_first_request) {
    issuer_fixture it;
    auto denied = it.ask("a", 0 * ms);
    cr_assert_not(denied.granted);
    cr_assert_eq(denied.wait.count(), (500 * ms).count());
    cr_assert(it.ask("a", 500 * ms).granted);
    cr_assert_not(it.ask("a", 501 * ms).granted);
}

Test(permit_issuer, denied_instances_are_told_to_ask_again_one_after_the_other) {
    issuer_fixture it;
    for (int n = 1; n <= 5; ++n)
        cr_assert_eq(it.ask("i" + std::to_string(n), 0 * ms).wait.count(), (n * 500 * ms).count());
    for (int n = 1; n <= 5; ++n)
        cr_assert(it.ask("i" + std::to_string(n), n * 500 * ms).granted);
}

Test(permit_issuer, instance_that_asks_too_early_keeps_its_place) {
    issuer_fixture it;
    (void)it.ask("a", 0 * ms);
    (void)it.ask("b", 0 * ms);
    cr_assert_eq(it.ask("a", 100 * ms).wait.count(), (400 * ms).count());
    cr_assert_eq(it.ask("b", 100 * ms).wait.count(), (900 * ms).count());
}

Test(permit_issuer, wait_is_bounded_because_a_limit_may_change) {
    issuer_fixture it;
    for (int n = 0; n < 500; ++n)
        cr_assert_leq(it.ask("i" + std::to_string(n), 0 * ms).wait.count(), (5 * second).count());
}

Test(permit_issuer, permits_of_a_long_time_add_up_to_the_rate) {
    for (double rate : {0.5, 1.8, 40.0}) {
        issuer_fixture it;
        int count = it.granted(0 * ms, 60 * second, rate);
        cr_assert(count >= 60 * rate - 1 && count <= 60 * rate + 1, "%d at %.1f", count, rate);
    }
}

Test(permit_issuer, burst_after_a_pause_is_two_permits_and_half_a_second_of_the_rate) {
    issuer_fixture it;
    (void)it.ask("a", 0 * ms, 20);
    int burst = 0;
    while (it.ask("a", 30 * second, 20).granted)
        ++burst;
    cr_assert_eq(burst, 12);
}

Test(permit_issuer, part_of_the_rate_is_applied) {
    issuer_fixture it;
    int count = it.granted(0 * ms, 40 * second, 4, 0.25);
    cr_assert(count >= 39 && count <= 41, "%d", count);
}

Test(permit_issuer, raised_and_lowered_rates_apply_from_the_next_request) {
    issuer_fixture it;
    (void)it.granted(0 * ms, 10 * second, 2);
    int raised = it.granted(10 * second, 20 * second, 10);
    cr_assert(raised >= 99 && raised <= 101, "%d", raised);
    int lowered = it.granted(20 * second, 30 * second, 1);
    cr_assert(lowered >= 9 && lowered <= 12, "%d", lowered);
}

Test(permit_issuer, waiting_instances_are_listed_once) {
    issuer_fixture it;
    for (const char* name : {"a", "b", "c"})
        (void)it.ask(name, 0 * ms);
    auto waiting = it.issuer.take_waiting("s", start + 600 * ms);
    cr_assert_eq(waiting.size(), 2U, "the first one's wait is over");
    cr_assert(it.issuer.take_waiting("s", start + 600 * ms).empty());
    cr_assert(it.issuer.take_waiting("other", start).empty());
}

Test(permit_issuer, unused_bucket_is_dropped_and_starts_empty_again) {
    issuer_fixture it;
    (void)it.ask("a", 0 * ms);
    it.issuer.drop_unused(start + 120 * second);
    cr_assert_not(it.ask("a", 120 * second).granted);
}

Test(permit_issuer, issuers_are_spread_and_move_only_with_their_instance) {
    std::vector<std::string> names;
    for (int i = 0; i < 20; ++i)
        names.push_back("edge-" + std::to_string(i));
    std::map<std::string, int> servers;
    auto fewer = names;
    fewer.erase(fewer.begin() + 7);
    auto reversed = names;
    std::reverse(reversed.begin(), reversed.end());
    for (int i = 0; i < 2000; ++i) {
        auto server = "i-" + std::to_string(i);
        auto issuer = choose_issuer(names, server);
        ++servers[issuer];
        cr_assert_eq(issuer, choose_issuer(reversed, server));
        if (issuer != names[7])
            cr_assert_eq(issuer, choose_issuer(fewer, server));
    }
    for (const auto& [name, n] : servers)
        cr_assert(n > 60 && n < 140, "%s issues for %d servers", name.c_str(), n);
}

Test(paced_returns, callers_refused_together_return_at_the_rate_at_which_they_can_be_served) {
    paced_returns returns;
    for (int n = 0; n < 4; ++n)
        cr_assert_eq(returns.book(300 * ms, 2, 10 * second, start).count(),
                     (300 * ms + n * 500 * ms).count());
}

Test(paced_returns, caller_whose_time_ends_before_takes_no_place) {
    paced_returns returns;
    (void)returns.book(300 * ms, 2, 1 * second, start);
    (void)returns.book(300 * ms, 2, 1 * second, start);
    for (int n = 0; n < 3; ++n)
        cr_assert_eq(returns.book(300 * ms, 2, 1 * second, start).count(), (1300 * ms).count());
}

Test(paced_returns, places_that_passed_are_not_made_up_for) {
    paced_returns returns;
    (void)returns.book(300 * ms, 2, 10 * second, start);
    cr_assert_eq(returns.book(200 * ms, 2, 10 * second, start + 60 * second).count(),
                 (200 * ms).count());
}
