// Guards against bad requests or faulty engines that break a caller's answer, keys that reach
// backend servers or stay valid after their withdrawal, and streams cut when an instance
// terminates.
#include <csignal>

#include <criterion/criterion.h>

#include "test/fleet_fixture.h"
#include "test/stream_checker.h"

using namespace azureyoke;

namespace {

std::string long_prompt(int number) {
    std::string text = "request " + std::to_string(number) + ": ";
    while (text.size() < 12'000)
        text += "a rule that many requests share. ";
    return text;
}

} // namespace

Test(caller_path, long_prompt_through_every_instance_streams_back_whole) {
    fleet_fixture fleet;
    for (auto& it : fleet->instances()) {
        auto answer =
            fleet->fetch(it.callers, fleet.completion_request("returns", long_prompt(1), 20, true));
        cr_assert(answer.has_value());
        cr_assert_eq(answer->status, 200);
        cr_assert(check_stream(answer->body, long_prompt(1), 20) == stream_outcome::whole);
    }
}

Test(caller_path, bad_requests_get_their_code_and_say_not_run) {
    fleet_fixture fleet;
    const auto& address = fleet->instances()[0].callers;
    auto good = fleet.completion_request("returns", "prompt", 2, false);
    auto expect_refusal = [&](const transport::http_request& request, int status,
                              const std::string& code) {
        auto answer = fleet->fetch(address, request);
        cr_assert(answer.has_value());
        cr_assert_eq(answer->status, status, "%s: got %d", code.c_str(), answer->status);
        cr_assert_eq(error_code(*answer), code);
        cr_assert_eq(transport::find_field(answer->fields, "x-azureyoke-run").value(), "not-run");
    };
    auto unknown_key = good;
    unknown_key.fields[0].value = "Bearer nobody";
    expect_refusal(unknown_key, 401, "unknown_key");
    auto keyless = good;
    keyless.fields.clear();
    expect_refusal(keyless, 401, "unknown_key");
    auto two_keys = good;
    two_keys.fields.push_back({"x-api-key", "another"});
    expect_refusal(two_keys, 401, "ambiguous_key");
    auto misplaced = good;
    misplaced.fields.push_back({"x-note", fleet->key("returns")});
    expect_refusal(misplaced, 400, "key_misplaced");
    auto wrong_method = good;
    wrong_method.method = "GET";
    wrong_method.body.clear();
    expect_refusal(wrong_method, 405, "method_not_allowed");
    auto bad_json = good;
    bad_json.body = "{\"model\":";
    expect_refusal(bad_json, 400, "malformed_request");
    auto wrong_model = good;
    wrong_model.body = R"({"model":"other","prompt":"p"})";
    expect_refusal(wrong_model, 403, "model_not_permitted");
    auto unknown_route = good;
    unknown_route.target = "/nowhere";
    expect_refusal(unknown_route, 404, "unknown_route");
}

Test(caller_path, oversize_body_and_header_are_refused_and_the_instance_goes_on) {
    fleet_fixture fleet;
    const auto& address = fleet->instances()[0].callers;
    auto large = fleet.completion_request("returns", std::string(9 * 1024 * 1024, 'x'), 2, false);
    auto answer = fleet->fetch(address, large);
    cr_assert(!answer || answer->status == 413);
    auto header = fleet.completion_request("returns", "prompt", 2, false);
    header.fields.push_back({"x-large", std::string(1024 * 1024, 'x')});
    answer = fleet->fetch(address, header);
    cr_assert(!answer || answer->status >= 400);
    answer = fleet->fetch(address, fleet.completion_request("returns", "prompt", 2, false));
    cr_assert_eq(answer.value().status, 200);
}

Test(caller_path, engine_that_answers_wrongly_is_replaced_by_another) {
    fleet_fixture fleet;
    for (const char* fault : {"empty", "garbage", "refuse", "truncate", "skip_token"}) {
        auto body = std::string(R"({"fault":")") + fault + "\"}";
        fleet->control(fleet->engines()[0].direct, "/control", body);
        fleet->control(fleet->engines()[1].direct, "/control", body);
        for (int i = 0; i < 6; ++i) {
            auto prompt = long_prompt(i);
            auto answer = fleet->fetch(fleet->instances()[0].callers,
                                       fleet.completion_request("returns", prompt, 20, true));
            cr_assert(answer.has_value());
            cr_assert(check_stream(answer->body, prompt, 20) == stream_outcome::whole, "%s: %s",
                      fault, answer->body.c_str());
        }
    }
}

Test(caller_path, no_backend_server_sees_a_key) {
    fleet_fixture fleet;
    const auto& address = fleet->instances()[0].callers;
    for (const auto& workspace : {"returns", "disputes"})
        cr_assert_eq(fleet->fetch(address, fleet.completion_request(workspace, "p", 2, false))
                         .value()
                         .status,
                     200);
    cr_assert_eq(fleet->fetch(address, fleet.refund_request("k")).value().status, 200);
    for (auto& it : fleet->engines()) {
        auto stats = fleet->fetch(it.direct, {"GET", "/stats", {}, {}});
        cr_assert(nlohmann::json::parse(stats.value().body)["keys_seen"].empty());
    }
    auto stats = fleet->fetch(fleet->service().direct, {"GET", "/stats", {}, {}});
    cr_assert(nlohmann::json::parse(stats.value().body)["keys_seen"].empty());
}

Test(caller_path, withdrawn_key_is_refused_within_seconds_on_every_instance) {
    fleet_fixture fleet;
    auto request = fleet.completion_request("yards", "prompt", 2, false);
    for (auto& it : fleet->instances())
        cr_assert_eq(fleet->fetch(it.callers, request).value().status, 200);
    fleet->withdraw_key("yards");
    cr_assert_eq(fleet->apply_document(), 0);
    cr_assert(fleet->wait_in_force(10'000));
    for (auto& it : fleet->instances()) {
        auto answer = fleet->fetch(it.callers, request);
        cr_assert_eq(answer.value().status, 401);
        cr_assert_eq(error_code(*answer), "unknown_key");
    }
}

Test(caller_path, leaving_backend_server_gets_no_new_work) {
    fleet_fixture fleet;
    fleet->set_draining("engine-1");
    cr_assert_eq(fleet->apply_document(), 0);
    cr_assert(fleet->wait_in_force(10'000));
    auto served = [&] {
        auto stats = fleet->fetch(fleet->engines()[0].direct, {"GET", "/stats", {}, {}});
        return nlohmann::json::parse(stats.value().body)["served"].get<int>();
    };
    auto before = served();
    for (int i = 0; i < 20; ++i) {
        auto answer = fleet->fetch(fleet->instances()[0].callers,
                                   fleet.completion_request("returns", long_prompt(i), 2, true));
        cr_assert_eq(answer.value().status, 200);
    }
    cr_assert_eq(served(), before);
}

Test(caller_path, termination_in_mid_stream_cuts_nothing) {
    fleet_fixture fleet;
    auto& it = fleet->instances()[0];
    std::optional<transport::result<transport::http_response>> response;
    fleet->client().fetch(it.callers,
                          fleet.completion_request("returns", long_prompt(1), 300, true),
                          [&](auto answer) { response = std::move(answer); });
    auto termination_timer =
        fleet->loop().after(std::chrono::milliseconds(200), [&] { it.child->signal(SIGTERM); });
    while (!response)
        fleet->loop().run_once(true);
    cr_assert(response->has_value());
    cr_assert(check_stream((*response)->body, long_prompt(1), 300) == stream_outcome::whole);
    cr_assert_eq(it.child->wait(), 0);
}
