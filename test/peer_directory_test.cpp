// Guards against peers that are not counted before their first report, and against reports that
// lose entries or exceed a datagram.
#include "azureyoke/src/app/peer_directory.h"

#include <algorithm>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace azureyoke;

namespace {

/// A store that completes a write only when `answer` is called.
struct manual_store : app::record_store {
    void read(const std::string& /*key*/,
              std::function<void(std::optional<app::stored_record>)> /*done*/) override {}

    void list(const std::string& /*prefix*/,
              std::function<void(std::optional<std::vector<app::stored_record>>)>
              /*done*/) override {}

    void write(const std::string& /*key*/,
               const std::optional<state::record_version>& /*expected_version*/,
               const std::string& /*value*/, write_handler done) override {
        ++writes;
        pending_write = std::move(done);
    }

    void answer(coordination::write_result result) const { pending_write(result, {}); }

    void erase(const std::string& /*key*/) override {}

    int writes = 0;
    write_handler pending_write;
};

/// One instance with its own address; all instances use the same port.
struct directory_fixture {
    transport::event_loop& loop;
    manual_store store;
    app::forward_settings settings;
    app::event_log log{"test"};
    std::vector<app::peer_report> received;
    std::vector<std::string> messages;
    app::peer_directory directory;

    directory_fixture(transport::event_loop& on, int number, std::uint16_t port,
                      const std::string& data_centre = "dc")
        : loop(on), settings(settings_of(number, port, data_centre)),
          directory(
              loop, settings, store, log, [this](auto) { return report(); },
              [this](const auto& it) { received.push_back(it); },
              [this](std::string_view bytes) {
                  messages.emplace_back(bytes);
                  return true;
              }) {
        cr_assert(directory.start().has_value());
    }

    static app::forward_settings settings_of(int number, std::uint16_t port,
                                             const std::string& data_centre) {
        app::forward_settings result;
        result.data_centre = data_centre;
        result.instance = "i-" + std::to_string(number);
        result.peers = {"127.0.3." + std::to_string(number), port};
        for (int other : {1, 2, 3})
            result.seeds.push_back({"127.0.3." + std::to_string(other), 1});
        return result;
    }

    app::peer_report report() const {
        app::peer_report result;
        result.instance = settings.instance;
        result.peers = transport::to_string(settings.peers);
        result.data_centre = settings.data_centre;
        result.spent["w"] = 7;
        result.work.emplace()["s"] = {1, 2};
        result.placed = {{"s", {1, 2}}};
        return result;
    }
};

std::uint16_t free_port(transport::event_loop& loop) {
    transport::datagram_socket probe(loop, [](std::string_view) {});
    return probe.bind({"127.0.3.1", 0})->port;
}

} // namespace

Test(peer_directory,
     instances_known_only_from_the_settings_count_as_unresponsive_until_they_report) {
    transport::event_loop loop;
    auto port = free_port(loop);
    directory_fixture first(loop, 1, port);
    cr_assert(first.directory.count(loop.now()) == (app::peer_directory::members{3, 2}));
    directory_fixture second(loop, 2, port);
    second.directory.send_now();
    auto wakeups = loop.every(std::chrono::milliseconds(10), [] {});
    while (first.directory.live(loop.now()).size() < 2)
        loop.run_once(true);
    cr_assert(first.directory.count(loop.now()) == (app::peer_directory::members{3, 1}));
}

Test(peer_directory, next_report_to_other_data_centres_has_all_prompts_placed_meanwhile) {
    transport::event_loop loop;
    auto port = free_port(loop);
    directory_fixture first(loop, 1, port, "here");
    directory_fixture near(loop, 2, port, "here");
    directory_fixture far(loop, 3, port, "there");
    auto wakeups = loop.every(std::chrono::milliseconds(10), [] {});
    while (first.directory.live(loop.now()).size() < 3)
        loop.run_once(true);
    near.received.clear();
    far.received.clear();
    first.directory.send_now(app::peer_directory::report_scope::data_centre);
    first.directory.send_now(app::peer_directory::report_scope::fleet);
    // Periodic reports may arrive as well.
    auto placed = [](const auto& list, std::size_t n) {
        return std::any_of(list.begin(), list.end(), [&](const app::peer_report& it) {
            return it.instance == "i-1" && it.work && it.placed.size() == n;
        });
    };
    while (!placed(near.received, 1) || !placed(far.received, 2))
        loop.run_once(true);
    for (const auto& it : far.received)
        cr_assert_eq(it.spent.at("w"), 7);
}

Test(peer_directory, instance_writes_its_record_again_to_a_store_restored_from_a_copy) {
    transport::event_loop loop;
    directory_fixture one(loop, 1, free_port(loop));
    one.store.answer(coordination::write_result::written);
    auto before = one.store.writes;
    one.directory.on_registry_era();
    cr_assert_eq(one.store.writes, before + 1);
}

Test(peer_report, impossible_era_is_rejected) {
    app::peer_report report;
    report.registry_era = state::max_era;
    cr_assert(app::parse_peer_report(app::to_bytes(report)).has_value());
    ++report.registry_era;
    cr_assert_not(app::parse_peer_report(app::to_bytes(report)).has_value());
}

Test(peer_report, large_report_is_split_into_messages_that_fit) {
    app::peer_report report;
    report.instance = "instance-num-1";
    report.data_centre = "centre1";
    for (int i = 0; i < 16; ++i)
        report.spent["workspace" + std::to_string(i)] = 1e6 + i;
    auto& work = report.work.emplace();
    for (int i = 0; i < 12; ++i)
        work["server-01" + std::to_string(i)] = {2, 9000};
    for (int i = 0; i < 200; ++i)
        report.placed.push_back({"server-012", {~0ULL - static_cast<std::uint64_t>(i), ~0ULL}});
    auto messages = app::to_messages(report, transport::max_datagram_bytes);
    cr_assert_gt(messages.size(), 1U);
    std::vector<coordination::placed_prompt> placed;
    int with_work = 0;
    for (const auto& bytes : messages) {
        cr_assert_leq(bytes.size(), transport::max_datagram_bytes);
        auto parsed = app::parse_peer_report(bytes);
        cr_assert(parsed.has_value());
        placed.insert(placed.end(), parsed->placed.begin(), parsed->placed.end());
        with_work += parsed->work ? 1 : 0;
        cr_assert(!parsed->work || parsed->spent.size() == 16);
    }
    cr_assert_eq(with_work, 1, "a message without work does not clear the work reported before");
    cr_assert(placed == report.placed);
}

Test(peer_report, report_with_work_at_too_many_servers_is_sent_without_work) {
    app::peer_report report;
    report.instance = "i-1";
    report.spent["w"] = 7;
    auto& work = report.work.emplace();
    for (int i = 0; i < 117; ++i)
        work["server-01" + std::to_string(i)] = {2, 9000};
    auto messages = app::to_messages(report, transport::max_datagram_bytes);
    cr_assert_eq(messages.size(), 1U);
    cr_assert_eq(app::parse_peer_report(messages.front())->spent.at("w"), 7);
}

// Guards against an instance that hears nothing from peers which already run a later build.
Test(peer_report, fields_that_a_later_build_appends_are_ignored) {
    app::peer_report report;
    report.instance = "a";
    report.policy_version = 3;
    auto body = nlohmann::json::from_cbor(app::to_bytes(report));
    body.push_back("later");
    std::string bytes;
    nlohmann::json::to_cbor(body, bytes);
    cr_assert(app::parse_peer_report(bytes) == report);
}
