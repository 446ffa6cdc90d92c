#include "azureyoke/src/coordination/share_account.h"

#include <algorithm>
#include <stdexcept>

namespace azureyoke::coordination {

namespace internal {
namespace {

__extension__ using int128 = __int128;

constexpr std::int64_t millionths = 1'000'000;
constexpr std::size_t max_peaks = 512;

} // namespace
} // namespace internal

share_account::share_account(const state::rate_limit& limit, std::int64_t part, instant now)
    : limit_(limit), part_(part), last_refill_(now) {
    if (part < 0 || part > whole_limit_parts)
        throw std::invalid_argument("share_account: part must be from 0 to whole_limit_parts");
}

// A level unit is a millionth of a token and a part unit a millionth of the limit, so that the
// product needs no conversion.
std::int64_t share_account::capacity() const {
    return limit_.burst_tokens * part_;
}

std::int64_t share_account::capacity_tokens() const {
    return capacity() / internal::millionths;
}

double share_account::rate() const {
    return static_cast<double>(limit_.tokens_per_second) * static_cast<double>(part_) /
           static_cast<double>(whole_limit_parts);
}

void share_account::expire_loans(instant now) {
    std::erase_if(loans_, [&](const auto& it) {
        if (it.until > now)
            return false;
        lent_ -= it.amount;
        return true;
    });
}

void share_account::refill(instant now) {
    if (now <= last_refill_)
        return;
    // Loans expire after the refill: up to its expiry a loan still reduces the capacity.
    auto room = std::max<std::int64_t>(capacity() - lent_ - level_, 0);
    auto elapsed = (now - last_refill_).count();
    last_refill_ = now;
    internal::int128 gained =
        static_cast<internal::int128>(limit_.tokens_per_second) * part_ * elapsed + remainder_;
    internal::int128 units = gained / internal::millionths;
    if (units >= room) {
        level_ += room;
        remainder_ = 0;
    } else {
        level_ += static_cast<std::int64_t>(units);
        remainder_ = static_cast<std::int64_t>(gained % internal::millionths);
    }
    record_peak();
    expire_loans(now);
}

void share_account::record_peak() {
    auto value = level_ + lent_ - total_raised_;
    while (!peaks_.empty() && peaks_.back().value <= value)
        peaks_.pop_back();
    peaks_.push_back({next_position_++, value});
    if (peaks_.size() <= internal::max_peaks)
        return;
    // Merging two neighbours overstates the later maximum, which can only reduce refunds.
    std::deque<peak> merged;
    for (std::size_t i = 0; i + 1 < peaks_.size(); i += 2)
        merged.push_back({peaks_[i + 1].position, peaks_[i].value});
    if (peaks_.size() % 2 == 1)
        merged.push_back(peaks_.back());
    peaks_ = std::move(merged);
}

std::int64_t share_account::max_value_since(std::uint64_t position) const {
    auto it = std::lower_bound(peaks_.begin(), peaks_.end(), position,
                               [](const peak& p, std::uint64_t s) { return p.position < s; });
    auto current = level_ + lent_ - total_raised_;
    return it == peaks_.end() ? current : std::max(it->value, current);
}

void share_account::resize(const state::rate_limit& limit, std::int64_t part, instant now) {
    refill(now);
    auto before = capacity();
    limit_ = limit;
    part_ = part;
    auto after = capacity();
    // The recorded maxima rise with the capacity: a charge made under the smaller capacity has
    // lost its overflow, and a refund must not restore it.
    total_raised_ += std::max<std::int64_t>(after - before, 0);
    level_ = std::min(level_, std::max<std::int64_t>(after - lent_, 0));
    remainder_ = 0;
    record_peak();
}

std::int64_t share_account::available(instant now) {
    refill(now);
    return level_ / internal::millionths;
}

token_charge share_account::debit(std::int64_t amount) {
    token_charge charge{amount / internal::millionths, next_position_++};
    level_ -= amount;
    return charge;
}

std::optional<token_charge> share_account::spend(std::int64_t tokens, instant now) {
    refill(now);
    if (tokens < 0)
        throw std::invalid_argument("share_account::spend: tokens must not be negative");
    if (tokens > level_ / internal::millionths)
        return std::nullopt;
    return debit(tokens * internal::millionths);
}

std::int64_t share_account::refund(const token_charge& charge, std::int64_t unused, instant now) {
    refill(now);
    if (unused < 0 || unused > charge.tokens)
        throw std::invalid_argument("share_account::refund: unused must be from 0 to the charge");
    auto room = capacity() - (max_value_since(charge.position) + total_raised_);
    // Open loans keep their capacity reserved.
    room = std::min(room, capacity() - lent_ - level_);
    auto restored = std::clamp<std::int64_t>(room, 0, unused * internal::millionths);
    level_ += restored;
    total_raised_ += restored;
    return restored / internal::millionths;
}

std::optional<token_charge> share_account::lend(std::int64_t max_tokens, instant until,
                                                instant now) {
    auto tokens = std::min(max_tokens, available(now));
    if (tokens <= 0)
        return std::nullopt;
    auto charge = debit(tokens * internal::millionths);
    loans_.push_back({charge.position, tokens * internal::millionths, until});
    lent_ += tokens * internal::millionths;
    return charge;
}

std::int64_t share_account::return_loan(const token_charge& loan, std::int64_t unspent,
                                        instant now) {
    refill(now);
    auto it = std::find_if(loans_.begin(), loans_.end(),
                           [&](const auto& open) { return open.position == loan.position; });
    if (it == loans_.end())
        return refund(loan, std::min(unspent, loan.tokens), now);
    auto amount = std::min(unspent * internal::millionths, it->amount);
    it->amount -= amount;
    lent_ -= amount;
    level_ += amount;
    return amount / internal::millionths;
}

void share_account::close_loan(const token_charge& loan) {
    std::erase_if(loans_, [&](const auto& it) {
        if (it.position != loan.position)
            return false;
        lent_ -= it.amount;
        return true;
    });
}

} // namespace azureyoke::coordination
