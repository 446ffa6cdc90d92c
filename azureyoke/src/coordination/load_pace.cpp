#include "azureyoke/src/coordination/load_pace.h"

#include <algorithm>

namespace azureyoke::coordination {

std::size_t load_pace::at_once(std::size_t servers) const {
    auto share = [&](double part) {
        return static_cast<std::size_t>(part * static_cast<double>(servers));
    };
    auto first = std::max(settings_.least_first, share(settings_.first_share));
    auto most = std::max(settings_.least_first, share(settings_.most_share));
    return std::clamp<std::size_t>(learned_.value_or(first), 1, most);
}

void load_pace::on_load(duration took, std::size_t beside, std::size_t servers) {
    if (!shortest_ || took < *shortest_)
        shortest_ = took;
    auto current = at_once(servers);
    double ratio = to_seconds(took) / std::max(to_seconds(*shortest_), 0.001);
    bool lengthened = ratio > settings_.slowed && took - *shortest_ > settings_.report_lag;
    if (lengthened && beside > 1) {
        auto carried = static_cast<std::size_t>(static_cast<double>(beside) / ratio);
        learned_ = std::max<std::size_t>(1, std::min(current, carried));
        in_time_ = 0;
        slowed_once_ = true;
        return;
    }
    if (2 * beside < current)
        return; // so few at once say nothing of more
    // Until loads lengthen for the first time the number doubles with each round of them.
    ++in_time_;
    if (slowed_once_ && in_time_ < current)
        return;
    learned_ = current + 1;
    in_time_ = 0;
}

} // namespace azureyoke::coordination
