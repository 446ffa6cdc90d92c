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
    auto found = history.killed_at.find(it.instance);
    if (found == history.killed_at.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](auto at) { return at >= it.sent && at <= it.answered; });
}

bool withdrawal_must_be_in_force(const soak_history& history, instant at) {
    if (history.key_state_uncertain)
        return false;
    const std::pair<instant, bool>* last = nullptr;
    for (const auto& change : history.key_changes) {
        if (change.first <= at)
            last = &change;
    }
    return last != nullptr && last->second && at - last->first > max_activation_time;
}

void check_completion(soak_history& history, const completion_record& it) {
    if (it.status == 200 && !it.whole && !it.explicit_error)
        history.violations.emplace_back("a stream was neither whole nor ended by an error: " +
                                        it.first_unexpected_event);
    if (!it.first_unexpected_event.empty())
        history.violations.emplace_back("a stream held a wrong token: " +
                                        it.first_unexpected_event);
    bool exceeded_max_answer_time = it.answered - it.sent > max_answer_time;
    if (it.status == 0 && it.connected && !was_killed_during(history, it) &&
        !exceeded_max_answer_time)
        history.violations.emplace_back("a connection to a live instance was cut: " +
                                        it.connection_error);
    if (it.workspace == "yards" && it.status == 200 &&
        withdrawal_must_be_in_force(history, it.sent))
        history.violations.emplace_back("a withdrawn key worked 17 s after its withdrawal");
}

void check_refunds(soak_history& history, const json& runs) {
    for (const auto& [key, run_count] : runs.items()) {
        if (run_count.get<int>() > 1)
            history.violations.emplace_back(key + " ran " + std::to_string(run_count.get<int>()) +
                                            " times");
    }
    for (const auto& [key, it] : history.refunds) {
        bool was_run = runs.contains(key);
        if (it.reported_not_run && !it.answered && was_run)
            history.violations.emplace_back(key + " ran, and its last answer said not-run");
        if (it.answered && !was_run)
            history.violations.emplace_back(key + " was answered and never ran");
        history.answered_refunds += it.answered ? 1 : 0;
    }
}

/// Checks every window of answer times. The times of admission are not recorded; a request was
/// admitted at most the longest answer time before its answer, so each window is widened by that.
void check_rates(soak_history& history, const soak_limits& limits) {
    std::map<std::string, std::vector<const completion_record*>> by_workspace;
    double longest_answer_s = 0;
    for (const auto& it : history.completions) {
        if (it.status != 200)
            continue;
        by_workspace[it.workspace].push_back(&it);
        longest_answer_s =
            std::max(longest_answer_s, coordination::to_seconds(it.answered - it.sent));
    }
    for (auto& [workspace_name, list] : by_workspace) {
        std::sort(list.begin(), list.end(),
                  [](const auto* a, const auto* b) { return a->answered < b->answered; });
        for (std::size_t i = 0; i < list.size(); ++i) {
            double sum = 0;
            for (std::size_t j = i; j < list.size(); ++j) {
                sum += static_cast<double>(list[j]->used);
                auto window = coordination::to_seconds(list[j]->answered - list[i]->answered) +
                              longest_answer_s;
                if (sum > limits.burst + limits.rate * window) {
                    history.violations.emplace_back(workspace_name +
                                                    " got more than its rate and burst");
                    return;
                }
            }
        }
    }
}

} // namespace
} // namespace internal

void check_soak_history(soak_history& history, const json& runs, const soak_limits& limits) {
    for (const auto& it : history.completions)
        internal::check_completion(history, it);
    internal::check_refunds(history, runs);
    internal::check_rates(history, limits);
}

} // namespace azureyoke::standin
