#include "azureyoke/src/coordination/fleet_directory.h"

#include <algorithm>
#include <utility>

namespace azureyoke::coordination {

fleet_directory::fleet_directory(const directory_settings& settings) : settings_(settings) {}

bool fleet_directory::put(const state::fleet_server& entry, instant now) {
    if (outdated(entry))
        return false;
    auto& kept = servers_[entry.id];
    kept = entry;
    kept.leaving = entry.leaving || said_to_leave(entry);
    lapsed_.erase(entry.id);
    if (entry.leaving)
        note_last(entry, now);
    else
        ended_.erase(entry.id);
    return true;
}

bool fleet_directory::outdated(const state::fleet_server& entry) const {
    auto found = ended_.find(entry.id);
    if (!from_copy_ || found == ended_.end())
        return false;
    const auto& last = found->second;
    return std::pair(entry.born_ms, entry.registration) < std::pair(last.born_ms, last.number) ||
           (!entry.leaving &&
            std::pair(entry.born_ms, entry.registration) == std::pair(last.born_ms, last.number));
}

void fleet_directory::note_last(const state::fleet_server& entry, instant now) {
    ended_[entry.id] = {entry.born_ms, entry.registration, now};
}

void fleet_directory::on_registry_copy(instant now) {
    from_copy_ = true;
    on_registry_back(now);
}

bool fleet_directory::said_to_leave(const state::fleet_server& entry) const {
    auto found = departures_.find(entry.id);
    return found != departures_.end() && entry.born_ms <= found->second.born_ms;
}

bool fleet_directory::on_departure(const departure& what, departure_source source, instant now) {
    auto [found, fresh] = departures_.try_emplace(what.server);
    auto& told = found->second;
    bool known = !fresh && what.born_ms <= told.born_ms;
    if (known && (source == departure_source::peer || told.source == departure_source::answer))
        return false;
    told = {std::max(told.born_ms, what.born_ms), source, now};
    auto entry = servers_.find(what.server);
    if (entry != servers_.end() && said_to_leave(entry->second))
        entry->second.leaving = true;
    return !known;
}

std::vector<departure> fleet_directory::fresh_departures(instant now) const {
    std::vector<departure> list;
    for (const auto& [id, it] : departures_) {
        if (it.source == departure_source::answer && now - it.at < settings_.departure_news)
            list.push_back({id, it.born_ms});
    }
    return list;
}

void fleet_directory::remove(const std::string& id, instant now) {
    if (!servers_.contains(id))
        return;
    note_last(servers_.at(id), now);
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
        put(it, now);
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
    std::erase_if(departures_, [&](const auto& it) {
        return !servers_.contains(it.first) && now - it.second.at >= settings_.departure_memory;
    });
    std::erase_if(ended_, [&](const auto& it) {
        return !servers_.contains(it.first) && now - it.second.at >= settings_.departure_memory;
    });
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
