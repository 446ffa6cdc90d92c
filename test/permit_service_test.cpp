// Guards against instances that disagree on a server's limit, or wait for an issuer that is gone.
#include "azureyoke/src/app/permit_service.h"

#include <limits>

#include <criterion/criterion.h>

#include "test/empty_store.h"

using namespace azureyoke;

namespace {

constexpr transport::duration ms = std::chrono::milliseconds(1);
constexpr double unlimited = std::numeric_limits<double>::infinity();

/// One instance with its own address; all instances use the same port.
struct member {
    transport::event_loop& loop;
    app::forward_settings settings;
    app::forward_state state;
    app::event_log log{"test"};
    app::log_rate_limiter log_limiter{0};
    app::metrics measures;
    empty_store store;
    app::peer_directory peers;
    app::permit_service permits;

    member(transport::event_loop& on, int number, std::uint16_t port)
        : loop(on), settings(settings_of(number, port)), state(settings),
          peers(
              loop, settings, store, log, [this](auto) { return report(); }, [](const auto&) {},
              [this](std::string_view bytes) { return permits.on_datagram(bytes); }),
          permits(loop, settings, state, peers, log, log_limiter, measures) {
        cr_assert(peers.start().has_value());
    }

    static app::forward_settings settings_of(int number, std::uint16_t port) {
        app::forward_settings result;
        result.data_centre = "dc";
        result.instance = "i-" + std::to_string(number);
        result.peers = {"127.0.4." + std::to_string(number), port};
        for (int other : {1, 2})
            result.seeds.push_back({"127.0.4." + std::to_string(other), 1});
        return result;
    }

    app::peer_report report() const {
        app::peer_report result;
        result.instance = settings.instance;
        result.peers = transport::to_string(settings.peers);
        result.data_centre = settings.data_centre;
        return result;
    }

    /// \brief An answer of `server` names this rate.
    void answer(const std::string& server, double per_second) {
        permits.on_answer(server, 1, per_second, loop.now());
    }

    /// \brief Asks for a permit. \returns whether it was granted.
    bool acquire(const std::string& server) {
        std::optional<bool> result;
        permits.acquire(server, [&](bool granted) { result = granted; });
        while (!result)
            loop.run_once(true);
        return *result;
    }
};

struct permit_service_fixture {
    transport::event_loop loop;
    std::uint16_t port = free_port(loop);
    member first{loop, 1, port};
    std::unique_ptr<member> second = std::make_unique<member>(loop, 2, port);
    std::unique_ptr<transport::timer> wakeups = loop.every(5 * ms, [] {});

    permit_service_fixture() {
        wait_until([&] {
            return first.peers.live(loop.now()).size() == 2 &&
                   second->peers.live(loop.now()).size() == 2;
        });
    }

    static std::uint16_t free_port(transport::event_loop& loop) {
        transport::datagram_socket probe(loop, [](std::string_view) {});
        return probe.bind({"127.0.4.1", 0})->port;
    }

    template <class Condition>
    void wait_until(Condition condition) {
        auto limit = loop.now() + std::chrono::seconds(10);
        while (!condition()) {
            cr_assert(loop.now() < limit, "the condition did not become true");
            loop.run_once(true);
        }
    }

    /// \returns a server whose permits the instance issues.
    std::string server_of(const std::string& issuer) {
        for (int i = 0;; ++i) {
            auto server = "s" + std::to_string(i);
            if (first.permits.issuer_of(server) == issuer)
                return server;
        }
    }
};

} // namespace

Test(permit_service, permit_is_required_only_while_a_server_names_a_rate) {
    permit_service_fixture it;
    cr_assert_not(it.first.permits.required("s"));
    it.first.answer("s", 5);
    cr_assert(it.first.permits.required("s"));
    it.first.answer("s", unlimited);
    cr_assert_not(it.first.permits.required("s"));
}

Test(permit_service, both_instances_choose_the_same_issuer) {
    permit_service_fixture it;
    for (int i = 0; i < 50; ++i) {
        auto server = "s" + std::to_string(i);
        cr_assert_eq(it.first.permits.issuer_of(server), it.second->permits.issuer_of(server));
    }
}

Test(permit_service, issuer_learns_the_rate_from_the_request_for_a_permit) {
    permit_service_fixture it;
    auto server = it.server_of("i-2");
    it.first.answer(server, 20);
    cr_assert_not(it.first.acquire(server), "an issuer starts without permits");
    cr_assert_eq(*it.second->state.server_limits.limit_of(server), 20.0);
    it.wait_until([&] { return it.first.acquire(server); });
}

Test(permit_service, permits_of_both_instances_together_keep_the_rate) {
    permit_service_fixture it;
    auto server = it.server_of("i-1");
    it.first.answer(server, 10);
    it.second->answer(server, 10);
    int granted = 0;
    auto begin = it.loop.now();
    while (it.loop.now() < begin + 1500 * ms) {
        granted += it.first.acquire(server) ? 1 : 0;
        granted += it.second->acquire(server) ? 1 : 0;
    }
    double allowed = 10 * coordination::to_seconds(it.loop.now() - begin) + 1;
    cr_assert(granted > 0 && granted <= allowed, "%d granted, %.1f allowed", granted, allowed);
}

Test(permit_service, instance_that_waits_hears_at_once_that_the_limit_has_ended) {
    permit_service_fixture it;
    auto server = it.server_of("i-2");
    it.first.answer(server, 0.2);
    it.second->answer(server, 0.2);
    cr_assert_not(it.first.acquire(server));
    it.second->answer(server, unlimited);
    it.wait_until([&] { return !it.first.permits.required(server); });
}

Test(permit_service, end_of_a_limit_reaches_the_issuer_without_a_request_for_a_permit) {
    permit_service_fixture it;
    auto server = it.server_of("i-2");
    it.first.answer(server, 2);
    it.wait_until([&] { return it.second->permits.required(server); });
    it.first.answer(server, unlimited);
    it.wait_until([&] { return !it.second->permits.required(server); });
}

Test(permit_service, issuer_that_does_not_reply_grants_nothing_until_another_one_takes_over) {
    permit_service_fixture it;
    auto server = it.server_of("i-2");
    it.first.answer(server, 20);
    it.second.reset();
    auto before = it.loop.now();
    cr_assert_not(it.first.acquire(server));
    cr_assert(it.loop.now() - before >= 190 * ms, "no reply was awaited");
    it.wait_until([&] { return it.first.permits.issuer_of(server) == "i-1"; });
    cr_assert_not(it.first.acquire(server), "an issuer starts without permits");
    it.wait_until([&] { return it.first.acquire(server); });
}

Test(permit_service, instance_that_starts_is_told_the_limits_before_its_first_request) {
    permit_service_fixture it;
    auto server = it.server_of("i-1");
    it.first.answer(server, 5);
    it.first.permits.on_peer("i-2", 1);
    it.wait_until([&] { return it.second->permits.required(server); });
    it.second->answer(server, unlimited);
    it.wait_until([&] { return !it.first.permits.required(server); });
}

Test(permit_service, datagram_that_is_no_permit_message_is_left_to_others) {
    permit_service_fixture it;
    cr_assert_not(it.first.permits.on_datagram("nothing"));
    cr_assert_not(it.first.permits.on_datagram(""));
}

Test(permit_service, reply_to_no_request_changes_nothing) {
    permit_service_fixture it;
    cr_assert(it.first.permits.on_datagram(app::to_bytes(app::permit_reply{99, true, 0, {}})));
    cr_assert(it.first.permits.on_datagram(app::to_bytes(app::permit_reply{0, false, 0, {}})));
    cr_assert_not(it.first.permits.required(""));
}
