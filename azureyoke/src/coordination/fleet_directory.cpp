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
    kept.leaving = entry.leaving || departure_announced(entry);
    grace_until_.erase(entry.id);
    if (entry.leaving)
        record_last_registration(entry, now);
    else
        last_registrations_.erase(entry.id);
    return true;
}

bool fleet_directory::written_since_restore(const state::fleet_server& entry) const {
    return first_list_version_ && entry.written > *first_list_version_;
}

bool fleet_directory::outdated(const state::fleet_server& entry) const {
    auto found = last_registrations_.find(entry.id);
    if (!restored_from_copy_ || found == last_registrations_.end() || written_since_restore(entry))
        return false;
    const auto& last = found->second;
    return std::pair(entry.started_ms, entry.registration) <
               std::pair(last.started_ms, last.number) ||
           (!entry.leaving && std::pair(entry.started_ms, entry.registration) ==
                                  std::pair(last.started_ms, last.number));
}

void fleet_directory::record_last_registration(const state::fleet_server& entry, instant now) {
    last_registrations_[entry.id] = {entry.started_ms, entry.registration, now};
}

void fleet_directory::on_registry_restored(instant now) {
    restored_from_copy_ = true;
    first_list_version_.reset();
    on_registry_recovered(now);
}

bool fleet_directory::departure_announced(const state::fleet_server& entry) const {
    auto found = departures_.find(entry.id);
    return found != departures_.end() && entry.started_ms <= found->second.started_ms;
}

bool fleet_directory::on_departure(const departure& reported, departure_source source,
                                   instant now) {
    auto [found, inserted] = departures_.try_emplace(reported.server);
    auto& latest = found->second;
    bool already_known = !inserted && reported.started_ms <= latest.started_ms;
    if (already_known &&
        (source == departure_source::peer || latest.source == departure_source::answer))
        return false;
    latest = {std::max(latest.started_ms, reported.started_ms), source, now};
    auto entry = servers_.find(reported.server);
    if (entry != servers_.end() && departure_announced(entry->second))
        entry->second.leaving = true;
    return !already_known;
}

std::vector<departure> fleet_directory::recent_departures(instant now) const {
    std::vector<departure> list;
    for (const auto& [id, it] : departures_) {
        if (it.source == departure_source::answer && now - it.at < settings_.departure_report_age)
            list.push_back({id, it.started_ms});
    }
    return list;
}

void fleet_directory::remove(const std::string& id, instant now) {
    if (!servers_.contains(id))
        return;
    record_last_registration(servers_.at(id), now);
    bool in_grace = registry_back_at_ && now - *registry_back_at_ < settings_.return_grace;
    if (in_grace && !servers_.at(id).leaving)
        grace_until_.emplace(id, *registry_back_at_ + settings_.return_grace);
    else
        servers_.erase(id);
}

void fleet_directory::replace_all(const std::vector<state::fleet_server>& entries, instant now) {
    std::map<std::string, state::fleet_server> listed;
    state::record_version newest;
    for (const auto& it : entries) {
        listed.emplace(it.id, it);
        newest = std::max(newest, it.written);
    }
    if (restored_from_copy_ && !first_list_version_)
        first_list_version_ = newest;
    std::vector<std::string> missing;
    for (const auto& [id, it] : servers_) {
        if (!listed.contains(id) && !grace_until_.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now);
    for (const auto& [id, it] : listed)
        put(it, now);
}

std::vector<std::string> fleet_directory::expire(instant now) {
    std::vector<std::string> expired;
    for (const auto& [id, until] : grace_until_) {
        if (now >= until)
            expired.push_back(id);
    }
    for (const auto& id : expired) {
        grace_until_.erase(id);
        servers_.erase(id);
    }
    std::erase_if(departures_, [&](const auto& it) {
        return !servers_.contains(it.first) && now - it.second.at >= settings_.departure_retention;
    });
    std::erase_if(last_registrations_, [&](const auto& it) {
        return !servers_.contains(it.first) && now - it.second.at >= settings_.departure_retention;
    });
    return expired;
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
