#include "azureyoke/src/coordination/table_lease.h"

#include <algorithm>

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Fencing numbers of one era: more than there can be holders between two returns of the table.
constexpr std::int64_t fences_of_an_era = 1'000'000;

} // namespace
} // namespace internal

lease_settings settings_of_order_lease() {
    lease_settings made;
    made.lapse = std::chrono::milliseconds(1200);
    made.margin = std::chrono::milliseconds(100);
    made.period = std::chrono::milliseconds(400);
    made.watch_period = std::chrono::milliseconds(1500);
    // Servers that check no fences must not see two holders within three seconds.
    made.longest_effect = std::chrono::milliseconds(3000);
    made.answer_timeout = std::chrono::milliseconds(1200);
    return made;
}

table_lease::table_lease(const lease_settings& settings, std::string self,
                         std::uint64_t incarnation)
    : settings_(settings), self_(std::move(self)), incarnation_(incarnation) {}

bool table_lease::own(const state::lease_row& row) const {
    return row.holder == self_ && row.incarnation == incarnation_;
}

lease_action table_lease::start(lease_step step, instant now) {
    busy_ = true;
    busy_since_ = now;
    return {step, ++last_number_, era_, {}, {}};
}

lease_action table_lease::write(const state::record_version& expected_version,
                                const state::lease_row& row, instant now) {
    auto made = start(lease_step::write_row, now);
    made.expected_version = expected_version;
    made.row = row;
    written_ = row;
    written_at_ = now;
    return made;
}

bool table_lease::is_pending(std::uint64_t number) {
    if (!busy_ || number != last_number_)
        return false;
    busy_ = false;
    return true;
}

std::vector<lease_action> table_lease::tick(instant now) {
    if (wanted_)
        unwanted_since_ = instant();
    else if (unwanted_since_ == instant())
        unwanted_since_ = now;
    if (busy_ && now - busy_since_ < settings_.answer_timeout)
        return {};
    bool holds = !own_version_.absent();
    if (!wanted_ && holds)
        return give_back(now);
    if (!wanted_) {
        // What it sees while it only follows counts once it wants the lease.
        auto period = watch_ == lease_watch::closely ? settings_.period : settings_.watch_period;
        if (watch_ == lease_watch::none || now - last_read_ < period)
            return {};
        last_read_ = now;
        return {start(lease_step::read_row, now)};
    }
    if (now < next_)
        return {};
    next_ = now + settings_.period;
    if (holds)
        return {write(own_version_, {self_, incarnation_, fence_}, now)};
    return {start(lease_step::read_row, now)};
}

std::vector<lease_action> table_lease::give_back(instant now) {
    until_ = instant();
    // What was sent may still take effect: the row is given back once it has.
    if (now - unwanted_since_ < settings_.longest_effect)
        return {};
    return {write(own_version_, {{}, 0, fence_}, now)};
}

void table_lease::on_era(std::int64_t era) {
    if (era <= era_)
        return;
    era_ = era;
    busy_ = false; // an answer of the old era says nothing of the new one
    next_ = instant();
    until_ = instant();
    own_version_ = {};
    seen_version_ = {};
    seen_at_ = instant();
}

std::int64_t table_lease::next_fence(const state::lease_row& row) const {
    return std::max({row.fence, fence_, era_ * internal::fences_of_an_era}) + 1;
}

std::vector<lease_action> table_lease::on_row(std::uint64_t number,
                                              const state::record_version& version,
                                              const state::lease_row& row, instant now) {
    on_era(version.era);
    if (version.era != era_ || !is_pending(number))
        return {};
    if (!version.absent() && own(row)) {
        // An earlier write of this instance, whose answer was lost, has taken effect.
        own_version_ = version;
        fence_ = row.fence;
        next_ = now;
        return {};
    }
    own_version_ = {};
    if (version != seen_version_ || seen_at_ == instant()) {
        seen_version_ = version;
        seen_at_ = now;
    }
    // A row that a new era lacks may have been lost with the old one, whose holder may still act.
    bool may_be_lost = version.absent() && era_ > 0;
    bool is_free = row.holder.empty() && !may_be_lost;
    auto wait = settings_.lapse + settings_.margin + settings_.longest_effect;
    if (wanted_ && !is_free)
        next_ = std::min(next_, seen_at_ + wait);
    if (!wanted_ || (!is_free && now - seen_at_ < wait))
        return {};
    return {write(version, {self_, incarnation_, next_fence(row)}, now)};
}

void table_lease::on_read_failed(std::uint64_t number) {
    (void)is_pending(number);
}

void table_lease::on_write(std::uint64_t number, write_result result,
                           const state::record_version& version) {
    on_era(version.era);
    if (!is_pending(number) || result == write_result::not_written)
        return;
    if (result != write_result::written) {
        // The next step reads the row, which tells who holds it.
        own_version_ = {};
        next_ = instant();
        return;
    }
    if (!own(written_)) {
        own_version_ = {};
        until_ = instant();
        return;
    }
    own_version_ = version;
    fence_ = written_.fence;
    until_ = written_at_ + settings_.lapse - settings_.margin;
}

} // namespace azureyoke::coordination
