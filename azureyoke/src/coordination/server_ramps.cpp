#include "azureyoke/src/coordination/server_ramps.h"

#include <algorithm>
#include <utility>

#include "azureyoke/src/state/prefix_hashes.h"

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Weight of the newest answer in a pool's usual ratio: some 20 answers count.
constexpr double usual_ratio_gain = 0.05;
constexpr double min_ratio = 0.3;
constexpr double max_ratio = 10;
constexpr double milliseconds_per_second = 1000;
constexpr double hash_range = 18446744073709551616.0; // 2^64

} // namespace
} // namespace internal

void server_ramps::begin(const std::string& server, const std::string& pool, int slots,
                         ramp_cause cause, instant from) {
    auto [found, inserted] = servers_.try_emplace(server, entry{pool, server_pace(settings_)});
    auto& it = found->second;
    it.pool = pool;
    bool ramped = it.pace.ramping();
    double phase = static_cast<double>(state::rendezvous_score(state::rendezvous_score(0, server),
                                                               instance_)) /
                   (internal::hash_range * 1.000001); // below 1 also after rounding
    it.pace.begin(cause, from, slots, phase);
    if (!ramped)
        changes_.push_back({server, pool, true, cause, {}, {}});
}

void server_ramps::remove(const std::string& server, instant now) {
    update(server, now, [](auto& pace) { pace.end(ramp_end::removed); });
    servers_.erase(server);
}

void server_ramps::on_path_restored(instant now) {
    for (auto it = servers_.begin(); it != servers_.end();) {
        const auto& pace = it->second.pace;
        if (!pace.ramping() || pace.cause() != ramp_cause::recovered) {
            ++it;
            continue;
        }
        update(it->first, now, [](auto& ramp) { ramp.end(ramp_end::path_restored); });
        it = servers_.erase(it);
    }
}

template <class Change>
void server_ramps::update(const std::string& server, instant now, Change change) {
    auto found = servers_.find(server);
    if (found == servers_.end() || !found->second.pace.ramping())
        return;
    change(found->second.pace);
    if (!found->second.pace.ramping())
        record_end(server, found->second, now);
}

void server_ramps::record_end(const std::string& server, const entry& it, instant now) {
    changes_.push_back({server, it.pool, false, it.pace.cause(), it.pace.end_reason(),
                        std::max(duration(), now - it.pace.began())});
}

bool server_ramps::ramping(const std::string& server) const {
    auto found = servers_.find(server);
    return found != servers_.end() && found->second.pace.ramping();
}

bool server_ramps::allows(const std::string& server, const pace_load& own, const pace_load& peers,
                          duration report_age, instant now) {
    bool allowed = true;
    update(server, now,
           [&](auto& pace) { allowed = pace.allows(own, peers, instances_, now, report_age); });
    return allowed;
}

bool server_ramps::has_room(const std::string& server, const pace_load& own,
                            const pace_load& peers) const {
    auto found = servers_.find(server);
    return found == servers_.end() || !found->second.pace.ramping() ||
           found->second.pace.room(own, peers) >= 1;
}

void server_ramps::on_answer(const std::string& server, duration predicted, duration took,
                             instant now) {
    update(server, now, [&](auto& pace) { pace.on_first_answer(predicted, took, now); });
}

void server_ramps::on_sent(const std::string& server, instant now) {
    update(server, now, [&](auto& pace) { pace.on_sent(now); });
}

void server_ramps::on_first_answer(const std::string& server, const std::string& pool,
                                   double nominal_ms, duration took, double slowdown, instant now) {
    auto took_ms = to_seconds(took) * internal::milliseconds_per_second / slowdown;
    double ratio = std::clamp(took_ms / nominal_ms, internal::min_ratio, internal::max_ratio);
    auto found = servers_.find(server);
    bool reports = found != servers_.end() && found->second.pace.reports(now);
    bool ramping = found != servers_.end() && found->second.pace.ramping();
    auto usual = usual_ratios_.find(pool);
    if (!ramping && usual == usual_ratios_.end())
        usual_ratios_.emplace(pool, ratio);
    if (usual == usual_ratios_.end())
        return; // nothing to compare with
    if (!ramping)
        usual->second += internal::usual_ratio_gain * (ratio - usual->second);
    if (!ramping && !reports)
        return;
    auto seconds = [](double ms) { return from_seconds(ms / internal::milliseconds_per_second); };
    found->second.pace.on_first_answer(seconds(nominal_ms * usual->second), seconds(took_ms), now);
    if (ramping && !found->second.pace.ramping())
        record_end(server, found->second, now);
}

void server_ramps::on_refused(const std::string& server, int in_flight, instant now) {
    update(server, now, [&](auto& pace) { pace.on_refused(in_flight, now); });
}

void server_ramps::on_failed(const std::string& server, int in_flight, instant now) {
    update(server, now, [&](auto& pace) { pace.on_failed(in_flight, now); });
}

std::map<std::string, pace_evidence> server_ramps::evidence(instant now) const {
    std::map<std::string, pace_evidence> result;
    for (const auto& [server, it] : servers_) {
        if (it.pace.reports(now) && it.pace.evidence() != pace_evidence())
            result.emplace(server, it.pace.evidence());
    }
    return result;
}

void server_ramps::on_peer_evidence(const std::string& peer, const std::string& server,
                                    const pace_evidence& seen, int in_flight, instant now) {
    update(server, now, [&](auto& pace) { pace.on_peer_evidence(peer, seen, in_flight, now); });
}

std::vector<ramp_change> server_ramps::take_changes(instant now) {
    for (auto it = servers_.begin(); it != servers_.end();) {
        update(it->first, now, [&](auto& pace) { pace.tick(now); });
        // What is kept of a past ramp tells whether the server flaps.
        bool kept =
            it->second.pace.ramping() || now - it->second.pace.began() < settings_.flap_memory;
        it = kept ? std::next(it) : servers_.erase(it);
    }
    return std::exchange(changes_, {});
}

std::map<std::string, double> server_ramps::windows() const {
    std::map<std::string, double> result;
    for (const auto& [server, it] : servers_) {
        if (it.pace.ramping())
            result.emplace(server, it.pace.window());
    }
    return result;
}

} // namespace azureyoke::coordination
