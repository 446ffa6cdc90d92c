#include "forward_fixture.h"

#include <cstdio>

#include <criterion/criterion.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <nlohmann/json.hpp>

using namespace azureyoke;
using state::run_rule;

namespace {

/// Log lines as an on-call engineer gets them.
class captured_lines : public log4cxx::AppenderSkeleton {
public:
    void close() override {}

    bool requiresLayout() const override { return false; }

    /// Lines with the request's id, oldest first.
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

struct explained_fixture : forward_fixture {
    std::shared_ptr<captured_lines> lines_seen = std::make_shared<captured_lines>();

    explicit explained_fixture(const state::forward_route& route) : forward_fixture(route) {
        lines = app::line_budget(100);
        log4cxx::Logger::getLogger("azureyoke")->addAppender(lines_seen);
    }
};

} // namespace

Test(explain_failure, refusal_while_servers_are_free_names_the_server_and_its_estimate) {
    explained_fixture it(forward_fixture::route(run_rule::once, 1));
    it.state->router.on_peer_work("peer", {{"a", {0, 9'000'000}}, {"b", {0, 9'000'000}}},
                                  it.loop.now());
    cr_assert_eq(it.ask({{"id", "q1"}}).status, 503);
    auto found = it.lines_seen->of("q1");
    cr_assert_eq(found.size(), 1U);
    cr_assert_eq(found[0]["name"], "request_refused");
    cr_assert_eq(found[0]["sends"], "0");
    cr_assert_neq(found[0]["backend_server"], "");
    cr_assert_gt(std::stoll(found[0]["estimate_ms"].get<std::string>()), 2000);
    cr_assert(found[0]["detail"].get<std::string>().find("wait") != std::string::npos);
}

Test(explain_failure, cut_stream_names_the_server_that_broke_it) {
    explained_fixture it(forward_fixture::route(run_rule::stream, 1));
    it.script({"HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
               "a\r\nid: 1\n\nid:\r\n",
               true});
    cr_assert_eq(it.ask({{"id", "q1"}}).status, 0);
    auto found = it.lines_seen->of("q1");
    cr_assert_eq(found.size(), 2U);
    cr_assert_eq(found[0]["name"], "attempt_failed");
    cr_assert_eq(found[0]["backend_server"], found[1]["backend_server"]);
    cr_assert(found[1]["detail"].get<std::string>().starts_with("stream cut: connection lost"));
}

Test(explain_failure, payment_answered_502_tells_that_it_was_sent_once_and_where) {
    explained_fixture it(forward_fixture::route(run_rule::once, 1));
    it.script({"", true});
    cr_assert_eq(it.ask({{"id", "q1"}}).status, 502);
    auto found = it.lines_seen->of("q1");
    cr_assert_eq(found.size(), 2U);
    cr_assert_eq(found[0]["name"], "attempt_failed");
    cr_assert_eq(found[1]["sends"], "1");
    cr_assert_eq(found[1]["backend_server"], found[0]["backend_server"]);
    cr_assert(found[1]["detail"].get<std::string>().starts_with("502: connection lost"));
}
