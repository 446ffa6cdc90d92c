#include "azureyoke/src/coordination/fleet_limit.h"

#include <algorithm>

namespace azureyoke::coordination {

fleet_limit::fleet_limit(const fleet_limit_settings& settings, double rate, double burst,
                         instant now)
    : settings_(settings), rate_(rate), burst_(burst), last_refill_(now) {}

double fleet_limit::capacity() const {
    bool windowed = settings_.window > duration();
    return windowed ? burst_ * (1 - settings_.spread_fraction) : burst_;
}

double fleet_limit::fill_rate() const {
    if (settings_.window <= duration())
        return rate_;
    return rate_ + burst_ * settings_.spread_fraction / to_seconds(settings_.window);
}

void fleet_limit::refill(instant now) {
    if (now <= last_refill_)
        return;
    double gained = fill_rate() * usable_part_ * to_seconds(now - last_refill_);
    for (auto& [name, counter] : peers_) {
        // After `unresponsive_timeout` the member counts as unresponsive: `usable_part_` withholds
        // its part, and no later report restores it.
        auto until = std::min(now, counter.last_report + settings_.unresponsive_timeout);
        auto from = std::max(last_refill_, counter.last_report + settings_.report_timeout);
        if (until <= from)
            continue;
        double part = fill_rate() / members_ * to_seconds(until - from);
        counter.withheld += part;
        gained -= part;
    }
    level_ = std::min(capacity(), level_ + std::max(0.0, gained));
    last_refill_ = now;
}

void fleet_limit::set(double rate, double burst, instant now) {
    refill(now);
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, capacity());
}

void fleet_limit::set_members(int members, int unresponsive, instant now) {
    refill(now);
    members_ = std::max(1, members);
    usable_part_ = members <= 0 ? 1.0 : static_cast<double>(members - unresponsive) / members;
}

// A full bucket admits a request larger than its capacity and goes into debt, since such a request
// would never be admitted otherwise.
double fleet_limit::required_level(double cost, charge_kind kind) const {
    return std::min(cost + reserve(kind), capacity());
}

bool fleet_limit::try_acquire(double cost, instant now, charge_kind kind) {
    refill(now);
    if (level_ < required_level(cost, kind))
        return false;
    level_ -= cost;
    spent_ += cost;
    return true;
}

void fleet_limit::refund(double cost) {
    // `spent_` stays as it is, since peers need a monotonic counter: a refund credits only this
    // replica of the bucket.
    level_ = std::min(capacity(), level_ + cost);
}

void fleet_limit::on_peer_spent(const std::string& peer, std::uint64_t incarnation, double total,
                                instant now) {
    refill(now);
    auto [found, is_new] = peers_.try_emplace(peer);
    auto& counter = found->second;
    bool restarted = !is_new && incarnation > counter.incarnation;
    if (!is_new && incarnation < counter.incarnation)
        return;
    bool was_unresponsive = !is_new && now - counter.last_report > settings_.unresponsive_timeout;
    double base = restarted ? 0 : counter.total;
    if (!is_new && !was_unresponsive)
        level_ = std::min(capacity(), level_ + counter.withheld - std::max(0.0, total - base));
    counter.withheld = 0;
    counter.total = restarted ? total : std::max(counter.total, total);
    counter.incarnation = incarnation;
    counter.last_report = now;
}

double fleet_limit::seconds_until(double cost, instant now, charge_kind kind) {
    refill(now);
    double missing = required_level(cost, kind) - level_;
    double rate = fill_rate() * usable_part_;
    return missing <= 0 || rate <= 0 ? 0 : missing / rate;
}

bool fleet_limit::report_due() const {
    auto fraction = std::min(settings_.report_fraction, settings_.fleet_report_fraction / members_);
    return spent_ - reported_ > burst_ * fraction;
}

} // namespace azureyoke::coordination
