#include "azureyoke/src/coordination/helper_choice.h"

#include <algorithm>

namespace azureyoke::coordination {

void helper_choice::set_candidates(std::vector<helper_candidate> list) {
    candidates_ = std::move(list);
    std::erase_if(known_, [&](const auto& it) {
        return std::find(candidates_.begin(), candidates_.end(), it) == candidates_.end();
    });
}

int helper_choice::load(const helper_candidate& it, bool known) const {
    auto found = in_flight_.find(it.name);
    bool prefers_near = near_refusals_ < max_near_refusals;
    return (found == in_flight_.end() ? 0 : found->second) +
           (it.near == prefers_near ? 0 : distance_penalty) + (known ? 0 : unknown_penalty);
}

bool helper_choice::is_avoided(const std::string& helper, instant now) const {
    auto refused = refusals_.find(helper);
    return refused != refusals_.end() && now < refused->second.until;
}

std::optional<std::string> helper_choice::choose(instant now) {
    const helper_candidate* best = nullptr;
    int least = 0;
    auto consider = [&](const helper_candidate& it, bool known) {
        int its_load = load(it, known);
        if (best != nullptr && its_load >= least)
            return;
        best = &it;
        least = its_load;
    };
    for (const auto& it : known_)
        consider(it, true);
    std::size_t found = 0;
    // Each draw takes a place that was not drawn before.
    for (std::size_t i = 0; i < candidates_.size() && found < drawn; ++i) {
        std::swap(candidates_[i], candidates_[i + random_() % (candidates_.size() - i)]);
        if (is_avoided(candidates_[i].name, now))
            continue;
        ++found;
        consider(candidates_[i], false);
    }
    return best == nullptr ? std::nullopt : std::optional(best->name);
}

void helper_choice::on_ended(const std::string& helper) {
    auto found = in_flight_.find(helper);
    if (found != in_flight_.end() && --found->second <= 0)
        in_flight_.erase(found);
}

bool helper_choice::is_near(const std::string& helper) const {
    return std::any_of(candidates_.begin(), candidates_.end(),
                       [&](const auto& it) { return it.near && it.name == helper; });
}

void helper_choice::on_served(const std::string& helper) {
    if (near_refusals_ > 0 && is_near(helper))
        near_refusals_ = 0;
    refusals_.erase(helper);
    auto named = [&](const auto& it) { return it.name == helper; };
    if (std::any_of(known_.begin(), known_.end(), named))
        return;
    auto found = std::find_if(candidates_.begin(), candidates_.end(), named);
    if (found == candidates_.end())
        return;
    if (known_.size() < max_known)
        known_.push_back(*found);
    else
        known_[random_() % known_.size()] = *found;
}

void helper_choice::on_refused(const std::string& helper, instant now) {
    near_refusals_ += is_near(helper) ? 1 : 0;
    std::erase_if(known_, [&](const auto& it) { return it.name == helper; });
    auto& it = refusals_[helper];
    it.avoid_time = std::clamp(2 * it.avoid_time, first_avoid_time, longest_avoid_time);
    it.until = now + it.avoid_time;
}

} // namespace azureyoke::coordination
