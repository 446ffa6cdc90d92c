// Guards against failed requests whose log lines do not name the server and the reason.
#include "forward_fixture.h"

#include <cstdio>

#include <criterion/criterion.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <nlohmann/json.hpp>

using namespace azureyoke;
using state::execution_rule;

namespace {

/// Collects the log lines that are written.
class captured_log : public log4cxx::AppenderSkeleton {
public:
    void close() override {}

    bool requiresLayout() const override { return false; }

    /// \returns the lines with the request's id, oldest first.
    std::vector<nlohmann::json> of(const std::string& request) const {
        std::vector<nlohmann::json> found;
        for (const auto& it : lines_) {
            if (it.value("request", "") == request)
                found.push_back(it);
        }
        return found;
    }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&) override {
        lines_.push_back(nlohmann::json::parse(event->getRenderedMessage()));
    }

private:
    std::vector<nlohmann::json> lines_;
};

struct logging_fixture : forward_fixture {
    std::shared_ptr<captured_log> captured = std::make_shared<captured_log>();

    explicit logging_fixture(const state::forward_route& route) : forward_fixture(route) {
        log_limiter = app::log_rate_limiter(100);
        log4cxx::Logger::getLogger("azureyoke")->addAppender(captured);
    }
};

} // namespace

Test(explain_failure, refusal_for_a_long_wait_names_the_server_and_its_estimate) {
    logging_fixture it(forward_fixture::route(execution_rule::once, 1));
    it.state->router.on_peer_work("peer", {{"a", {0, 9'000'000}}, {"b", {0, 9'000'000}}},
                                  it.loop.now());
    cr_assert_eq(it.fetch_answer({{"id", "q1"}}).status, 503);
    auto found = it.captured->of("q1");
    cr_assert_eq(found.size(), 1U);
    cr_assert_eq(found[0]["name"], "request_refused");
    cr_assert_eq(found[0]["sends"], "0");
    cr_assert_neq(found[0]["backend_server"], "");
    cr_assert_gt(std::stoll(found[0]["estimate_ms"].get<std::string>()), 2000);
    cr_assert(found[0]["detail"].get<std::string>().find("wait") != std::string::npos);
}

Test(explain_failure, aborted_stream_names_the_server_that_failed) {
    logging_fixture it(forward_fixture::route(execution_rule::stream, 1));
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
               "a\r\nid: 1\n\nid:\r\n",
               true});
    cr_assert_eq(it.fetch_answer({{"id", "q1"}}).status, 0);
    auto found = it.captured->of("q1");
    cr_assert_eq(found.size(), 2U);
    cr_assert_eq(found[0]["name"], "attempt_failed");
    cr_assert_eq(found[0]["backend_server"], found[1]["backend_server"]);
    cr_assert(found[1]["detail"].get<std::string>().starts_with("stream cut: connection lost"));
}

Test(explain_failure, request_answered_502_reports_the_server_and_one_send) {
    logging_fixture it(forward_fixture::route(execution_rule::once, 1));
    it.script({"", true});
    cr_assert_eq(it.fetch_answer({{"id", "q1"}}).status, 502);
    auto found = it.captured->of("q1");
    cr_assert_eq(found.size(), 2U);
    cr_assert_eq(found[0]["name"], "attempt_failed");
    cr_assert_eq(found[1]["sends"], "1");
    cr_assert_eq(found[1]["backend_server"], found[0]["backend_server"]);
    cr_assert(found[1]["detail"].get<std::string>().starts_with("502: connection lost"));
}
