#include "azureyoke/src/coordination/named_weights.h"

#include <algorithm>

namespace azureyoke::coordination {

bool named_weights::learn(std::int64_t version, instant since, bool certain) {
    bool newer = version > newest();
    auto [found, fresh] = since_.try_emplace(version, naming{since, certain});
    auto& known = found->second;
    if (!fresh && certain)
        known = {known.certain ? std::min(known.at, since) : since, true};
    return newer;
}

std::int64_t named_weights::known_for(duration age, instant now) const {
    std::int64_t found = 0;
    for (const auto& [version, it] : since_)
        found = now - it.at >= age ? version : found;
    return found;
}

std::optional<instant> named_weights::replaced_at(std::int64_t version) const {
    auto next = since_.upper_bound(version);
    return next == since_.end() ? std::nullopt : std::optional(next->second.at);
}

std::optional<duration> named_weights::life(std::int64_t version) const {
    auto own = since_.find(version);
    auto next = since_.upper_bound(version);
    if (own == since_.end() || next == since_.end() || !own->second.certain ||
        !next->second.certain)
        return std::nullopt;
    return next->second.at - own->second.at;
}

std::vector<weights_age> named_weights::ages(duration limit, instant now) const {
    std::vector<weights_age> list;
    auto due = known_for(limit, now);
    for (const auto& [version, it] : since_) {
        if (it.certain && version >= due)
            list.push_back({version, (now - it.at) / std::chrono::milliseconds(1)});
    }
    return list;
}

void named_weights::trim(duration limit, instant now) {
    auto due = known_for(limit, now);
    std::erase_if(since_, [&](const auto& it) { return it.first < due; });
}

} // namespace azureyoke::coordination
