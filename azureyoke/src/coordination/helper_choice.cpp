#include "azureyoke/src/coordination/helper_choice.h"

#include <algorithm>

namespace azureyoke::coordination {

std::optional<std::string> helper_choice::choose(const std::vector<helper_candidate>& candidates,
                                                 instant now) {
    std::erase_if(avoided_until_, [&](const auto& it) { return it.second <= now; });
    std::vector<std::string> best;
    int least = 0;
    for (const auto& it : candidates) {
        if (avoided_until_.contains(it.name))
            continue;
        auto found = in_flight_.find(it.name);
        int load = (found == in_flight_.end() ? 0 : found->second) + (it.near ? 0 : far_penalty);
        if (best.empty() || load < least) {
            best.clear();
            least = load;
        }
        if (load == least)
            best.push_back(it.name);
    }
    if (best.empty())
        return std::nullopt;
    return best[random_() % best.size()];
}

void helper_choice::on_ended(const std::string& helper) {
    auto found = in_flight_.find(helper);
    if (found != in_flight_.end() && --found->second <= 0)
        in_flight_.erase(found);
}

} // namespace azureyoke::coordination
