// What fleet_router knows of servers that ramp up; its choice of a server is in fleet_router.cpp.
#include <algorithm>
#include <cmath>

#include "azureyoke/src/coordination/fleet_router.h"

namespace azureyoke::coordination {

void fleet_router::on_server_started(const fleet_directory& directory,
                                     const state::fleet_server& entry, ramp_cause cause,
                                     instant now) {
    auto usable = directory.usable(entry.pool);
    bool others = std::any_of(usable.begin(), usable.end(),
                              [&](const auto* it) { return it->id != entry.id; });
    if (others && !entry.leaving)
        ramps_.begin(entry.id, entry.pool, entry.slots, cause, now);
}

void fleet_router::on_server_removed(const std::string& server, instant now) {
    ramps_.remove(server, now);
}

void fleet_router::on_peer_pace(const std::string& peer,
                                const std::map<std::string, pace_evidence>& counts, instant now) {
    for (const auto& [server, seen] : counts) {
        if (!ramps_.ramping(server))
            continue;
        const auto& view = views_[server];
        ramps_.on_peer_evidence(peer, server, seen, view.own.in_flight + view.peers.in_flight, now);
    }
}

pace_load fleet_router::own_load(const std::string& server) const {
    auto found = views_.find(server);
    if (found == views_.end())
        return {};
    return {found->second.own.in_flight, found->second.unanswered};
}

pace_load fleet_router::peer_load(const state::fleet_server& server) const {
    auto found = views_.find(server.id);
    if (found == views_.end())
        return {};
    const auto& view = found->second;
    // Requests without tokens show no first answer before their end.
    bool plain = server.models.empty();
    return {view.peers.in_flight, plain ? view.peers.in_flight : view.peers_unanswered};
}

double fleet_router::trusted_slowdown(const server_choice& choice, instant sent,
                                      instant now) const {
    auto told = speeds_.told_since(choice.server, sent);
    if (!told)
        return 1;
    return std::pow(*told, speeds_.belief(choice.pool, choice.server, now).slowdown_trust);
}

duration fleet_router::report_age(instant now) const {
    auto others = static_cast<std::int64_t>(ramps_.instances()) - 1;
    auto heard = static_cast<std::int64_t>(peers_.size());
    if (others <= 0 || heard == 0)
        return heard == 0 ? settings_.pace.report_delay : duration();
    auto mean = now.time_since_epoch() - reports_received_ / heard;
    heard = std::min(heard, others);
    return (mean * heard + settings_.pace.report_delay * (others - heard)) / others;
}

void fleet_router::hold_back_ramping(std::vector<candidate>& list, instant now) {
    auto ramps = [&](const candidate& it) { return ramps_.ramping(it.server->id); };
    auto ramping = static_cast<std::size_t>(std::count_if(list.begin(), list.end(), ramps));
    if (ramping == 0 || 2 * ramping > list.size())
        return;
    auto age = report_age(now);
    bool others_have_room = false;
    for (auto& it : list) {
        const auto& id = it.server->id;
        auto own = own_load(id);
        auto peers = peer_load(*it.server);
        it.held_back = ramps(it) && !ramps_.allows(id, own, peers, age, now);
        bool has_room = it.server->slots == 0 || own.in_flight + peers.in_flight < it.server->slots;
        others_have_room = others_have_room || (it.usable && !it.held_back && has_room);
    }
    if (others_have_room)
        return;
    for (auto& it : list)
        it.held_back = false;
}

} // namespace azureyoke::coordination
