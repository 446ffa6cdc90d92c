// Guards against a refund that runs twice, or is reported as not run although it ran, when answers
// of the service or of the table are lost.
#include <criterion/criterion.h>

#include "test/fleet_fixture.h"

using namespace azureyoke;

namespace {

standin::fleet_options behind_proxy_options() {
    standin::fleet_options options;
    options.behind_proxy = true;
    options.engines = 2;
    return options;
}

std::string run_field(const transport::http_response& answer) {
    return transport::find_field(answer.fields, "x-azureyoke-run").value_or("");
}

} // namespace

Test(at_most_once, repeat_through_another_instance_gets_the_stored_answer) {
    fleet_fixture fleet(behind_proxy_options());
    auto first = fleet->fetch(fleet->instances()[0].callers, fleet.refund_request("a"));
    cr_assert_eq(first.value().status, 200);
    for (auto& it : fleet->instances()) {
        auto again = fleet->fetch(it.callers, fleet.refund_request("a"));
        cr_assert_eq(again.value().status, 200);
        cr_assert_eq(again->body, first->body);
    }
    cr_assert_eq(fleet.run_count("a"), 1);
}

Test(at_most_once, same_key_with_another_body_is_refused) {
    fleet_fixture fleet(behind_proxy_options());
    cr_assert_eq(
        fleet->fetch(fleet->instances()[0].callers, fleet.refund_request("a")).value().status, 200);
    auto other = fleet.refund_request("a");
    other.body = R"({"cup":2})";
    auto answer = fleet->fetch(fleet->instances()[1].callers, other);
    cr_assert_eq(answer.value().status, 409);
    cr_assert_eq(error_code(*answer), "idempotency_mismatch");
    cr_assert_eq(fleet.run_count("a"), 1);
}

Test(at_most_once, answer_lost_after_the_effect_is_unknown_and_never_run_again) {
    fleet_fixture fleet(behind_proxy_options());
    fleet->control(fleet->proxy(), "/control", R"({"link":"wallet-1","fault":"drop_answer"})");
    auto answer = fleet->fetch(fleet->instances()[0].callers, fleet.refund_request("a"));
    cr_assert_eq(answer.value().status, 504);
    cr_assert_eq(run_field(*answer), "unknown");
    fleet->control(fleet->proxy(), "/control", R"({"link":"wallet-1","fault":"none"})");
    for (auto& it : fleet->instances()) {
        auto again = fleet->fetch(it.callers, fleet.refund_request("a"));
        cr_assert_neq(again.value().status, 200);
        cr_assert_eq(run_field(*again), "unknown");
    }
    cr_assert_eq(fleet.run_count("a"), 1);
}

Test(at_most_once, crossed_answer_is_discarded) {
    fleet_fixture fleet(behind_proxy_options());
    fleet->control(fleet->service().direct, "/control", R"({"fault":"cross_answers"})");
    auto answer = fleet->fetch(fleet->instances()[0].callers, fleet.refund_request("a"));
    cr_assert_eq(answer.value().status, 504);
    cr_assert_eq(run_field(*answer), "unknown");
    cr_assert_eq(fleet.run_count("a"), 1);
}

// During the outage the instance cannot read whether the key has already run, so the answer says
// "unknown": "not-run" could be false for a repeated key.
Test(at_most_once, platform_outage_refuses_without_running_and_says_unknown) {
    fleet_fixture fleet(behind_proxy_options());
    fleet->control(fleet->platform(), "/control", R"({"outage":true})");
    auto answer = fleet->fetch(fleet->instances()[0].callers, fleet.refund_request("a"));
    cr_assert_eq(answer.value().status, 503);
    cr_assert_eq(error_code(*answer), "record_unavailable");
    cr_assert_eq(run_field(*answer), "unknown");
    cr_assert_eq(fleet.run_count("a"), 0);
    fleet->control(fleet->platform(), "/control", R"({"outage":false})");
    cr_assert_eq(
        fleet->fetch(fleet->instances()[0].callers, fleet.refund_request("a")).value().status, 200);
    cr_assert_eq(fleet.run_count("a"), 1);
}

// Guards against "not-run" for a key whose record was not read: the first request may have run.
Test(at_most_once, refusal_of_a_repeat_before_its_record_is_read_says_unknown) {
    fleet_fixture fleet(behind_proxy_options());
    cr_assert_eq(
        fleet->fetch(fleet->instances()[0].callers, fleet.refund_request("a")).value().status, 200);
    auto elsewhere = fleet.refund_request("a");
    elsewhere.target = "/no-such-route";
    auto answer = fleet->fetch(fleet->instances()[0].callers, elsewhere);
    cr_assert_eq(answer.value().status, 404);
    cr_assert_eq(run_field(*answer), "unknown");
    std::erase_if(elsewhere.fields, [](const auto& it) { return it.name == "Idempotency-Key"; });
    answer = fleet->fetch(fleet->instances()[0].callers, elsewhere);
    cr_assert_eq(run_field(answer.value()), "not-run");
}

Test(at_most_once, lost_table_answers_run_each_key_once) {
    fleet_fixture fleet(behind_proxy_options());
    fleet->control(fleet->platform(), "/control", R"({"lose_answers":0.5})");
    for (int i = 0; i < 20; ++i) {
        auto key = "k" + std::to_string(i);
        auto answer = fleet->fetch(fleet->instances()[0].callers, fleet.refund_request(key));
        cr_assert(answer.has_value());
        auto run_count = fleet.run_count(key);
        cr_assert_leq(run_count, 1);
        if (answer->status != 200 && run_field(*answer) == "not-run")
            cr_assert_eq(run_count, 0);
    }
}
