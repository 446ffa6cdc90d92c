#pragma once

#include <cstdint>
#include <string>

namespace azureyoke::state {

/// \brief Request to a peer to lend tokens of a workspace's limit.
struct loan_request {
    std::uint64_t number = 0; ///< Unique within the borrower's incarnation.
    std::string workspace;
    std::int64_t need = 0;  ///< Tokens for requests that are queued now.
    std::int64_t extra = 0; ///< Tokens that the borrower expects to need soon.

    friend bool operator==(const loan_request&, const loan_request&) = default;
};

/// \brief Answer to a `loan_request`. The lender debits `tokens` before it sends the loan.
struct token_loan {
    std::uint64_t request_number = 0; ///< Number of the `loan_request` that the loan answers.
    std::uint64_t transfer = 0;       ///< Unique within the lender's incarnation.
    std::string workspace;
    std::int64_t tokens = 0;
    std::int64_t still_lendable = 0; ///< Tokens that the lender could still lend.

    friend bool operator==(const token_loan&, const token_loan&) = default;
};

/// \brief Returns unused tokens of a loan to the lender.
struct loan_refund {
    std::uint64_t transfer = 0; ///< Transfer number of the loan.
    std::uint64_t number = 0;   ///< Unique within the borrower's incarnation, to detect repeats.
    std::string workspace;
    std::int64_t tokens = 0;

    friend bool operator==(const loan_refund&, const loan_refund&) = default;
};

/// \brief The lessee's request to its lessor to renew the lease of its grant.
struct lease_renewal_request {
    std::uint64_t incarnation = 0; ///< Incarnation of the lessee.
    std::uint64_t number = 0;

    friend bool operator==(const lease_renewal_request&, const lease_renewal_request&) = default;
};

/// \brief The lessor's confirmation that the grant is valid. A refusal has no message.
struct lease_renewal {
    std::uint64_t number = 0; ///< Number of the `lease_renewal_request`.

    friend bool operator==(const lease_renewal&, const lease_renewal&) = default;
};

} // namespace azureyoke::state
