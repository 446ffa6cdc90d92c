#include "azureyoke/src/coordination/server_speed.h"

#include <algorithm>
#include <cmath>

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Slowdowns above this are taken for this one: such a server is avoided either way, and a false
/// figure must not dominate the estimate.
constexpr double max_slowdown = 10;
/// From this slowdown on, an answer tells whether the told figure shows in it, and tells less of
/// the hardware, since when the slowdown began is not known.
constexpr double noticeable_slowdown = 1.2;
constexpr double slowed_weight = 0.25;
/// Least weight of a new answer. Times of single answers differ by a factor of two, so that some
/// twenty answers are averaged.
constexpr double hardware_learning_rate = 0.05;
constexpr double pool_learning_rate = 0.02;
/// Answers of a pool after which its model counts half when a server's hardware is learned.
constexpr double pool_half_weight = 20;
/// Answers of a server after which its hardware's learned value counts half.
constexpr double hardware_prior = 2;
/// Bound of one answer's effect: a single very late answer is no sign of slow hardware.
constexpr double max_log_error = 1.1;
constexpr double max_log_hardware = 2.3;
/// Nominal time from which an error is attributed to the rate rather than to the fixed delay.
constexpr double fixed_scale_ms = 100;
constexpr double min_rate = 0.1;
constexpr double max_rate = 10;
constexpr double max_fixed_ms = 10'000;
/// Part of the evidence on the told figures that is kept at each further answer.
constexpr double trust_kept = 0.98;
/// Trust at which operators are told that it is lost or restored; apart, so that chance does not
/// repeat the messages.
constexpr double lost_trust = 0.3;
constexpr double restored_trust = 0.7;
constexpr duration unheard_timeout = std::chrono::minutes(10);

double to_ms(duration time) {
    return to_seconds(time) * 1000;
}

} // namespace
} // namespace internal

server_speed::server_model& server_speed::server_at(const std::string& id, instant now) {
    if (servers_.size() >= settings_.max_servers && !servers_.contains(id)) {
        std::erase_if(servers_, [&](const auto& it) {
            return now - it.second.heard_at >= internal::unheard_timeout;
        });
        if (servers_.size() >= settings_.max_servers)
            servers_.clear();
    }
    auto& found = servers_[id];
    found.heard_at = now;
    return found;
}

server_speed::pool_model server_speed::faded(const pool_model& pool, instant now) const {
    auto made = pool;
    double age = std::max(0.0, to_seconds(now - pool.learned_at));
    double kept = std::exp(-age / to_seconds(settings_.pool_fading_time));
    made.fixed_ms *= kept;
    made.rate = initial_rate + (made.rate - initial_rate) * kept;
    made.log_bias *= kept;
    made.average_excess *= kept;
    made.observations *= kept;
    made.told *= kept;
    made.learned_at = std::max(pool.learned_at, now);
    return made;
}

server_speed::pool_model& server_speed::pool_at(const std::string& name, instant now) {
    auto& found = pools_[name];
    found = faded(found, now);
    return found;
}

void server_speed::on_slowdown(const told_slowdown& told, instant now) {
    if (!std::isfinite(told.slowdown) || told.slowdown <= 0 || told.told_at > now)
        return;
    auto& it = server_at(told.server, now);
    double slowdown = std::min(told.slowdown, internal::max_slowdown);
    bool known = told.told_at == it.told_at && slowdown == it.slowdown;
    if (told.told_at < it.told_at || known)
        return;
    it.told_at = told.told_at;
    it.slowdown = slowdown;
    auto& pool = pool_at(told.pool, now);
    ++pool.told;
    double excess = std::max(0.0, std::pow(it.slowdown, trust_of(it)) - 1);
    pool.average_excess +=
        std::max(internal::pool_learning_rate, 1 / (pool.told + internal::pool_half_weight)) *
        (excess - pool.average_excess);
}

void server_speed::on_own_slowdown(const told_slowdown& told, instant now) {
    auto known = servers_.find(told.server);
    bool was_slowed =
        known != servers_.end() && known->second.slowdown >= internal::noticeable_slowdown;
    on_slowdown(told, now);
    bool may_keep = unreported_slowdowns_.size() < settings_.max_unreported ||
                    unreported_slowdowns_.contains(told.server);
    if (may_keep && (was_slowed || told.slowdown >= internal::noticeable_slowdown))
        unreported_slowdowns_[told.server] = told;
}

std::vector<told_slowdown> server_speed::take_unreported_slowdowns() {
    std::vector<told_slowdown> list;
    for (const auto& [server, it] : std::exchange(unreported_slowdowns_, {}))
        list.push_back(it);
    return list;
}

double server_speed::trust_of(const server_model& it) {
    return std::clamp(it.trust_xy / it.trust_xx, 0.0, 1.0);
}

double server_speed::hardware_of(const server_model& it, instant now) const {
    double age = std::max(0.0, to_seconds(now - it.observed_at));
    return std::exp(it.log_hardware * std::exp(-age / to_seconds(settings_.fading_time)));
}

// The told figure may come from any moment of the slowdown, so that the time which is left of it is
// taken as evenly distributed between nothing and `slowdown_life`. This is the mean, over that
// distribution, of the lesser of two times: what the whole work loses, and what is lost until the
// slowdown ends.
double server_speed::extra_ms(double slowdown, double work_ms, duration left) const {
    if (slowdown <= 1 || left <= duration())
        return 0;
    double left_ms = internal::to_ms(left);
    double loss_per_ms = 1 - 1 / slowdown;
    double slowed_work_ms = work_ms * slowdown;
    double partly_ms = std::min(left_ms, slowed_work_ms);
    double sum = loss_per_ms * partly_ms * partly_ms / 2 +
                 (left_ms - partly_ms) * loss_per_ms * slowed_work_ms;
    return sum / internal::to_ms(settings_.slowdown_life);
}

double server_speed::extra_ms(const pool_model& pool, const server_model& it, double work_ms,
                              instant now) const {
    auto age = std::max(duration(), now - it.told_at);
    double slowdown = std::pow(std::max(1.0, it.slowdown), trust_of(it));
    double now_ms = extra_ms(slowdown, work_ms, settings_.slowdown_life - age);
    // A server that told nothing lately may be slowed like any other.
    double unknown = std::min(1.0, internal::to_ms(age) / internal::to_ms(settings_.slowdown_life));
    double mean_left_ms = internal::to_ms(settings_.slowdown_life) / 2;
    return now_ms + unknown * pool.average_excess * std::min(work_ms, mean_left_ms);
}

double server_speed::estimate_ms(const std::string& pool, const std::string& server,
                                 double nominal_ms, instant now) const {
    auto model = pools_.find(pool);
    if (model == pools_.end())
        return pool_model().expect(nominal_ms);
    auto found = servers_.find(server);
    const auto& it = found == servers_.end() ? server_model() : found->second;
    auto known = faded(model->second, now);
    double work_ms = known.expect(nominal_ms) * hardware_of(it, now);
    return work_ms + extra_ms(known, it, work_ms, now);
}

void server_speed::learn_pool(pool_model& pool, double nominal_ms, double took_ms) const {
    double expected = pool.expect(nominal_ms);
    double took = std::clamp(took_ms, internal::min_rate * nominal_ms,
                             internal::max_rate * nominal_ms + internal::fixed_scale_ms);
    double rate = std::max(internal::pool_learning_rate, 1 / (pool.observations + 1));
    double scale = internal::fixed_scale_ms * internal::fixed_scale_ms;
    double step = rate * (took - expected) / (nominal_ms * nominal_ms + scale);
    pool.fixed_ms = std::clamp(pool.fixed_ms + step * scale, 0.0, internal::max_fixed_ms);
    pool.rate = std::clamp(pool.rate + step * nominal_ms, internal::min_rate, internal::max_rate);
    ++pool.observations;
}

void server_speed::learn_trust(server_model& it, double felt_log, double actual_log) const {
    auto keep = [](double sum) { return trust_prior + internal::trust_kept * (sum - trust_prior); };
    double actual = std::clamp(actual_log, -internal::max_log_error, 2 * felt_log);
    it.trust_xx = keep(it.trust_xx) + felt_log * felt_log;
    it.trust_xy = keep(it.trust_xy) + felt_log * actual;
}

void server_speed::note_trust(const std::string& id, server_model& it) {
    double trust = trust_of(it);
    bool changed = it.distrusted ? trust > internal::restored_trust : trust < internal::lost_trust;
    if (!changed)
        return;
    it.distrusted = !it.distrusted;
    if (trust_changes_.size() < settings_.max_unreported)
        trust_changes_.push_back({id, !it.distrusted});
}

void server_speed::observe(const first_answer_observation& seen, instant now) {
    auto sound = [](double value) { return std::isfinite(value) && value > 0; };
    if (!sound(seen.nominal_ms) || !sound(seen.took_ms) ||
        (seen.slowdown && !sound(*seen.slowdown)))
        return;
    if (seen.slowdown)
        on_slowdown({seen.pool, seen.server, *seen.slowdown, seen.answered_at}, now);
    auto& pool = pool_at(seen.pool, now);
    auto& it = server_at(seen.server, now);
    double expected = pool.expect(seen.nominal_ms);
    it.log_hardware = std::log(hardware_of(it, now));
    it.observed_at = now;
    double work_ms = std::max(expected * std::exp(it.log_hardware), 0.1);
    double told = std::min(seen.slowdown.value_or(1), internal::max_slowdown);
    // The told figure comes at the end of the time that it slowed, of which as much may have passed
    // as is left at the beginning.
    auto felt = [&](double slowdown) {
        return 1 + extra_ms(slowdown, work_ms, settings_.slowdown_life) / work_ms;
    };
    double believed = felt(std::pow(std::max(1.0, told), trust_of(it)));
    bool slowed = told >= internal::noticeable_slowdown;
    double ratio_log = std::log(seen.took_ms / std::max(expected * believed, 0.1));
    double error = std::clamp(ratio_log - pool.log_bias - it.log_hardware, -internal::max_log_error,
                              internal::max_log_error);
    if (slowed) {
        learn_trust(it, std::log(felt(told)), std::log(seen.took_ms / work_ms) - pool.log_bias);
        note_trust(seen.server, it);
    }
    double weight = (slowed ? internal::slowed_weight : 1) * pool.observations /
                    (pool.observations + internal::pool_half_weight);
    it.observations += weight;
    double rate = std::max(internal::hardware_learning_rate,
                           1 / (it.observations + internal::hardware_prior));
    it.log_hardware = std::clamp(it.log_hardware + rate * weight * error,
                                 -internal::max_log_hardware, internal::max_log_hardware);
    double bias_rate = std::max(internal::pool_learning_rate, 1 / (pool.observations + 1));
    pool.log_bias += bias_rate * (std::clamp(ratio_log, -internal::max_log_hardware,
                                             internal::max_log_hardware) -
                                  pool.log_bias);
    learn_pool(pool, seen.nominal_ms, seen.took_ms / believed);
}

void server_speed::observe_own(const first_answer_observation& seen, instant now) {
    observe(seen, now);
    if (seen.slowdown)
        unreported_slowdowns_.erase(seen.server);
    if (unreported_.size() >= settings_.max_unreported)
        unreported_.erase(unreported_.begin(),
                          unreported_.begin() +
                              static_cast<std::ptrdiff_t>(settings_.max_unreported / 2));
    unreported_.push_back(seen);
}

speed_belief server_speed::belief(const std::string& pool, const std::string& server,
                                  instant now) const {
    speed_belief result;
    auto model = pools_.find(pool);
    auto found = servers_.find(server);
    if (model == pools_.end() || found == servers_.end())
        return result;
    const auto& it = found->second;
    result.hardware = hardware_of(it, now);
    result.told_slowdown = it.slowdown;
    result.slowdown_trust = trust_of(it);
    result.observations = it.observations;
    // Of work that is short against the slowdown's length.
    constexpr double short_work_ms = 1;
    result.slowdown =
        1 + extra_ms(faded(model->second, now), it, short_work_ms, now) / short_work_ms;
    return result;
}

std::optional<double> server_speed::told_since(const std::string& server, instant since) const {
    auto found = servers_.find(server);
    if (found == servers_.end() || found->second.told_at < since)
        return std::nullopt;
    return found->second.slowdown;
}

} // namespace azureyoke::coordination
