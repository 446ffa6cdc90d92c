// Guards against instances that do not notice that they reach no server, that take servers which
// are down for a lost path, and that come back on a single success.
#include "azureyoke/src/coordination/path_watch.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "test/property.h"

using namespace azureyoke;
using coordination::instant;
using coordination::path_watch;
using std::chrono::milliseconds;

namespace {

const instant start = instant(std::chrono::hours(1));
constexpr std::size_t servers = 12;

/// Loses the path: two servers fail in turn, over 100 ms.
void lose(path_watch& it, instant at) {
    (void)it.on_unreachable("a", servers, at);
    (void)it.on_unreachable("b", servers, at + milliseconds(100));
    cr_assert(it.lost());
}

} // namespace

Test(path_watch, one_server_that_is_down_is_no_lost_path) {
    path_watch it({});
    for (int i = 0; i < 100; ++i)
        cr_assert_not(it.on_unreachable("a", servers, start + i * milliseconds(100)));
    cr_assert_not(it.lost());
}

Test(path_watch, servers_that_crash_together_are_no_lost_path) {
    path_watch it({});
    for (const char* id : {"a", "b", "c"})
        (void)it.on_unreachable(id, servers, start);
    cr_assert_not(it.lost());
    (void)it.on_reached(start + milliseconds(5));
    (void)it.on_unreachable("a", servers, start + milliseconds(100));
    cr_assert_not(it.lost());
}

Test(path_watch, servers_that_fail_one_after_the_other_are_a_lost_path) {
    path_watch it({});
    cr_assert_not(it.on_unreachable("a", servers, start));
    cr_assert(it.on_unreachable("b", servers, start + milliseconds(100)));
    cr_assert(it.lost());
    cr_assert_not(it.open_connections_work(start + milliseconds(100)));
}

Test(path_watch, answers_on_open_connections_ask_for_more_failures) {
    path_watch it({});
    (void)it.on_unreachable("a", servers, start);
    it.on_heard(start + milliseconds(10));
    for (const char* id : {"b", "c"})
        (void)it.on_unreachable(id, servers, start + milliseconds(100));
    cr_assert_not(it.lost());
    cr_assert(it.on_unreachable("d", servers, start + milliseconds(110)));
    cr_assert(it.open_connections_work(start + milliseconds(200)));
    cr_assert_not(it.open_connections_work(start + milliseconds(1100)));
}

Test(path_watch, old_failures_do_not_count) {
    path_watch it({});
    (void)it.on_unreachable("a", servers, start);
    (void)it.on_unreachable("b", servers, start + milliseconds(3000));
    cr_assert_not(it.lost());
}

Test(path_watch, requests_that_wait_in_silence_are_a_reason_to_probe) {
    path_watch it({});
    cr_assert_not(it.probe_due(start));
    it.set_waiting(1, start);
    cr_assert_not(it.probe_due(start + milliseconds(300)));
    cr_assert(it.probe_due(start + milliseconds(400)));
    it.on_probe(start + milliseconds(400));
    cr_assert_not(it.probe_due(start + milliseconds(700)));
    cr_assert(it.probe_due(start + milliseconds(800)));
    it.on_heard(start + milliseconds(800));
    cr_assert_not(it.probe_due(start + milliseconds(1100)));
    it.set_waiting(0, start + milliseconds(1100));
    cr_assert_not(it.probe_due(start + milliseconds(5000)));
}

Test(path_watch, path_is_used_again_after_successes_over_half_a_second) {
    path_watch it({});
    lose(it, start);
    auto at = start + milliseconds(1000);
    cr_assert_not(it.on_reached(at));
    cr_assert_not(it.on_reached(at + milliseconds(150)));
    cr_assert_not(it.on_reached(at + milliseconds(300)));
    (void)it.on_unreachable("c", servers, at + milliseconds(450));
    cr_assert_not(it.on_reached(at + milliseconds(600)));
    cr_assert_not(it.on_reached(at + milliseconds(750)));
    cr_assert_not(it.on_reached(at + milliseconds(900)));
    cr_assert(it.on_reached(at + milliseconds(1150)));
    cr_assert_not(it.lost());
}

// Whatever came before: a path that is cut is noticed within a second, one that is whole is used
// again within a second.
Test(path_watch, state_follows_the_path_within_a_second) {
    check_property("state follows the path", [](const std::vector<unsigned>& events, bool is_cut) {
        path_watch it({});
        auto now = start;
        auto id = [](unsigned number) { return "s" + std::to_string(number % servers); };
        for (auto event : events) {
            now += milliseconds(event % 200);
            switch (event % 4) {
            case 0:
                (void)it.on_reached(now);
                break;
            case 1:
                (void)it.on_unreachable(id(event), servers, now);
                break;
            case 2:
                it.on_heard(now);
                break;
            default:
                it.set_waiting(event % 3, now);
                break;
            }
        }
        it.set_waiting(1, now);
        unsigned next = 0;
        for (int tick = 0; tick < 11; ++tick, now += milliseconds(100)) {
            if (!it.probe_due(now))
                continue;
            it.on_probe(now);
            for (int i = 0; i < (it.lost() ? 1 : 2); ++i) {
                if (is_cut)
                    (void)it.on_unreachable(id(next++), servers, now + milliseconds(30));
                else
                    (void)it.on_reached(now);
            }
        }
        RC_ASSERT(it.lost() == is_cut);
    });
}
