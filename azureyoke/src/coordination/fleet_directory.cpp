#include "azureyoke/src/coordination/fleet_directory.h"

namespace azureyoke::coordination {

fleet_directory::fleet_directory(const directory_settings& settings) : settings_(settings) {}

void fleet_directory::put(const state::fleet_server& entry) {
    servers_[entry.id] = entry;
    lapsed_.erase(entry.id);
}

void fleet_directory::remove(const std::string& id, instant now) {
    if (!servers_.contains(id))
        return;
    bool in_grace = back_at_ && now - *back_at_ < settings_.return_grace;
    if (in_grace && !servers_.at(id).leaving)
        lapsed_.emplace(id, *back_at_ + settings_.return_grace);
    else
        servers_.erase(id);
}

void fleet_directory::replace_all(const std::vector<state::fleet_server>& entries, instant now) {
    std::map<std::string, state::fleet_server> listed;
    for (const auto& it : entries)
        listed.emplace(it.id, it);
    std::vector<std::string> missing;
    for (const auto& [id, it] : servers_) {
        if (!listed.contains(id) && !lapsed_.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now);
    for (const auto& [id, it] : listed)
        put(it);
}

std::vector<std::string> fleet_directory::expire(instant now) {
    std::vector<std::string> gone;
    for (const auto& [id, until] : lapsed_) {
        if (now >= until)
            gone.push_back(id);
    }
    for (const auto& id : gone) {
        lapsed_.erase(id);
        servers_.erase(id);
    }
    return gone;
}

const state::fleet_server* fleet_directory::find(const std::string& id) const {
    auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

std::vector<const state::fleet_server*> fleet_directory::usable(const std::string& pool) const {
    std::vector<const state::fleet_server*> list;
    for (const auto& [id, it] : servers_) {
        if (it.pool == pool && !it.leaving)
            list.push_back(&it);
    }
    return list;
}

} // namespace azureyoke::coordination
