#include "azureyoke/src/coordination/admission_control.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Weight of the newest call in the mean time of a call.
constexpr double learning_rate = 0.05;
/// A load that a server tells counts up to this multiple of its slots. The queue of a sound server
/// is shorter; a false figure has a bounded effect.
constexpr double max_told_load = 4;
/// Part of the target that requests may wait on average for a slot; some wait several times as
/// long.
constexpr double queued_part_of_target = 0.25;
constexpr double longest_queue = 2; ///< Highest usual occupancy.
/// Rise of a peer's counter from one report to the next that is believed, so that a false counter
/// has a bounded effect. A fleet of 640 instances gets 38,000 requests a second.
constexpr double max_rise = 10'000;
/// Answers, faded, from which the load that they tell is used.
constexpr double min_told = 3;

/// \returns a number in [0, 1) that depends on the arguments only.
double fraction_of(std::int64_t number, std::uint64_t seed) {
    constexpr double steps = 1U << 20U;
    auto hash = XXH64(&number, sizeof number, seed);
    return static_cast<double>(hash % (1U << 20U)) / steps;
}

} // namespace
} // namespace internal

const admission_control::pool_state* admission_control::find(const std::string& pool) const {
    auto found = pools_.find(pool);
    return found == pools_.end() ? nullptr : &found->second;
}

admission_control::pool_state& admission_control::state_of(const std::string& pool) {
    auto [found, inserted] = pools_.try_emplace(pool);
    if (inserted)
        found->second.usual_occupancy = settings_.usual_occupancy;
    return found->second;
}

bool admission_control::needs_load(const std::string& pool, instant now) const {
    const auto* it = find(pool);
    return it == nullptr || now - it->load_at >= settings_.room_period;
}

void admission_control::on_pool_load(const std::string& pool, const pool_load& load, instant now) {
    auto& it = state_of(pool);
    double kept = std::exp(-to_seconds(now - it.load_at) / to_seconds(settings_.occupancy_average));
    it.load = load;
    it.load_at = now;
    update_peers(it, now);
    it.occupancy = kept * it.occupancy + (1 - kept) * occupancy_of(it, now);
}

// What servers tell is older than what peers report, and covers only the servers that answered this
// instance lately, which are those with work: with uneven load it is above the true occupancy. It
// counts only where the reports of most instances are missing, or where the answers of the fleet
// contradict them: with a queue longer than the slots, first answers are late, or the calls are so
// short that waiting does no harm.
double admission_control::occupancy_of(const pool_state& it, instant now) const {
    double reported =
        it.load.slots > 0 ? static_cast<double>(it.load.in_flight) / it.load.slots : 0;
    double told = it.told.get(settings_.evidence_fading, now);
    double seen =
        told < internal::min_told ? 0 : it.told_load.get(settings_.evidence_fading, now) / told;
    double answers = it.answers.get(settings_.evidence_fading, now);
    double late = it.late.get(settings_.evidence_fading, now);
    if (reported > internal::longest_queue && answers >= internal::min_told &&
        late <= settings_.late_share * answers)
        return std::min(reported, seen);
    return reports_missing(it) && reported < seen / 2 ? seen : reported;
}

void admission_control::update_peers(pool_state& it, instant now) const {
    std::erase_if(it.peers, [&](const auto& peer) {
        return now - peer.second.at > settings_.peer_retention;
    });
    it.shares.forget_peers(settings_.peer_retention, now);
    it.known_instances =
        1 + static_cast<int>(std::count_if(it.peers.begin(), it.peers.end(), [&](const auto& peer) {
            return now - peer.second.at <= settings_.peer_timeout;
        }));
}

bool admission_control::reports_missing(const pool_state& it) {
    return 2 * it.known_instances < it.load.instances;
}

// What ends makes room. To that comes what brings the occupancy to the usual one in time, or less
// than what ends while it is above. The rates are those of the instances whose figures are known,
// which get their part of the room. Instances that are not heard count as gone, since else the rest
// would not use their room; but not where most figures are missing: then this instance may be cut
// off, and the others go on.
double admission_control::fraction_of_all(const pool_state& it, instant now) const {
    if (it.occupancy < it.usual_occupancy - settings_.free_margin)
        return 1;
    double asked = it.asked.get(settings_.rate_fading, now) / to_seconds(settings_.rate_fading);
    double ended = it.ended.get(settings_.rate_fading, now) / to_seconds(settings_.rate_fading);
    int instances = it.load.instances - (reports_missing(it) ? 0 : it.load.unresponsive);
    double part = std::min(1.0, static_cast<double>(it.known_instances) / std::max(1, instances));
    double room = (it.usual_occupancy - it.occupancy) * it.load.slots * part /
                  to_seconds(settings_.approach_time);
    return asked <= 0 ? 1 : std::clamp((ended + room) / asked, settings_.least_fraction, 1.0);
}

// Ranks differ in the sizes of their requests.
double admission_control::fraction_of_tokens(const pool_state& it, instant now) const {
    double all = it.tokens.get(settings_.demand_fading, now);
    double of_ranks = it.rank_tokens.get(settings_.demand_fading, now);
    double factor = all > 0 ? of_ranks / all : 1;
    return std::clamp(fraction_of_all(it, now) * factor, 0.0, 1.0);
}

// First the less urgent ranks fall to their least fraction, then all fall alike.
double admission_control::fraction(const pool_state& it, int rank, double all, instant now) const {
    if (all >= 1)
        return 1;
    double least = 1;     // of `rank`, relative to the most urgent one
    double sum = 0;       // of the ranks' requests
    double least_sum = 0; // of the same at their least fractions
    double least_of_next = 1;
    for (const auto& [other, one] : it.ranks) {
        if (now - one.last >= settings_.rank_timeout)
            continue;
        double asked = one.asked.get(settings_.demand_fading, now);
        if (other <= rank)
            least = least_of_next;
        sum += asked;
        least_sum += asked * least_of_next;
        least_of_next *= settings_.least_fraction_of_next_rank;
    }
    double least_all = sum <= 0 ? 1 : least_sum / sum;
    if (all <= least_all)
        return least * all / least_all;
    return 1 - (1 - least) * (1 - all) / (1 - least_all);
}

double admission_control::occupancy(const std::string& pool) const {
    const auto* it = find(pool);
    return it == nullptr ? 0 : it->occupancy;
}

double admission_control::usual_occupancy(const std::string& pool) const {
    const auto* it = find(pool);
    return it == nullptr ? settings_.usual_occupancy : it->usual_occupancy;
}

double admission_control::admitted_of_all(const std::string& pool, instant now) const {
    const auto* it = find(pool);
    return it == nullptr ? 1 : fraction_of_all(*it, now);
}

std::size_t admission_control::peer_count(const std::string& pool) const {
    const auto* it = find(pool);
    return it == nullptr ? 0 : it->peers.size();
}

std::map<std::string, std::uint64_t> admission_control::refusals() const {
    std::map<std::string, std::uint64_t> result;
    for (const auto& [pool, it] : pools_)
        result[pool] = it.refusals;
    return result;
}

double admission_control::admitted_fraction(const std::string& pool, int rank, instant now) const {
    const auto* it = find(pool);
    return it == nullptr ? 1 : fraction(*it, rank, fraction_of_all(*it, now), now);
}

// Servers admit in the order of urgency, so only requests that are as urgent or more are ahead.
double admission_control::expected_wait_ms(const pool_state& it, const admission_query& query,
                                           instant now) const {
    double all = 0;
    double ahead = 0;
    for (const auto& [rank, one] : it.ranks) {
        double asked = one.asked.get(settings_.demand_fading, now);
        all += asked;
        ahead += rank <= query.rank ? asked : 0;
    }
    double queued = std::max(0.0, query.server_load - 1);
    return all <= 0 ? 0 : queued * it.slot_time_ms * ahead / all;
}

// Refused requests that have not come again yet are the backlog. It clears at the rate at which
// requests are admitted.
duration admission_control::return_after(const pool_state& it, const admission_query& query,
                                         instant now) const {
    double refused = it.refused.get(settings_.demand_fading, now);
    double admitted = std::max(1.0, it.admitted.get(settings_.demand_fading, now));
    auto clears_in =
        from_seconds(std::min(to_seconds(settings_.max_return),
                              to_seconds(settings_.demand_fading) * refused / admitted));
    auto latest = std::min(std::max(clears_in, 2 * settings_.min_return),
                           from_seconds(std::max(0.0, query.left_s) / 3));
    auto earliest = std::min(settings_.min_return, latest);
    return earliest +
           from_seconds(to_seconds(latest - earliest) * internal::fraction_of(query.number, 0));
}

bool admission_control::is_late(const pool_state& it, const admission_query& query,
                                instant now) const {
    return it.occupancy >= it.usual_occupancy && query.target_ms > 0 &&
           expected_wait_ms(it, query, now) > query.target_ms;
}

admission_verdict admission_control::decide(const admission_query& query, instant now,
                                            const load_elsewhere& other) {
    auto& it = state_of(query.pool);
    auto& rank = it.ranks[query.rank];
    ++it.own.asked;
    it.asked.add(1, settings_.rate_fading, now);
    rank.asked.add(1, settings_.demand_fading, now);
    rank.last = now;
    rank.target_ms = query.target_ms;
    it.shares.on_asked(query.workspace, query.tokens, now);
    admission_verdict verdict;
    double of_all = fraction_of_all(it, now);
    double of_rank = fraction(it, query.rank, of_all, now);
    it.rank_tokens.add(query.tokens * of_rank, settings_.demand_fading, now);
    it.tokens.add(query.tokens * of_all, settings_.demand_fading, now);
    double admitted = it.shares.fraction(query.workspace, of_rank, now);
    it.shares.on_admitted(query.workspace, query.tokens, admitted, now);
    auto seed = static_cast<std::uint64_t>(now.time_since_epoch().count());
    if (internal::fraction_of(query.number, seed) >= admitted) {
        verdict.reason = admission_reason::demand;
    } else if (is_late(it, query, now)) {
        auto load = other ? other() : std::nullopt;
        auto there = query;
        there.server_load = load.value_or(0);
        verdict.elsewhere = load && !is_late(it, there, now);
        if (!verdict.elsewhere)
            verdict.reason = admission_reason::wait;
    }
    if (verdict.admitted()) {
        it.admitted.add(1, settings_.demand_fading, now);
        return verdict;
    }
    verdict.return_after = return_after(it, query, now);
    ++it.refusals;
    it.refused.add(1, settings_.demand_fading, now);
    return verdict;
}

void admission_control::add_answer(pool_state& it, bool late, instant now) {
    ++it.own.answers;
    it.own.late += late ? 1 : 0;
    add_answers(it, 1, late ? 1 : 0, now);
}

void admission_control::add_answers(pool_state& it, double new_answers, double new_late,
                                    instant now) {
    it.answers.add(new_answers, settings_.evidence_fading, now);
    it.late.add(new_late, settings_.evidence_fading, now);
    double answers = it.answers.get(settings_.evidence_fading, now);
    if (now - it.stepped_at < settings_.step_period || answers < settings_.min_evidence)
        return;
    it.stepped_at = now;
    double share = std::min(1.0, it.late.get(settings_.evidence_fading, now) / answers);
    double step = std::clamp(settings_.correction * (settings_.late_share - share),
                             -settings_.max_step, settings_.max_step);
    if (it.occupancy < it.usual_occupancy - settings_.load_margin)
        step = it.usual_occupancy < settings_.usual_occupancy ? settings_.max_step : 0;
    it.usual_occupancy = std::clamp(mean_usual_occupancy(it, now) + step, settings_.min_occupancy,
                                    max_occupancy(it, now));
}

// A request above the slots waits for a call's time over the slots: short calls allow more of them
// within the target.
double admission_control::max_occupancy(const pool_state& it, instant now) const {
    double target_ms = 0;
    for (const auto& [rank, one] : it.ranks) {
        if (now - one.last < settings_.rank_timeout)
            target_ms = std::max(target_ms, one.target_ms);
    }
    if (it.slot_time_ms <= 0)
        return settings_.max_occupancy;
    return std::clamp(1 + internal::queued_part_of_target * target_ms / it.slot_time_ms,
                      settings_.max_occupancy, internal::longest_queue);
}

double admission_control::mean_usual_occupancy(const pool_state& it, instant now) const {
    double sum = it.usual_occupancy;
    double n = 1;
    for (const auto& [name, peer] : it.peers) {
        if (now - peer.at > settings_.peer_timeout)
            continue;
        sum += peer.figures.usual_occupancy;
        ++n;
    }
    return sum / n;
}

std::map<std::string, admission_figures> admission_control::figures(instant now) const {
    std::map<std::string, admission_figures> result;
    for (const auto& [pool, it] : pools_) {
        result[pool] = it.own;
        result[pool].usual_occupancy = it.usual_occupancy;
        result[pool].asked_tokens = it.shares.totals(settings_.reported_workspaces, now);
    }
    return result;
}

// The first report of a run only sets the base: its counters may be old.
void admission_control::on_peer_figures(const std::string& peer, std::uint64_t incarnation,
                                        const std::map<std::string, admission_figures>& figures,
                                        instant now) {
    for (const auto& [pool, one] : figures) {
        auto found = pools_.find(pool);
        if (found == pools_.end())
            continue;
        found->second.shares.on_peer(peer, incarnation, one.asked_tokens,
                                     fraction_of_tokens(found->second, now), now);
        // A pool that nobody asks for here has no other occasion to forget.
        if (!found->second.peers.contains(peer))
            update_peers(found->second, now);
        auto [known, inserted] = found->second.peers.try_emplace(peer);
        auto& last = known->second;
        bool same_run = !inserted && last.incarnation == incarnation;
        if (!inserted &&
            (incarnation < last.incarnation || (same_run && one.answers < last.figures.answers)))
            continue;
        auto before = std::exchange(last, {incarnation, one, now}).figures;
        if (!same_run)
            continue;
        auto rise = [](std::uint64_t from, std::uint64_t to) {
            return to > from ? std::min(internal::max_rise, static_cast<double>(to - from)) : 0.0;
        };
        auto& it = found->second;
        it.asked.add(rise(before.asked, one.asked), settings_.rate_fading, now);
        it.ended.add(rise(before.ended, one.ended), settings_.rate_fading, now);
        if (one.answers > before.answers)
            add_answers(it, rise(before.answers, one.answers), rise(before.late, one.late), now);
    }
}

void admission_control::on_first_answer(const std::string& pool, double took_ms, double target_ms,
                                        instant now) {
    add_answer(state_of(pool), took_ms > target_ms, now);
}

void admission_control::on_not_run(const std::string& pool, instant now) {
    add_answer(state_of(pool), true, now);
}

void admission_control::on_ended(const std::string& pool, duration took, instant now) {
    auto& it = state_of(pool);
    double took_ms = to_seconds(took) * 1000;
    double weight = it.slot_time_ms <= 0 ? 1 : internal::learning_rate;
    it.slot_time_ms += weight * (took_ms - it.slot_time_ms);
    ++it.own.ended;
    it.ended.add(1, settings_.rate_fading, now);
}

void admission_control::on_server_load(const std::string& pool, int requests, int slots,
                                       instant now) {
    auto& it = state_of(pool);
    // An answer comes only from a server that has a request: that one tells nothing of the others.
    double load = static_cast<double>(std::max(0, requests - 1)) / std::max(1, slots);
    it.told.add(1, settings_.evidence_fading, now);
    it.told_load.add(std::min(load, internal::max_told_load), settings_.evidence_fading, now);
}

} // namespace azureyoke::coordination
