#include "azureyoke/src/coordination/share_keeper.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::instant;
using coordination::share_keeper;
using coordination::share_verdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant start = instant() + std::chrono::hours(1);

/// An instance with a full tenth of a limit of 10,000 tokens per second, and one peer.
struct keeper_fixture {
    share_keeper keeper{coordination::share_settings{}, 1};

    keeper_fixture() {
        keeper.set_limits({{"w", {10'000, 10'000}, 100'000}}, start - seconds(10));
        keeper.set_lease(start + seconds(100));
        keeper.set_peers({{"peer", true}});
    }

    /// Requests more than the own share. \returns the ask that was sent to the peer.
    state::token_ask ask(std::int64_t tokens) {
        keeper.request(1, "w", tokens, start);
        auto messages = keeper.take_messages();
        cr_assert_eq(messages.size(), 1U);
        return std::get<state::token_ask>(messages[0].payload);
    }
};

} // namespace

Test(share_keeper, request_within_the_own_share_needs_no_message) {
    keeper_fixture it;
    it.keeper.request(1, "w", 1000, start);
    cr_assert(it.keeper.take_messages().empty());
    cr_assert(it.keeper.take_outcomes().front().verdict == share_verdict::admitted);
}

Test(share_keeper, duplicate_loan_counts_once) {
    keeper_fixture it;
    auto ask = it.ask(1500);
    state::token_loan loan{ask.number, 99, "w", 400, 0};
    it.keeper.on_message("peer", loan, start);
    cr_assert(it.keeper.take_outcomes().empty() || it.keeper.available("w", start) <= 1400);
    auto before = it.keeper.available("w", start);
    it.keeper.on_message("peer", loan, start);
    cr_assert_eq(it.keeper.available("w", start), before);
}

Test(share_keeper, loan_from_a_peer_that_was_not_asked_is_ignored) {
    keeper_fixture it;
    auto ask = it.ask(1500);
    it.keeper.on_message("stranger", state::token_loan{ask.number, 99, "w", 400, 0}, start);
    cr_assert_eq(it.keeper.available("w", start), 1000);
}

Test(share_keeper, loan_expires_before_its_lender_frees_the_reserved_capacity) {
    keeper_fixture it;
    auto ask = it.ask(1500);
    it.keeper.on_message("peer", state::token_loan{ask.number, 99, "w", 400, 0},
                         start + milliseconds(9));
    auto loan_duration = coordination::share_settings{}.loan_duration;
    cr_assert_leq(it.keeper.available("w", start + loan_duration), 1000);
}

Test(share_keeper, expired_lease_spends_and_lends_nothing) {
    keeper_fixture it;
    it.keeper.set_lease(start);
    cr_assert_eq(it.keeper.available("w", start), 0);
    it.keeper.on_message("peer", state::token_ask{5, "w", 100, 0}, start);
    auto messages = it.keeper.take_messages();
    cr_assert_eq(std::get<state::token_loan>(messages.at(0).payload).tokens, 0);
}

Test(share_keeper, duplicate_return_counts_once) {
    keeper_fixture it;
    it.keeper.on_message("peer", state::token_ask{5, "w", 600, 0}, start);
    auto loan = std::get<state::token_loan>(it.keeper.take_messages().at(0).payload);
    cr_assert_eq(loan.tokens, 600);
    state::token_return back{loan.transfer, 1, "w", 300};
    it.keeper.on_message("peer", back, start);
    it.keeper.on_message("peer", back, start);
    cr_assert_eq(it.keeper.available("w", start), 700);
}

Test(share_keeper, request_above_the_burst_is_refused_at_once) {
    keeper_fixture it;
    it.keeper.request(1, "w", 10'001, start);
    cr_assert(it.keeper.take_messages().empty());
    auto outcome = it.keeper.take_outcomes().at(0);
    cr_assert(outcome.verdict == share_verdict::refused);
    cr_assert_eq(outcome.retry_after_seconds, 2);
}

Test(share_keeper, unresponsive_peers_do_not_delay_a_request_past_the_ask_timeout) {
    keeper_fixture it;
    (void)it.ask(1500);
    it.keeper.tick(start + coordination::share_settings{}.local_timeout);
    cr_assert(it.keeper.take_outcomes().at(0).verdict == share_verdict::refused);
}
