#include "azureyoke/src/coordination/desired_weights.h"

#include <algorithm>

namespace azureyoke::coordination {

bool desired_weights::record_naming(std::int64_t version, instant since, bool certain) {
    bool newer = version > newest();
    auto [found, inserted] = naming_times_.try_emplace(version, naming_time{since, certain});
    auto& known = found->second;
    if (!inserted && certain)
        known = {known.certain ? std::min(known.at, since) : since, true};
    return newer;
}

std::int64_t desired_weights::newest_named_for(duration age, instant now) const {
    std::int64_t found = 0;
    for (const auto& [version, it] : naming_times_)
        found = now - it.at >= age ? version : found;
    return found;
}

std::optional<instant> desired_weights::replaced_at(std::int64_t version) const {
    auto next = naming_times_.upper_bound(version);
    return next == naming_times_.end() ? std::nullopt : std::optional(next->second.at);
}

std::optional<duration> desired_weights::time_as_newest(std::int64_t version) const {
    auto own = naming_times_.find(version);
    auto next = naming_times_.upper_bound(version);
    if (own == naming_times_.end() || next == naming_times_.end() || !own->second.certain ||
        !next->second.certain)
        return std::nullopt;
    return next->second.at - own->second.at;
}

std::vector<weights_age> desired_weights::recent_ages(duration limit, instant now) const {
    std::vector<weights_age> list;
    auto newest_due = newest_named_for(limit, now);
    for (const auto& [version, it] : naming_times_) {
        if (it.certain && version >= newest_due)
            list.push_back({version, (now - it.at) / std::chrono::milliseconds(1)});
    }
    return list;
}

void desired_weights::drop_obsolete(duration limit, instant now) {
    auto newest_due = newest_named_for(limit, now);
    std::erase_if(naming_times_, [&](const auto& it) { return it.first < newest_due; });
}

} // namespace azureyoke::coordination
