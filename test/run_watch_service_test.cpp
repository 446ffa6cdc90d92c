// Guards against watches that end while a server works on, that ask a server once for each of many
// requests, or that go on after their request has ended.
#include <set>

#include <criterion/criterion.h>

#include "test/scripted_path.h"

#include "azureyoke/src/app/run_watch_service.h"

using namespace azureyoke;
using std::chrono::milliseconds;

namespace {

/// Servers whose runs the test sets.
class scripted_run_client : public app::run_list_client {
public:
    explicit scripted_run_client(transport::event_loop& loop) : loop_(loop) {}

    void list_runs(const std::string& server, const std::string& address,
                   std::function<void(const app::run_list&)> done) override {
        ++questions;
        addresses.insert(address);
        if (answers_at_once)
            done(lists[server]);
        else
            timers_.push_back(
                loop_.after(milliseconds(20), [this, server, done] { done(lists[server]); }));
    }

    std::map<std::string, app::run_list> lists;
    std::set<std::string> addresses;
    int questions = 0;
    bool answers_at_once = false;

private:
    transport::event_loop& loop_;
    std::vector<std::unique_ptr<transport::timer>> timers_;
};

struct watch_fixture {
    transport::event_loop loop;
    scripted_run_client client{loop};
    app::event_log log{"test"};
    app::log_rate_limiter log_limiter{0};
    app::metrics measures;
    scripted_path paths;
    app::run_watch_service service{loop, client, log, log_limiter, measures, paths};
    std::set<std::string> ended;

    std::unique_ptr<app::run_watcher::watch> await_end(const std::string& server,
                                                       const std::string& request) {
        auto began = loop.now() - std::chrono::seconds(3);
        return service.await_end({server, "10.0.0.1:80", request, began},
                                 [this, request] { ended.insert(request); });
    }

    void set_runs(const std::string& server, std::set<std::string> requests) {
        client.lists[server] = {app::run_list::source::report, std::move(requests)};
    }

    void wait(transport::duration time) {
        auto until = loop.now() + time;
        auto timer = loop.every(milliseconds(5), [] {});
        while (loop.now() < until)
            loop.run_once(true);
    }
};

} // namespace

Test(run_watch_service, watch_ends_when_the_server_no_longer_lists_the_run) {
    watch_fixture it;
    it.set_runs("a", {"q1", "q2"});
    auto first = it.await_end("a", "q1");
    auto second = it.await_end("a", "q2");
    it.wait(milliseconds(500));
    cr_assert(it.ended.empty());
    it.set_runs("a", {"q2"});
    it.wait(milliseconds(1000));
    cr_assert(it.ended == std::set<std::string>{"q1"});
    it.set_runs("a", {});
    it.wait(milliseconds(1000));
    cr_assert(it.ended == std::set<std::string>({"q1", "q2"}));
    auto asked = it.client.questions;
    it.wait(milliseconds(1000));
    cr_assert_eq(it.client.questions, asked, "nothing is left to ask for");
    cr_assert(it.client.addresses == std::set<std::string>{"10.0.0.1:80"});
}

Test(run_watch_service, silent_server_is_not_taken_for_one_that_has_ended_its_runs) {
    watch_fixture it;
    it.client.lists["a"] = {app::run_list::source::unanswered, {}};
    auto watch = it.await_end("a", "q1");
    it.wait(milliseconds(1500));
    cr_assert(it.ended.empty());
    it.client.lists["a"] = {app::run_list::source::unreachable, {}};
    it.wait(milliseconds(2000));
    cr_assert_eq(it.ended.size(), 1U);
}

Test(run_watch_service, questions_to_a_server_do_not_grow_with_its_runs) {
    watch_fixture it;
    std::set<std::string> all;
    for (int i = 0; i < 500; ++i)
        all.insert("q" + std::to_string(i));
    it.set_runs("a", all);
    std::vector<std::unique_ptr<app::run_watcher::watch>> watches;
    for (const auto& request : all)
        watches.push_back(it.await_end("a", request));
    it.wait(milliseconds(2000));
    cr_assert_leq(it.client.questions, 6);
    it.set_runs("a", {});
    it.wait(milliseconds(1000));
    cr_assert_eq(it.ended.size(), all.size());
}

Test(run_watch_service, watch_that_was_dropped_calls_nobody_and_asks_no_more) {
    watch_fixture it;
    it.set_runs("a", {"q1"});
    auto watch = it.await_end("a", "q1");
    it.wait(milliseconds(100));
    watch.reset();
    it.set_runs("a", {});
    auto asked = it.client.questions;
    it.wait(milliseconds(1000));
    cr_assert(it.ended.empty());
    cr_assert_eq(it.client.questions, asked);
}

Test(run_watch_service, handlers_may_drop_and_begin_watches) {
    watch_fixture it;
    it.client.answers_at_once = true;
    it.set_runs("a", {});
    std::unique_ptr<app::run_watcher::watch> first;
    std::unique_ptr<app::run_watcher::watch> second;
    auto began = it.loop.now() - std::chrono::seconds(3);
    first = it.service.await_end({"a", "10.0.0.1:80", "q1", began}, [&] {
        first.reset();
        second = it.await_end("a", "q2");
    });
    it.wait(milliseconds(500));
    cr_assert(it.ended == std::set<std::string>{"q2"});
}

Test(run_watch_service, watch_that_is_dropped_by_a_handler_of_the_same_report_calls_nobody) {
    watch_fixture it;
    it.set_runs("a", {});
    std::unique_ptr<app::run_watcher::watch> first;
    std::unique_ptr<app::run_watcher::watch> second;
    auto began = it.loop.now() - std::chrono::seconds(3);
    first = it.service.await_end({"a", "10.0.0.1:80", "q1", began}, [&] { second.reset(); });
    second = it.await_end("a", "q2");
    it.wait(milliseconds(500));
    cr_assert(it.ended.empty());
}

// A server that others reach may work on.
Test(run_watch_service, unreachable_server_is_waited_for_while_the_own_path_is_lost) {
    watch_fixture it;
    it.paths.is_lost = true;
    it.client.lists["a"].from = app::run_list::source::unreachable;
    auto watch = it.await_end("a", "q1");
    it.wait(milliseconds(1500));
    cr_assert(it.ended.empty());
    it.paths.is_lost = false;
    it.wait(milliseconds(2500));
    cr_assert_eq(it.ended.size(), 1U);
}
