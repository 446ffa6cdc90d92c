// Guards against loans and returns that count twice and against spending after the lease expired.
#include "azureyoke/src/coordination/share_manager.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::admission_result;
using coordination::instant;
using coordination::share_manager;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant start = instant() + std::chrono::hours(1);

/// An instance with a full tenth of a limit of 10,000 tokens per second, and one peer.
struct manager_fixture {
    share_manager manager{coordination::share_settings{}, 1};

    manager_fixture() {
        manager.set_limits({{"w", {10'000, 10'000}, 100'000}}, start - seconds(10));
        manager.set_lease_end(start + seconds(100));
        manager.set_peers({{"peer", true}});
    }

    /// Requests `tokens`, more than the own share. \returns the loan request sent to the peer.
    state::loan_request ask(std::int64_t tokens) {
        manager.request_admission(1, "w", tokens, start);
        auto messages = manager.take_messages();
        cr_assert_eq(messages.size(), 1U);
        return std::get<state::loan_request>(messages[0].payload);
    }
};

} // namespace

Test(share_manager, request_within_the_own_share_needs_no_message) {
    manager_fixture it;
    it.manager.request_admission(1, "w", 1000, start);
    cr_assert(it.manager.take_messages().empty());
    cr_assert(it.manager.take_outcomes().front().verdict == admission_result::admitted);
}

Test(share_manager, duplicate_loan_counts_once) {
    manager_fixture it;
    auto ask = it.ask(1500);
    state::token_loan loan{ask.number, 99, "w", 400, 0};
    it.manager.on_message("peer", loan, start);
    cr_assert(it.manager.take_outcomes().empty() || it.manager.available("w", start) <= 1400);
    auto before = it.manager.available("w", start);
    it.manager.on_message("peer", loan, start);
    cr_assert_eq(it.manager.available("w", start), before);
}

Test(share_manager, loan_from_a_peer_that_was_not_asked_is_ignored) {
    manager_fixture it;
    auto ask = it.ask(1500);
    it.manager.on_message("stranger", state::token_loan{ask.number, 99, "w", 400, 0}, start);
    cr_assert_eq(it.manager.available("w", start), 1000);
}

Test(share_manager, loan_expires_before_its_lender_frees_the_reserved_capacity) {
    manager_fixture it;
    auto ask = it.ask(1500);
    it.manager.on_message("peer", state::token_loan{ask.number, 99, "w", 400, 0},
                          start + milliseconds(9));
    auto loan_duration = coordination::share_settings{}.loan_duration;
    cr_assert_leq(it.manager.available("w", start + loan_duration), 1000);
}

Test(share_manager, expired_lease_spends_and_lends_nothing) {
    manager_fixture it;
    it.manager.set_lease_end(start);
    cr_assert_eq(it.manager.available("w", start), 0);
    it.manager.on_message("peer", state::loan_request{5, "w", 100, 0}, start);
    auto messages = it.manager.take_messages();
    cr_assert_eq(std::get<state::token_loan>(messages.at(0).payload).tokens, 0);
}

Test(share_manager, duplicate_return_counts_once) {
    manager_fixture it;
    it.manager.on_message("peer", state::loan_request{5, "w", 600, 0}, start);
    auto loan = std::get<state::token_loan>(it.manager.take_messages().at(0).payload);
    cr_assert_eq(loan.tokens, 600);
    state::loan_refund back{loan.transfer, 1, "w", 300};
    it.manager.on_message("peer", back, start);
    it.manager.on_message("peer", back, start);
    cr_assert_eq(it.manager.available("w", start), 700);
}

Test(share_manager, request_above_the_burst_is_refused_at_once) {
    manager_fixture it;
    it.manager.request_admission(1, "w", 10'001, start);
    cr_assert(it.manager.take_messages().empty());
    auto outcome = it.manager.take_outcomes().at(0);
    cr_assert(outcome.verdict == admission_result::refused);
    cr_assert_eq(outcome.retry_after_seconds, 2);
}

Test(share_manager, unresponsive_peers_do_not_delay_a_request_past_the_ask_timeout) {
    manager_fixture it;
    (void)it.ask(1500);
    it.manager.tick(start + coordination::share_settings{}.local_timeout);
    cr_assert(it.manager.take_outcomes().at(0).verdict == admission_result::refused);
}
