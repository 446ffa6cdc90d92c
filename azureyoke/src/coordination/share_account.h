#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/document.h"

namespace azureyoke::coordination {

/// \brief A whole limit in the unit of parts, which are millionths of a limit.
constexpr std::int64_t whole_limit_parts = 1'000'000;

/// \brief Receipt of a debit, needed to refund it.
struct token_charge {
    std::int64_t tokens = 0;
    std::uint64_t position = 0; ///< Position in the account's history.

    friend bool operator==(const token_charge&, const token_charge&) = default;
};

/// \brief Token bucket for one instance's exclusive part of one workspace's limit, with loans.
///
/// Over any window, the tokens debited and not refunded, loans to peers included, are at most
/// part × (burst + rate × window). A refund raises the level at most to the level that
/// a smaller debit would have led to: refill that would have overflowed since then stays lost.
/// While a loan is open, the capacity is lower by the loan's amount, so that all instances together
/// never hold more than one burst. Amounts are millionths of a token, rounded down. Not thread
/// safe.
class share_account {
public:
    share_account(const state::rate_limit& limit, std::int64_t part, instant now);

    /// \brief Changes limit or part. The level is cut to the new capacity and never raised.
    void resize(const state::rate_limit& limit, std::int64_t part, instant now);

    /// \returns the whole tokens that can be spent now.
    std::int64_t available(instant now);
    /// \brief Debits `tokens`, all or none.
    /// \returns the receipt, or nothing when fewer tokens are available.
    /// \pre tokens >= 0
    std::optional<token_charge> spend(std::int64_t tokens, instant now);
    /// \brief Refunds `unused` tokens of a charge.
    /// \pre 0 <= unused <= charge.tokens
    /// \returns the whole tokens restored.
    std::int64_t refund(const token_charge& charge, std::int64_t unused, instant now);

    /// \brief Debits up to `max_tokens` for a loan, which the borrower may hold until `until`.
    /// \returns the receipt, or nothing when no token is available.
    std::optional<token_charge> lend(std::int64_t max_tokens, instant until, instant now);
    /// \brief Credits tokens that the borrower returned unspent: in full while the loan is open,
    /// since its capacity is reserved, and as a refund after it expired.
    /// \returns the whole tokens restored.
    std::int64_t return_loan(const token_charge& loan, std::int64_t unspent, instant now);
    /// \brief Closes a loan that was spent or returned and frees the capacity reserved for it.
    void close_loan(const token_charge& loan);

    /// \brief Refill rate in tokens per second.
    double rate() const;
    std::int64_t capacity_tokens() const;

private:
    struct peak {
        std::uint64_t position = 0;
        std::int64_t value = 0; ///< level_ + lent_ - total_raised_ at this position.
    };

    struct open_loan {
        std::uint64_t position = 0;
        std::int64_t amount = 0;
        instant until;
    };

    std::int64_t capacity() const;
    void refill(instant now);
    void record_peak();
    std::int64_t max_value_since(std::uint64_t position) const;
    token_charge debit(std::int64_t amount);
    void expire_loans(instant now);

    state::rate_limit limit_;
    std::int64_t part_;
    instant last_refill_;
    std::int64_t remainder_ = 0; ///< Refill below one millionth of a token, carried over.
    std::int64_t level_ = 0;
    std::int64_t total_raised_ = 0; ///< Sum of all refunds and capacity increases.
    std::uint64_t next_position_ = 1;
    /// Suffix maxima of the history: positions ascend, values descend.
    std::deque<peak> peaks_;
    std::vector<open_loan> loans_;
    std::int64_t lent_ = 0; ///< Sum of the open loans.
};

} // namespace azureyoke::coordination
