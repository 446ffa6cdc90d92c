// Guards against streams that go on at another server while the server before still works on them,
// and against streams that wait for a run that has ended.
#include <algorithm>
#include <random>
#include <vector>

#include <criterion/criterion.h>

#include "azureyoke/src/coordination/run_end_check.h"

using namespace azureyoke::coordination;
using std::chrono::milliseconds;

namespace {

constexpr instant began{std::chrono::seconds(100)};

instant after(int ms) {
    return began + milliseconds(ms);
}

/// A backend server with reports of some age, a run that ends some time, and a link that may be
/// cut.
struct modelled_server {
    instant run_ended;
    instant cut_from;
    instant cut_until;
    duration report_age{};
    int unanswered_percent = 0;

    bool is_cut(instant now) const { return now >= cut_from && now < cut_until; }

    run_report report(instant now, std::mt19937& random) const {
        if (is_cut(now))
            return run_report::unreachable;
        if (static_cast<int>(random() % 100) < unanswered_percent)
            return run_report::unanswered;
        auto as_of = now - report_age;
        return as_of >= began && as_of < run_ended ? run_report::listed : run_report::not_listed;
    }
};

modelled_server random_server(std::mt19937& random) {
    auto ms = [&](unsigned limit) { return milliseconds(random() % limit); };
    modelled_server server;
    server.run_ended = began + ms(8000);
    server.report_age = ms(1000);
    server.unanswered_percent = random() % 2 == 0 ? 0 : static_cast<int>(random() % 60);
    if (random() % 4 == 0) {
        server.cut_from = began + ms(6000);
        server.cut_until = server.cut_from + ms(4000);
    }
    return server;
}

} // namespace

Test(run_end_check, listed_run_has_not_ended) {
    run_end_check check(began);
    for (int ms = 1000; ms < 20'000; ms += 200)
        cr_assert_not(check.on_report(run_report::listed, after(ms)));
}

Test(run_end_check, report_that_may_be_older_than_the_run_proves_nothing) {
    run_end_check check(began);
    cr_assert_not(check.on_report(run_report::not_listed, after(999)));
    cr_assert(check.on_report(run_report::not_listed, after(1000)));
}

Test(run_end_check, server_that_does_not_answer_may_work_on) {
    run_end_check check(began);
    for (int ms = 1000; ms < 20'000; ms += 200)
        cr_assert_not(check.on_report(run_report::unanswered, after(ms)));
}

Test(run_end_check, address_with_another_server_has_no_such_run) {
    run_end_check check(began);
    cr_assert(check.on_report(run_report::replaced, after(10)));
}

Test(run_end_check, single_failed_connection_proves_nothing) {
    run_end_check check(began);
    cr_assert_not(check.on_report(run_report::unreachable, after(2000)));
    cr_assert_not(check.on_report(run_report::unanswered, after(2200)));
    cr_assert_not(check.on_report(run_report::unreachable, after(2400)));
    cr_assert(check.on_report(run_report::unreachable, after(2600)));
}

Test(run_end_check, random_runs_are_never_left_behind_and_never_awaited_for_long) {
    for (unsigned seed = 1; seed <= 20'000; ++seed) {
        std::mt19937 random(seed);
        auto server = random_server(random);
        run_end_check check(began);
        auto now = began + milliseconds(random() % 4000);
        auto interval = run_end_check::min_interval;
        bool reached = true;
        while (!check.on_report(server.report(now, random), now)) {
            reached = !server.is_cut(now);
            now += interval;
            interval = std::min(2 * interval, run_end_check::max_interval);
            cr_assert(now < after(60'000), "seed %u: never ended", seed);
        }
        bool unreachable = !reached && server.is_cut(now);
        cr_assert(unreachable || now >= server.run_ended, "seed %u: the run was left behind", seed);
        bool answers = server.unanswered_percent == 0 && server.cut_until == instant();
        auto known_from =
            std::max(server.run_ended + server.report_age, began + run_end_check::max_report_age);
        cr_assert(!answers ||
                      now <= std::max(known_from + run_end_check::max_interval, after(4000)),
                  "seed %u: the end was noticed late", seed);
    }
}
