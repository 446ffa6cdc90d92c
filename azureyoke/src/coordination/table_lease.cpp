#include "azureyoke/src/coordination/table_lease.h"

#include <algorithm>

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Fencing tokens of one era: more than there can be holders between two restores of the table.
constexpr std::int64_t fencing_tokens_per_era = 1'000'000;

} // namespace
} // namespace internal

lease_settings leader_lease_settings() {
    lease_settings settings;
    settings.lease_duration = std::chrono::milliseconds(1200);
    settings.clock_drift_margin = std::chrono::milliseconds(100);
    settings.period = std::chrono::milliseconds(400);
    settings.watch_period = std::chrono::milliseconds(1500);
    // Servers that do not check fencing tokens must not get orders of two holders within 3 s.
    settings.max_effect_delay = std::chrono::milliseconds(3000);
    settings.answer_timeout = std::chrono::milliseconds(1200);
    return settings;
}

table_lease::table_lease(const lease_settings& settings, std::string self,
                         std::uint64_t incarnation)
    : settings_(settings), self_(std::move(self)), incarnation_(incarnation) {}

bool table_lease::names_self(const state::lease_row& row) const {
    return row.holder == self_ && row.incarnation == incarnation_;
}

lease_action table_lease::make_request(lease_step step, instant now) {
    request_pending_ = true;
    request_sent_ = now;
    return {step, ++last_request_number_, era_, {}, {}};
}

lease_action table_lease::make_write(const state::record_version& expected_version,
                                     const state::lease_row& row, instant now) {
    auto action = make_request(lease_step::write_row, now);
    action.expected_version = expected_version;
    action.row = row;
    written_row_ = row;
    write_sent_ = now;
    return action;
}

bool table_lease::finish_request(std::uint64_t number) {
    if (!request_pending_ || number != last_request_number_)
        return false;
    request_pending_ = false;
    return true;
}

std::vector<lease_action> table_lease::tick(instant now) {
    if (wanted_)
        unwanted_since_ = instant();
    else if (unwanted_since_ == instant())
        unwanted_since_ = now;
    if (request_pending_ && now - request_sent_ < settings_.answer_timeout)
        return {};
    bool holds = !own_version_.absent();
    if (!wanted_ && holds)
        return release(now);
    if (!wanted_) {
        // Versions seen while watching count once the lease is wanted.
        auto period = watch_ == lease_watch::frequent ? settings_.period : settings_.watch_period;
        if (watch_ == lease_watch::none || now - last_read_ < period)
            return {};
        last_read_ = now;
        return {make_request(lease_step::read_row, now)};
    }
    if (now < next_step_)
        return {};
    next_step_ = now + settings_.period;
    if (holds)
        return {make_write(own_version_, {self_, incarnation_, fencing_token_}, now)};
    return {make_request(lease_step::read_row, now)};
}

std::vector<lease_action> table_lease::release(instant now) {
    valid_until_ = instant();
    // Orders already sent may still take effect: the row is released only after that.
    if (now - unwanted_since_ < settings_.max_effect_delay)
        return {};
    return {make_write(own_version_, {{}, 0, fencing_token_}, now)};
}

void table_lease::on_era(std::int64_t era) {
    if (era <= era_)
        return;
    era_ = era;
    request_pending_ = false; // an answer from the old era says nothing about the new era
    next_step_ = instant();
    valid_until_ = instant();
    own_version_ = {};
    seen_version_ = {};
    seen_since_ = instant();
}

std::int64_t table_lease::next_fencing_token(const state::lease_row& row) const {
    return std::max({row.fencing_token, fencing_token_, era_ * internal::fencing_tokens_per_era}) +
           1;
}

std::vector<lease_action> table_lease::on_row(std::uint64_t number,
                                              const state::record_version& version,
                                              const state::lease_row& row, instant now) {
    on_era(version.era);
    if (version.era != era_ || !finish_request(number))
        return {};
    if (!version.absent() && names_self(row)) {
        // An earlier write of this instance was applied, and its answer was lost.
        own_version_ = version;
        fencing_token_ = row.fencing_token;
        next_step_ = now;
        return {};
    }
    own_version_ = {};
    if (version != seen_version_ || seen_since_ == instant()) {
        seen_version_ = version;
        seen_since_ = now;
    }
    // A row that is absent in a new era may have been lost with the old era, whose holder may still
    // act.
    bool may_be_lost = version.absent() && era_ > 0;
    bool is_free = row.holder.empty() && !may_be_lost;
    auto takeover_delay =
        settings_.lease_duration + settings_.clock_drift_margin + settings_.max_effect_delay;
    if (wanted_ && !is_free)
        next_step_ = std::min(next_step_, seen_since_ + takeover_delay);
    if (!wanted_ || (!is_free && now - seen_since_ < takeover_delay))
        return {};
    return {make_write(version, {self_, incarnation_, next_fencing_token(row)}, now)};
}

void table_lease::on_read_failed(std::uint64_t number) {
    (void)finish_request(number);
}

void table_lease::on_write(std::uint64_t number, write_result result,
                           const state::record_version& version) {
    on_era(version.era);
    if (!finish_request(number) || result == write_result::not_written)
        return;
    if (result != write_result::written) {
        // The next step reads the row, which names the holder.
        own_version_ = {};
        next_step_ = instant();
        return;
    }
    if (!names_self(written_row_)) {
        own_version_ = {};
        valid_until_ = instant();
        return;
    }
    own_version_ = version;
    fencing_token_ = written_row_.fencing_token;
    valid_until_ = write_sent_ + settings_.lease_duration - settings_.clock_drift_margin;
}

} // namespace azureyoke::coordination
