#include "azureyoke/src/coordination/fleet_limit.h"

#include <algorithm>

namespace azureyoke::coordination {

fleet_limit::fleet_limit(const fleet_limit_settings& settings, double rate, double burst,
                         instant now)
    : settings_(settings), rate_(rate), burst_(burst), refilled_(now) {}

double fleet_limit::depth() const {
    bool dealt = settings_.window > duration();
    return dealt ? burst_ * (1 - settings_.dealt_part) : burst_;
}

double fleet_limit::fill_rate() const {
    if (settings_.window <= duration())
        return rate_;
    return rate_ + burst_ * settings_.dealt_part / to_seconds(settings_.window);
}

void fleet_limit::refill(instant now) {
    if (now <= refilled_)
        return;
    double gained = fill_rate() * heard_share_ * to_seconds(now - refilled_);
    for (auto& [name, it] : peers_) {
        // Of one that is silent for long, `heard_share_` holds the part back for good.
        auto until = std::min(now, it.heard + settings_.silence);
        auto from = std::max(refilled_, it.heard + settings_.doubt);
        if (until <= from)
            continue;
        double part = fill_rate() / members_ * to_seconds(until - from);
        it.held_back += part;
        gained -= part;
    }
    level_ = std::min(depth(), level_ + std::max(0.0, gained));
    refilled_ = now;
}

void fleet_limit::set(double rate, double burst, instant now) {
    refill(now);
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, depth());
}

void fleet_limit::set_members(int all, int silent, instant now) {
    refill(now);
    members_ = std::max(1, all);
    heard_share_ = all <= 0 ? 1.0 : static_cast<double>(all - silent) / all;
}

bool fleet_limit::take(double cost, instant now) {
    refill(now);
    // A request larger than the burst is let through by a full bucket, which then owes the rest.
    if (level_ < std::min(cost, depth()))
        return false;
    level_ -= cost;
    spent_ += cost;
    return true;
}

void fleet_limit::refund(double cost) {
    // The counter only rises: peers see a refund as spending that does not come.
    level_ = std::min(depth(), level_ + cost);
}

void fleet_limit::on_peer_spent(const std::string& peer, std::uint64_t incarnation, double total,
                                instant now) {
    refill(now);
    auto [found, fresh] = peers_.try_emplace(peer);
    auto& it = found->second;
    bool restarted = !fresh && incarnation > it.incarnation;
    if (!fresh && incarnation < it.incarnation)
        return;
    bool was_silent = !fresh && now - it.heard > settings_.silence;
    double base = restarted ? 0 : it.total;
    if (!fresh && !was_silent)
        level_ = std::min(depth(), level_ + it.held_back - std::max(0.0, total - base));
    it.held_back = 0;
    it.total = restarted ? total : std::max(it.total, total);
    it.incarnation = incarnation;
    it.heard = now;
}

double fleet_limit::seconds_until(double cost, instant now) {
    refill(now);
    double lacking = std::min(cost, depth()) - level_;
    double rate = fill_rate() * heard_share_;
    return lacking <= 0 || rate <= 0 ? 0 : lacking / rate;
}

bool fleet_limit::report_due() const {
    auto share = std::min(settings_.report_share, settings_.untold_share / members_);
    return spent_ - reported_ > burst_ * share;
}

} // namespace azureyoke::coordination
