#include "azureyoke/src/coordination/software_versions.h"

namespace azureyoke::coordination {

void software_versions::mark_present(pool_versions& it, instant now) {
    for (const auto& version : it.present)
        it.last_seen[version] = now;
}

void software_versions::set_present(const std::string& pool, const std::set<std::string>& present,
                                    duration lifetime, instant now) {
    auto& it = pools_[pool];
    mark_present(it, now); // those that are gone now were there until now
    it.present = present;
    it.lifetime = lifetime;
    mark_present(it, now);
}

void software_versions::add_stored(const version_sets& stored, instant now) {
    for (const auto& [pool, versions] : stored) {
        for (const auto& version : versions)
            pools_[pool].last_seen.try_emplace(version, now);
    }
    complete_ = true;
}

void software_versions::expire(instant now) {
    for (auto& [pool, it] : pools_) {
        mark_present(it, now);
        std::erase_if(it.last_seen, [&, lifetime = it.lifetime](const auto& version) {
            return now - version.second > lifetime;
        });
    }
}

std::set<std::string> software_versions::of(const std::string& pool) const {
    std::set<std::string> versions;
    auto found = pools_.find(pool);
    if (found == pools_.end())
        return versions;
    for (const auto& [version, at] : found->second.last_seen)
        versions.insert(version);
    return versions;
}

version_sets software_versions::all() const {
    version_sets sets;
    for (const auto& [pool, it] : pools_) {
        auto versions = of(pool);
        if (!versions.empty())
            sets.emplace(pool, std::move(versions));
    }
    return sets;
}

} // namespace azureyoke::coordination
