#include "azureyoke/src/app/peer_board.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace azureyoke;

namespace {

/// A store that answers only when it is told to.
struct silent_store : app::record_store {
    void read(const std::string& /*key*/,
              std::function<void(std::optional<app::stored_record>)> /*done*/) override {}

    void list(const std::string& /*prefix*/,
              std::function<void(std::optional<std::vector<app::stored_record>>)>
              /*done*/) override {}

    void write(const std::string& /*key*/,
               const std::optional<state::record_version>& /*expected_version*/,
               const std::string& /*value*/, write_handler done) override {
        ++writes;
        waiting = std::move(done);
    }

    void answer(coordination::write_result result) const { waiting(result, {}); }

    void erase(const std::string& /*key*/) override {}

    int writes = 0;
    write_handler waiting;
};

/// One instance on an address of its own; all of them use the same port.
struct board_fixture {
    transport::event_loop& loop;
    silent_store store;
    app::forward_settings settings;
    app::event_log log{"test"};
    std::vector<app::peer_report> heard;
    app::peer_board board;

    board_fixture(transport::event_loop& on, int number, std::uint16_t port,
                  const std::string& data_centre = "dc")
        : loop(on), settings(settings_of(number, port, data_centre)),
          board(
              loop, settings, store, log, [this](auto) { return report(); },
              [this](const auto& it) { heard.push_back(it); }) {
        cr_assert(board.start().has_value());
    }

    static app::forward_settings settings_of(int number, std::uint16_t port,
                                             const std::string& data_centre) {
        app::forward_settings made;
        made.data_centre = data_centre;
        made.instance = "i-" + std::to_string(number);
        made.peers = {"127.0.3." + std::to_string(number), port};
        for (int other : {1, 2, 3})
            made.seeds.push_back({"127.0.3." + std::to_string(other), 1});
        return made;
    }

    app::peer_report report() const {
        app::peer_report made;
        made.instance = settings.instance;
        made.peers = transport::to_string(settings.peers);
        made.data_centre = settings.data_centre;
        made.spent["w"] = 7;
        made.work.emplace()["s"] = {1, 2};
        made.placed = {{"s", {1, 2}}};
        return made;
    }
};

std::uint16_t free_port(transport::event_loop& loop) {
    transport::datagram_socket probe(loop, [](std::string_view) {});
    return probe.bind({"127.0.3.1", 0})->port;
}

} // namespace

Test(peer_board, instances_known_only_from_the_settings_count_as_silent_until_they_are_heard) {
    transport::event_loop loop;
    auto port = free_port(loop);
    board_fixture first(loop, 1, port);
    cr_assert(first.board.count(loop.now()) == (app::peer_board::members{3, 2}));
    board_fixture second(loop, 2, port);
    second.board.send_now();
    auto pulse = loop.every(std::chrono::milliseconds(10), [] {});
    while (first.board.live(loop.now()).size() < 2)
        loop.turn(true);
    cr_assert(first.board.count(loop.now()) == (app::peer_board::members{3, 1}));
}

Test(peer_board, other_data_centres_are_told_later_of_all_that_was_placed_meanwhile) {
    transport::event_loop loop;
    auto port = free_port(loop);
    board_fixture first(loop, 1, port, "here");
    board_fixture near(loop, 2, port, "here");
    board_fixture far(loop, 3, port, "there");
    auto pulse = loop.every(std::chrono::milliseconds(10), [] {});
    while (first.board.live(loop.now()).size() < 3)
        loop.turn(true);
    near.heard.clear();
    far.heard.clear();
    first.board.send_now(app::peer_board::reach::data_centre);
    first.board.send_now(app::peer_board::reach::fleet);
    // Reports of the period may come besides.
    auto placed = [](const auto& list, std::size_t n) {
        return std::any_of(list.begin(), list.end(), [&](const app::peer_report& it) {
            return it.instance == "i-1" && it.work && it.placed.size() == n;
        });
    };
    while (!placed(near.heard, 1) || !placed(far.heard, 2))
        loop.turn(true);
    for (const auto& it : far.heard)
        cr_assert_eq(it.spent.at("w"), 7);
}

Test(peer_board, instance_enters_itself_again_in_a_store_that_came_back_from_a_copy) {
    transport::event_loop loop;
    board_fixture one(loop, 1, free_port(loop));
    one.store.answer(coordination::write_result::written);
    auto before = one.store.writes;
    one.board.on_registry_era();
    cr_assert_eq(one.store.writes, before + 1);
}

Test(peer_report, era_that_no_store_can_have_is_refused) {
    app::peer_report report;
    report.registry_era = state::most_era;
    cr_assert(app::parse_peer_report(app::to_bytes(report)).has_value());
    ++report.registry_era;
    cr_assert_not(app::parse_peer_report(app::to_bytes(report)).has_value());
}

Test(peer_report, busy_instance_tells_all_in_messages_that_fit) {
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
    auto messages = app::to_messages(report, transport::most_datagram_bytes);
    cr_assert_gt(messages.size(), 1U);
    std::vector<coordination::placed_prompt> placed;
    int with_work = 0;
    for (const auto& bytes : messages) {
        cr_assert_leq(bytes.size(), transport::most_datagram_bytes);
        auto read = app::parse_peer_report(bytes);
        cr_assert(read.has_value());
        placed.insert(placed.end(), read->placed.begin(), read->placed.end());
        with_work += read->work ? 1 : 0;
        cr_assert(!read->work || read->spent.size() == 16);
    }
    cr_assert_eq(with_work, 1, "a message that does not tell of work takes none back");
    cr_assert(placed == report.placed);
}

Test(peer_report, work_at_too_many_servers_does_not_silence_its_instance) {
    app::peer_report report;
    report.instance = "i-1";
    report.spent["w"] = 7;
    auto& work = report.work.emplace();
    for (int i = 0; i < 117; ++i)
        work["server-01" + std::to_string(i)] = {2, 9000};
    auto messages = app::to_messages(report, transport::most_datagram_bytes);
    cr_assert_eq(messages.size(), 1U);
    cr_assert_eq(app::parse_peer_report(messages.front())->spent.at("w"), 7);
}
