#include "standin/demo.h"

#include <csignal>
#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

#include "standin/completion_call.h"
#include "standin/step_printer.h"

namespace azureyoke::standin {

using nlohmann::json;

namespace internal {
namespace {

std::string make_long_prompt() {
    std::string text;
    for (int i = 0; text.size() < 24'000; ++i)
        text += "Rule " + std::to_string(i) + ": a returned cup refunds its deposit once. ";
    return text;
}

std::string summarise_answer(const transport::result<transport::http_response>& answer) {
    if (!answer)
        return "no answer: " + answer.error().what;
    return std::to_string(answer->status) + ", " + std::to_string(answer->body.size()) + " bytes";
}

bool is_whole_stream(const transport::result<transport::http_response>& answer) {
    return answer && answer->status == 200 &&
           answer->body.find("data: [DONE]\n\n") != std::string::npos;
}

void show_streams(fleet& it, step_printer& out) {
    auto prompt = make_long_prompt();
    for (auto& instance : it.instances()) {
        auto answer =
            it.fetch(instance.callers, make_request({it.key("returns"), prompt, 12, true}));
        out.expect(is_whole_stream(answer),
                   "the answer to a long prompt is streamed completely through " + instance.name +
                       " in " + instance.data_centre + " (" + summarise_answer(answer) + ")");
    }
}

void show_explain(fleet& it, step_printer& out) {
    auto& instance = it.instances().front();
    auto answer = it.fetch(instance.callers,
                           make_request({it.key("disputes"), make_long_prompt(), 4, false}));
    auto id = answer ? transport::find_field(answer->fields, "x-request-id").value_or("") : "";
    auto explanation = it.fetch(instance.operators, {"GET", "/explain/" + id, {}, {}});
    bool shown = explanation && explanation->status == 200;
    out.expect(shown, "explain shows where request " + id + " was sent");
    if (!shown)
        return;
    auto value = json::parse(explanation->body);
    for (const auto& step : value["steps"])
        out.print("        " + step["what"].get<std::string>());
}

void show_refund(fleet& it, step_printer& out) {
    transport::http_request refund{
        "POST",
        "/wallet/refund",
        {{"x-api-key", it.key("wallets")}, {"Idempotency-Key", "cup-17"}},
        R"({"cup":17})"};
    auto first = it.fetch(it.instances()[0].callers, refund);
    auto repeated = it.fetch(it.instances()[1].callers, refund);
    bool answers_equal = first && repeated && first->status == 200 && first->body == repeated->body;
    out.expect(answers_equal, "a refund repeated at another instance gives the stored answer: " +
                                  (first ? first->body : first.error().what));
    auto stats = it.fetch(it.service().direct, {"GET", "/stats", {}, {}});
    out.expect(stats && json::parse(stats->body)["runs"]["cup-17"] == 1,
               "the service ran the refund once: " + (stats ? stats->body : ""));
}

void show_withdrawal(fleet& it, step_printer& out) {
    auto& instance = it.instances().front();
    auto request = make_request({it.key("yards"), "short", 2, false});
    out.expect(it.fetch(instance.callers, request)->status == 200, "the key of \"yards\" works");
    it.withdraw_key("yards");
    auto began_at = it.loop().now();
    out.expect(it.apply_document() == 0, "azureyoke apply withdraws the key");
    bool refused = it.wait_until(
        [&] {
            auto answer = it.fetch(instance.callers, request);
            return answer && answer->status == 401;
        },
        5000);
    auto elapsed =
        std::chrono::duration_cast<std::chrono::milliseconds>(it.loop().now() - began_at);
    out.expect(refused, "the key is refused on the open connection " +
                            std::to_string(elapsed.count()) + " ms after the apply began");
}

void show_drain(fleet& it, step_printer& out) {
    auto& instance = it.instances().back();
    transport::result<transport::http_response> stream_answer =
        tl::unexpected(transport::error{transport::errc::timed_out, "no answer", true});
    bool done = false;
    it.client().fetch(instance.callers,
                      make_request({it.key("pickups"), make_long_prompt(), 200, true}),
                      [&](auto answer) {
                          stream_answer = std::move(answer);
                          done = true;
                      });
    auto terminate_timer =
        it.loop().after(std::chrono::milliseconds(150), [&] { instance.child->signal(SIGTERM); });
    while (!done)
        it.loop().run_once(true);
    out.expect(is_whole_stream(stream_answer),
               "SIGTERM during a stream does not interrupt the stream (" +
                   summarise_answer(stream_answer) + ")");
    out.expect(instance.child->wait() == 0, instance.name + " drained and exited with code 0");
    instance.child.reset();
}

void wait_for_interrupt(fleet& it) {
    bool interrupted = false;
    for (int number : {SIGTERM, SIGINT})
        it.loop().on_signal(number, [&] { interrupted = true; });
    while (!interrupted)
        it.loop().run_once(true);
}

} // namespace
} // namespace internal

int run_demo(const fleet_options& options, bool keep, const std::string& describe_file) {
    step_printer out;
    fleet it(options);
    it.start();
    out.print("started " + std::to_string(it.instances().size()) + " instances in " +
              std::to_string(options.data_centres) + " data centres, in front of " +
              std::to_string(it.engines().size()) + " engines and one plain service");
    internal::show_streams(it, out);
    internal::show_explain(it, out);
    internal::show_refund(it, out);
    if (!keep) {
        internal::show_withdrawal(it, out);
        internal::show_drain(it, out);
    }
    if (!describe_file.empty())
        std::ofstream(describe_file) << it.describe();
    if (keep) {
        out.print("running until interrupted; the addresses are in " + describe_file);
        internal::wait_for_interrupt(it);
    }
    out.print(out.failed() ? "some steps FAILED" : "every step succeeded");
    return out.failed() ? 1 : 0;
}

} // namespace azureyoke::standin
