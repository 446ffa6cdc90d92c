#include "standin/soak_check.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::standin {

using nlohmann::json;
using transport::instant;

namespace internal {
namespace {

bool was_killed_during(const soak_history& history, const completion_record& it) {
    auto found = history.cut_at.find(it.instance);
    if (found == history.cut_at.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](auto at) { return at >= it.sent && at <= it.answered; });
}

bool withdrawn_long_before(const soak_history& history, instant at) {
    if (history.uncertain_keys)
        return false;
    const std::pair<instant, bool>* last = nullptr;
    for (const auto& change : history.key_changes) {
        if (change.first <= at)
            last = &change;
    }
    return last != nullptr && last->second && at - last->first > in_force_bound;
}

void check_completion(soak_history& history, const completion_record& it) {
    if (it.status == 200 && !it.whole && !it.explicit_error)
        history.violations.emplace_back("a stream was neither whole nor ended by an error: " +
                                        it.first_wrong);
    if (!it.first_wrong.empty())
        history.violations.emplace_back("a stream held a wrong token: " + it.first_wrong);
    bool late = it.answered - it.sent > longest_answer;
    if (it.status == 0 && it.connected && !was_killed_during(history, it) && !late)
        history.violations.emplace_back("a connection to a live instance was cut: " + it.broke);
    if (it.workspace == "yards" && it.status == 200 && withdrawn_long_before(history, it.sent))
        history.violations.emplace_back("a withdrawn key worked 17 s after its withdrawal");
}

void check_refunds(soak_history& history, const json& runs) {
    for (const auto& [key, n] : runs.items()) {
        if (n.get<int>() > 1)
            history.violations.emplace_back(key + " ran " + std::to_string(n.get<int>()) +
                                            " times");
    }
    for (const auto& [key, it] : history.refunds) {
        bool ran = runs.contains(key);
        if (it.said_not_run && !it.answered && ran)
            history.violations.emplace_back(key + " ran, and its last answer said not-run");
        if (it.answered && !ran)
            history.violations.emplace_back(key + " was answered and never ran");
        history.answered_refunds += it.answered ? 1 : 0;
    }
}

/// Any window, by time of answer: what was admitted in it was admitted at most the longest
/// answer earlier.
void check_rates(soak_history& history, const soak_limits& limits) {
    std::map<std::string, std::vector<const completion_record*>> by_workspace;
    double slack = 0;
    for (const auto& it : history.completions) {
        if (it.status != 200)
            continue;
        by_workspace[it.workspace].push_back(&it);
        slack = std::max(slack, coordination::to_seconds(it.answered - it.sent));
    }
    for (auto& [space, list] : by_workspace) {
        std::sort(list.begin(), list.end(),
                  [](const auto* a, const auto* b) { return a->answered < b->answered; });
        for (std::size_t i = 0; i < list.size(); ++i) {
            double sum = 0;
            for (std::size_t j = i; j < list.size(); ++j) {
                sum += static_cast<double>(list[j]->used);
                auto window =
                    coordination::to_seconds(list[j]->answered - list[i]->answered) + slack;
                if (sum > limits.burst + limits.rate * window) {
                    history.violations.emplace_back(space + " got more than its rate and burst");
                    return;
                }
            }
        }
    }
}

} // namespace
} // namespace internal

void check(soak_history& history, const json& runs, const soak_limits& limits) {
    for (const auto& it : history.completions)
        internal::check_completion(history, it);
    internal::check_refunds(history, runs);
    internal::check_rates(history, limits);
}

} // namespace azureyoke::standin
