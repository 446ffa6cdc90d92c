#include "azureyoke/src/coordination/load_concurrency_limiter.h"

#include <algorithm>

namespace azureyoke::coordination {

std::size_t load_concurrency_limiter::limit(std::size_t servers) const {
    auto share = [&](double part) {
        return static_cast<std::size_t>(part * static_cast<double>(servers));
    };
    auto initial = std::max(settings_.min_initial, share(settings_.initial_share));
    auto most = std::max(settings_.min_initial, share(settings_.max_share));
    return std::clamp<std::size_t>(learned_limit_.value_or(initial), 1, most);
}

void load_concurrency_limiter::on_load_finished(duration took, std::size_t concurrent,
                                                std::size_t servers) {
    if (!shortest_ || took < *shortest_)
        shortest_ = took;
    auto current = limit(servers);
    double ratio = to_seconds(took) / std::max(to_seconds(*shortest_), 0.001);
    bool lengthened = ratio > settings_.slowed_ratio && took - *shortest_ > settings_.report_lag;
    if (lengthened && concurrent > 1) {
        auto sustained = static_cast<std::size_t>(static_cast<double>(concurrent) / ratio);
        learned_limit_ = std::max<std::size_t>(1, std::min(current, sustained));
        unslowed_loads_ = 0;
        slowed_before_ = true;
        return;
    }
    if (2 * concurrent < current)
        return; // a load far below the limit is no evidence for a higher limit
    // Every unslowed load raises the limit until loads lengthen for the first time, so the limit
    // doubles with each round. After that it rises by one for each round.
    ++unslowed_loads_;
    if (slowed_before_ && unslowed_loads_ < current)
        return;
    learned_limit_ = current + 1;
    unslowed_loads_ = 0;
}

} // namespace azureyoke::coordination
