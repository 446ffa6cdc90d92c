// Guards against instances that do not tell each other which prompt parts crash backend servers,
// and against parts that are charged with the end of a connection to a living server.
#include "azureyoke/src/app/part_service.h"

#include <memory>
#include <optional>

#include <criterion/criterion.h>
#include <unistd.h>

#include "test/empty_store.h"
#include "test/scripted_path.h"

using namespace azureyoke;
using verdict = coordination::part_assessment::verdict;

namespace {

constexpr transport::duration ms = std::chrono::milliseconds(1);
const std::vector<std::string> prompt = {"p/first", "p/deadly"};

/// One instance with its own address; all instances use the same port.
struct guarded_member {
    transport::event_loop& loop;
    app::forward_settings settings;
    app::event_log log{"test"};
    app::log_rate_limiter log_limiter{0};
    app::metrics measures;
    empty_store store;
    app::peer_directory peers;
    scripted_path paths;
    app::part_service parts;
    std::unique_ptr<transport::timer> ticks;

    guarded_member(transport::event_loop& on, int number, std::uint16_t port)
        : loop(on), settings(settings_of(number, port)),
          peers(
              loop, settings, store, log, [this](auto) { return report(); },
              [this](const auto& it) { parts.on_peer(it.instance, it.incarnation); },
              [this](std::string_view bytes) { return parts.on_datagram(bytes); }),
          parts(loop, settings, peers, log, log_limiter, measures, paths),
          ticks(loop.every(20 * ms, [this] { parts.tick(); })) {
        cr_assert(peers.start().has_value());
    }

    static app::forward_settings settings_of(int number, std::uint16_t port) {
        app::forward_settings result;
        result.data_centre = "dc";
        result.instance = "i-" + std::to_string(number);
        result.peers = {"127.0.5." + std::to_string(number), port};
        for (int other : {1, 2})
            result.seeds.push_back({"127.0.5." + std::to_string(other), 1});
        return result;
    }

    app::peer_report report() const {
        app::peer_report result;
        result.instance = settings.instance;
        result.incarnation = 1;
        result.peers = transport::to_string(settings.peers);
        result.data_centre = settings.data_centre;
        return result;
    }

    verdict assessed() const { return parts.assess(prompt).result; }
};

struct part_service_fixture {
    transport::event_loop loop;
    std::uint16_t port = free_port("127.0.5.1");
    guarded_member first{loop, 1, port};
    std::unique_ptr<guarded_member> second = std::make_unique<guarded_member>(loop, 2, port);
    std::unique_ptr<transport::timer> wakeups = loop.every(5 * ms, [] {});
    std::int64_t runs = 0;

    part_service_fixture() {
        wait_until([&] {
            return first.peers.live(loop.now()).size() == 2 &&
                   second->peers.live(loop.now()).size() == 2;
        });
    }

    std::uint16_t free_port(const std::string& ip) {
        transport::datagram_socket probe(loop, [](std::string_view) {});
        return probe.bind({ip, 0})->port;
    }

    template <class Condition>
    void wait_until(Condition condition) {
        auto limit = loop.now() + std::chrono::seconds(10);
        while (!condition()) {
            cr_assert(loop.now() < limit, "the condition did not become true");
            loop.run_once(true);
        }
    }

    void wait(transport::duration time) {
        auto until = loop.now() + time;
        wait_until([&] { return loop.now() >= until; });
    }

    /// \returns an address at which nothing listens.
    transport::address closed_address() {
        transport::tcp_listener probe(loop, [](int) {});
        return *probe.listen({"127.0.5.9", 0});
    }

    /// \brief A request of `member` is lost in the crash of a server.
    void crash(guarded_member& member, const std::string& trial_part = {}) {
        bool confirmed = false;
        member.parts.on_lost({"server", ++runs, closed_address(), prompt, trial_part},
                             [&] { confirmed = true; });
        wait_until([&] { return confirmed; });
        wait(110 * ms); // crashes that are closer count once
    }

    /// \returns whether the trial was granted.
    bool acquire(guarded_member& member) {
        std::optional<bool> result;
        member.parts.acquire_trial("p/deadly", [&](bool granted, auto) { result = granted; });
        wait_until([&] { return result.has_value(); });
        return *result;
    }
};

} // namespace

Test(part_service, crashes_seen_by_two_instances_make_both_suspect_the_part) {
    part_service_fixture it;
    it.crash(it.first);
    cr_assert_eq(it.first.assessed(), verdict::sound);
    it.crash(*it.second);
    it.wait_until([&] {
        return it.first.assessed() == verdict::trial && it.second->assessed() == verdict::trial;
    });
}

Test(part_service, connection_lost_to_a_server_that_still_listens_is_no_crash) {
    part_service_fixture it;
    transport::tcp_listener living(it.loop, [](int fd) { close(fd); });
    auto at = *living.listen({"127.0.5.9", 0});
    bool confirmed = false;
    for (int i = 0; i < 4; ++i) {
        it.first.parts.on_lost({"server", ++it.runs, at, prompt, {}}, [&] { confirmed = true; });
        it.wait(150 * ms);
    }
    cr_assert_not(confirmed);
    cr_assert_eq(it.first.assessed(), verdict::sound);
}

Test(part_service, requests_lost_in_one_crash_are_one_charge) {
    part_service_fixture it;
    auto at = it.closed_address();
    int confirmed = 0;
    for (int i = 0; i < 5; ++i)
        it.first.parts.on_lost({"server", 1, at, prompt, {}}, [&] { ++confirmed; });
    it.wait_until([&] { return confirmed == 5; });
    it.first.parts.on_lost({"server", 1, at, prompt, {}}, [&] { ++confirmed; });
    it.wait_until([&] { return confirmed == 6; });
    cr_assert_eq(it.first.assessed(), verdict::sound);
}

// Guards against an answer without length and chunks that looks complete after a crash.
Test(part_service, answer_that_may_be_complete_counts_by_whether_its_server_lives) {
    part_service_fixture it;
    app::lost_request ended{"server", 0, it.closed_address(), prompt, {}, {}, true};
    for (int i = 0; i < 2; ++i) {
        bool confirmed = false;
        ended.started_ms = ++it.runs;
        it.first.parts.on_lost(ended, [&] { confirmed = true; });
        it.wait_until([&] { return confirmed; });
        it.wait(110 * ms);
    }
    cr_assert_eq(it.first.assessed(), verdict::trial);
    transport::tcp_listener living(it.loop, [](int fd) { close(fd); });
    ended.address = *living.listen({"127.0.5.9", 0});
    it.first.parts.on_lost(ended, [] { cr_assert_fail("the server lives"); });
    it.wait_until([&] { return it.first.assessed() == verdict::sound; });
}

// Guards against a sound part that is blocked since the server of its trial crashed much later.
Test(part_service, crash_under_a_trial_whose_part_was_cleared_blocks_nothing) {
    part_service_fixture it;
    it.crash(it.first);
    it.crash(it.first);
    it.first.parts.on_answer(prompt, coordination::answer_progress::complete());
    it.crash(it.first, "p/deadly");
    cr_assert_eq(it.first.assessed(), verdict::sound);
}

Test(part_service, one_instance_of_the_fleet_gets_the_trial) {
    part_service_fixture it;
    it.crash(it.first);
    it.crash(it.first);
    it.wait_until([&] { return it.second->assessed() == verdict::trial; });
    cr_assert(it.acquire(it.first));
    cr_assert_not(it.acquire(*it.second));
    cr_assert_not(it.acquire(it.first));
}

Test(part_service, failed_trial_blocks_the_part_at_all_instances) {
    part_service_fixture it;
    it.crash(it.first);
    it.crash(it.first);
    cr_assert(it.acquire(it.first));
    it.crash(it.first, "p/deadly");
    it.wait_until([&] {
        return it.first.assessed() == verdict::blocked && it.second->assessed() == verdict::blocked;
    });
    cr_assert_eq(it.second->parts.assess({"p/first"}).result, verdict::sound,
                 "a part that was only beside the deadly one is suspected");
}

Test(part_service, answered_trial_clears_the_part_at_all_instances) {
    part_service_fixture it;
    it.crash(it.first);
    it.crash(*it.second);
    it.wait_until([&] { return it.second->assessed() == verdict::trial; });
    cr_assert(it.acquire(*it.second));
    it.second->parts.on_answer(prompt, coordination::answer_progress::complete());
    it.wait_until([&] {
        return it.first.assessed() == verdict::sound && it.second->assessed() == verdict::sound;
    });
}

Test(part_service, restarted_instance_is_told_the_blocked_parts) {
    part_service_fixture it;
    it.crash(it.first);
    it.crash(it.first);
    it.crash(it.first, "p/deadly");
    it.second.reset();
    it.second = std::make_unique<guarded_member>(it.loop, 2, it.port);
    it.wait_until([&] { return it.second->assessed() == verdict::blocked; });
}

Test(part_service, trial_is_denied_while_its_decider_does_not_reply) {
    part_service_fixture it;
    it.crash(it.first);
    it.crash(it.first);
    it.second.reset(); // still counts as live for a while
    bool first_decides = it.acquire(it.first);
    cr_assert_eq(it.first.assessed(), first_decides ? verdict::blocked : verdict::trial);
    it.wait_until([&] { return it.first.peers.live(it.loop.now()).size() == 1; });
    it.wait_until([&] { return it.first.assessed() == verdict::trial; });
    cr_assert(it.acquire(it.first), "an instance that is left alone decides itself");
}

Test(part_service, news_that_exceed_a_datagram_are_split) {
    app::part_news news;
    auto now = coordination::instant(std::chrono::hours(1));
    for (int i = 0; i < 24; ++i) {
        app::part_report part{"pool/part-" + std::to_string(i), {}};
        for (std::uint64_t crash = 1; crash <= 8; ++crash)
            part.evidence.crashes.push_back({crash << 60U, now - crash * std::chrono::seconds(1)});
        news.parts.push_back(part);
    }
    std::size_t told = 0;
    for (const auto& bytes : to_messages(news, now, transport::max_datagram_bytes, 100)) {
        cr_assert_leq(bytes.size(), transport::max_datagram_bytes);
        auto parsed = app::parse_part_message(bytes, now);
        cr_assert(parsed.has_value());
        told += std::get<app::part_news>(*parsed).parts.size();
    }
    cr_assert_eq(told, news.parts.size());
    cr_assert_eq(to_messages(news, now, transport::max_datagram_bytes, 2).size(), 2U);
}
