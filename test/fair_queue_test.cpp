// Guards against a workspace that takes more than its weighted share of the queue.
#include "azureyoke/src/coordination/fair_queue.h"

#include <map>

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::fair_queue;
using coordination::fair_queue_settings;
using coordination::instant;
using std::chrono::seconds;

namespace {

const instant start = instant() + std::chrono::hours(1);

std::map<std::string, int> pop_tokens(fair_queue& queue, int requests) {
    std::map<std::string, int> tokens;
    for (int i = 0; i < requests; ++i) {
        auto it = queue.pop();
        tokens[it->workspace] += static_cast<int>(it->tokens);
    }
    return tokens;
}

} // namespace

Test(fair_queue, flood_of_one_workspace_does_not_delay_another) {
    fair_queue queue(fair_queue_settings{});
    for (std::uint64_t i = 0; i < 100; ++i)
        (void)queue.push({i, "flood", 1, 100}, start);
    (void)queue.push({1000, "calm", 1, 100}, start);
    auto tokens = pop_tokens(queue, 2);
    cr_assert_eq(tokens["calm"], 100);
}

Test(fair_queue, capacity_is_shared_by_weight_in_tokens) {
    fair_queue queue(fair_queue_settings{});
    for (std::uint64_t i = 0; i < 200; ++i) {
        (void)queue.push({i, "heavy", 3, 50}, start);
        (void)queue.push({1000 + i, "light", 1, 100}, start);
    }
    auto tokens = pop_tokens(queue, 140);
    double ratio = static_cast<double>(tokens["heavy"]) / tokens["light"];
    cr_assert_gt(ratio, 2.8);
    cr_assert_lt(ratio, 3.2);
}

Test(fair_queue, idle_workspace_accumulates_no_credit) {
    fair_queue queue(fair_queue_settings{});
    for (std::uint64_t i = 0; i < 50; ++i)
        (void)queue.push({i, "busy", 1, 100}, start);
    (void)pop_tokens(queue, 40);
    for (std::uint64_t i = 0; i < 50; ++i)
        (void)queue.push({100 + i, "late", 1, 100}, start);
    auto tokens = pop_tokens(queue, 10);
    cr_assert_leq(tokens["late"], 600);
    cr_assert_geq(tokens["late"], 400);
}

Test(fair_queue, workspace_with_a_full_queue_is_refused_and_others_are_not) {
    fair_queue_settings settings;
    settings.max_queued_per_workspace = 2;
    fair_queue queue(settings);
    cr_assert(queue.push({1, "a", 1, 1}, start));
    cr_assert(queue.push({2, "a", 1, 1}, start));
    cr_assert_not(queue.push({3, "a", 1, 1}, start));
    cr_assert(queue.push({4, "b", 1, 1}, start));
}

Test(fair_queue, expired_requests_are_removed) {
    fair_queue queue(fair_queue_settings{});
    (void)queue.push({1, "a", 1, 1}, start);
    (void)queue.push({2, "a", 1, 1}, start + seconds(10));
    cr_assert(queue.expire(start + seconds(19)).empty());
    auto expired = queue.expire(start + seconds(20));
    cr_assert_eq(expired.size(), 1U);
    cr_assert_eq(expired[0].number, 1U);
    cr_assert_eq(queue.size(), 1U);
}

Test(fair_queue, erased_request_is_never_popped) {
    fair_queue queue(fair_queue_settings{});
    (void)queue.push({1, "a", 1, 1}, start);
    (void)queue.push({2, "a", 1, 1}, start);
    queue.erase(1);
    cr_assert_eq(queue.pop()->number, 2U);
    cr_assert_not(queue.pop().has_value());
}
