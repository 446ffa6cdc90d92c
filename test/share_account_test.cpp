// Guards against an account that admits more than burst + rate x window, in particular by refunds
// and loans.
#include "azureyoke/src/coordination/share_account.h"

#include <deque>
#include <random>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "test/property.h"

using namespace azureyoke;
using coordination::instant;
using coordination::share_account;
using coordination::token_charge;
using coordination::whole_limit_parts;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr state::rate_limit limit{1000, 2000};
const instant start = instant() + std::chrono::hours(1);

share_account full_account(std::int64_t part = whole_limit_parts) {
    share_account account(limit, part, start - seconds(10));
    (void)account.available(start);
    return account;
}

} // namespace

Test(share_account, new_account_starts_empty) {
    share_account account(limit, whole_limit_parts, start);
    cr_assert_eq(account.available(start), 0);
    cr_assert_not(account.spend(1, start).has_value());
}

Test(share_account, idle_account_fills_to_its_burst) {
    auto account = full_account();
    cr_assert_eq(account.available(start), 2000);
    cr_assert_eq(account.available(start + seconds(100)), 2000);
}

Test(share_account, part_scales_rate_and_burst) {
    auto account = full_account(whole_limit_parts / 4);
    cr_assert_eq(account.available(start), 500);
    cr_assert(account.spend(500, start).has_value());
    cr_assert_eq(account.available(start + seconds(1)), 250);
}

Test(share_account, immediate_refund_restores_the_charge) {
    auto account = full_account();
    auto charge = account.spend(1500, start);
    cr_assert_eq(account.refund(*charge, 1000, start), 1000);
    cr_assert_eq(account.available(start), 1500);
}

// With a smaller charge, the refill since then would have overflowed, so nothing is restored.
Test(share_account, refund_after_refill_does_not_restore_overflowed_tokens) {
    auto account = full_account();
    auto charge = account.spend(1000, start);
    cr_assert_eq(account.available(start + seconds(1)), 2000);
    auto next = account.spend(2000, start + seconds(1));
    cr_assert(next.has_value());
    cr_assert_eq(account.refund(*charge, 1000, start + seconds(1)), 0);
}

Test(share_account, two_refunds_do_not_use_the_same_capacity_twice) {
    auto account = full_account();
    auto a = account.spend(1000, start);
    auto b = account.spend(1000, start);
    cr_assert_eq(account.available(start + seconds(1)), 1000);
    cr_assert(account.spend(1000, start + seconds(1)).has_value());
    auto restored =
        account.refund(*a, 1000, start + seconds(1)) + account.refund(*b, 1000, start + seconds(1));
    cr_assert_eq(restored, 1000);
}

Test(share_account, open_loan_reserves_its_capacity_until_it_expires) {
    auto account = full_account();
    auto loan = account.lend(1500, start + milliseconds(300), start);
    cr_assert_eq(loan->tokens, 1500);
    cr_assert_eq(account.available(start + milliseconds(299)), 500);
    // After the loan expired, the capacity reserved for it refills.
    (void)account.available(start + milliseconds(301));
    cr_assert_eq(account.available(start + milliseconds(801)), 1000);
}

Test(share_account, unspent_loan_is_returned_in_full) {
    auto account = full_account();
    auto loan = account.lend(1500, start + milliseconds(300), start);
    cr_assert_eq(account.return_loan(*loan, 1500, start + milliseconds(100)), 1500);
    cr_assert_eq(account.available(start + milliseconds(100)), 2000);
}

Test(share_account, lowered_limit_cuts_the_level_at_once) {
    auto account = full_account();
    account.resize({1000, 100}, whole_limit_parts, start);
    cr_assert_eq(account.available(start), 100);
}

Test(share_account, raised_limit_does_not_raise_the_level_at_once) {
    share_account account({1000, 100}, whole_limit_parts, start - seconds(10));
    cr_assert_eq(account.available(start), 100);
    account.resize(limit, whole_limit_parts, start);
    cr_assert_eq(account.available(start), 100);
}

namespace {

struct use {
    instant at;
    std::int64_t tokens = 0; ///< Charged minus refunded.
};

/// \returns whether the tokens used in every window are at most burst + rate x window.
bool within_limit(const std::deque<use>& uses) {
    for (std::size_t i = 0; i < uses.size(); ++i) {
        double sum = 0;
        for (std::size_t j = i; j < uses.size(); ++j) {
            sum += static_cast<double>(uses[j].tokens);
            auto window = coordination::to_seconds(uses[j].at - uses[i].at);
            if (sum > 2000 + 1000 * window + 1e-3)
                return false;
        }
    }
    return true;
}

} // namespace

Test(share_account, any_history_of_charges_and_refunds_stays_within_the_limit_of_every_window) {
    check_property("spend and refund", [] {
        auto account = full_account();
        auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 1500)));
        std::deque<use> uses;
        std::vector<std::pair<std::size_t, token_charge>> open;
        auto now = start;
        for (const auto& [kind, amount] : steps) {
            if (kind == 0) {
                now += milliseconds(amount);
            } else if (kind <= 2) {
                if (auto charge = account.spend(amount, now)) {
                    open.emplace_back(uses.size(), *charge);
                    uses.push_back({now, amount});
                }
            } else if (!open.empty()) {
                auto at = static_cast<std::size_t>(amount) % open.size();
                auto [use_index, charge] = open[at];
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
                auto unused = charge.tokens / 2;
                (void)account.refund(charge, unused, now);
                // The caller used only the remainder, however much the account restored.
                uses[use_index].tokens -= unused;
            }
        }
        RC_ASSERT(within_limit(uses));
    });
}
