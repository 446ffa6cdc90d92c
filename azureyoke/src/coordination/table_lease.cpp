#include "azureyoke/src/coordination/table_lease.h"

#include <algorithm>

namespace azureyoke::coordination {

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
    return {step, ++last_number_, 0, {}};
}

lease_action table_lease::write(std::int64_t expected_version, const state::lease_row& row,
                                instant now) {
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
    bool holds = own_version_ != 0;
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

std::vector<lease_action> table_lease::on_row(std::uint64_t number, std::int64_t version,
                                              const state::lease_row& row, instant now) {
    if (!is_pending(number))
        return {};
    if (version != 0 && own(row)) {
        // An earlier write of this instance, whose answer was lost, has taken effect.
        own_version_ = version;
        fence_ = row.fence;
        next_ = now;
        return {};
    }
    own_version_ = 0;
    if (version != seen_version_ || seen_at_ == instant()) {
        seen_version_ = version;
        seen_at_ = now;
    }
    bool is_free = version == 0 || row.holder.empty();
    auto wait = settings_.lapse + settings_.margin + settings_.longest_effect;
    if (wanted_ && !is_free)
        next_ = std::min(next_, seen_at_ + wait);
    if (!wanted_ || (!is_free && now - seen_at_ < wait))
        return {};
    return {write(version, {self_, incarnation_, row.fence + 1}, now)};
}

void table_lease::on_read_failed(std::uint64_t number) {
    (void)is_pending(number);
}

void table_lease::on_write(std::uint64_t number, write_result result, std::int64_t version) {
    if (!is_pending(number) || result == write_result::not_written)
        return;
    if (result != write_result::written) {
        // The next step reads the row, which tells who holds it.
        own_version_ = 0;
        next_ = instant();
        return;
    }
    if (!own(written_)) {
        own_version_ = 0;
        until_ = instant();
        return;
    }
    own_version_ = version;
    fence_ = written_.fence;
    until_ = written_at_ + settings_.lapse - settings_.margin;
}

} // namespace azureyoke::coordination
