#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "azureyoke/src/app/stream_service.h"

namespace azureyoke {

/// Life of the streams in tests.
constexpr coordination::duration stream_life = std::chrono::seconds(10);

/// Keeps the records in memory and replies at once.
class memory_store : public app::record_store {
public:
    void read(const std::string& key,
              std::function<void(std::optional<app::stored_record>)> done) override {
        if (key == unreadable)
            done(std::nullopt);
        else
            done(app::stored_record{key, records[key], {0, versions[key]}});
    }

    void list(const std::string& prefix,
              std::function<void(std::optional<std::vector<app::stored_record>>)> done) override {
        std::vector<app::stored_record> found;
        for (const auto& [key, value] : records) {
            if (key.starts_with(prefix))
                found.push_back({key, value, {0, versions[key]}});
        }
        done(found);
    }

    void write(const std::string& key, const std::optional<state::record_version>& expected,
               const std::string& value, write_handler done) override {
        if (expected && expected->number != versions[key]) {
            done(coordination::write_result::conflict, {});
        } else {
            records[key] = value;
            done(coordination::write_result::written, {0, ++versions[key]});
        }
    }

    void erase(const std::string& key) override { records.erase(key); }

    std::map<std::string, std::string> records;
    std::map<std::string, std::int64_t> versions;
    std::string unreadable; ///< Key of a record that cannot be read for now.
};

/// Brings the list of servers up to date as a test says.
class scripted_servers : public app::server_list_reader {
public:
    void read_changes(std::function<void(bool)> done) override {
        ++reads;
        if (reachable && on_read)
            on_read();
        done(reachable);
    }

    bool reachable = true;
    std::function<void()> on_read; ///< Applies changes that were not read before.
    int reads = 0;
};

/// One instance with its own address; all instances use the same port.
struct stream_member {
    transport::event_loop& loop;
    app::forward_settings settings;
    app::forward_state state;
    app::event_log log{"test"};
    app::metrics measures;
    app::peer_directory peers;
    scripted_servers servers;
    app::stream_service streams;
    std::unique_ptr<transport::timer> ticks;

    stream_member(transport::event_loop& on, memory_store& store, int number, std::uint16_t port)
        : loop(on), settings(settings_of(number, port)), state(settings),
          peers(
              loop, settings, store, log, [this](auto) { return report(); }, [](const auto&) {},
              [this](std::string_view bytes) { return streams.on_datagram(bytes); }),
          streams(loop, settings, state, peers, servers, store, log, measures),
          ticks(loop.every(std::chrono::milliseconds(20), [this] { streams.tick(); })) {
        cr_assert(peers.start().has_value());
        state::forward_route route;
        route.name = "r";
        route.rule = state::execution_rule::stream;
        route.resumable = true;
        route.timeout_ms = 10'000;
        route.targets = {{"p", 1}};
        (void)state.set_policy(
            {std::make_shared<const state::traffic_policy>(
                 1, std::vector{route}, std::vector<state::server_pool>(),
                 std::vector<state::forward_workspace>(), state::caller_bounds()),
             ""},
            loop.now());
        streams.start();
    }

    static app::forward_settings settings_of(int number, std::uint16_t port) {
        app::forward_settings result;
        result.data_centre = "dc";
        result.instance = "i-" + std::to_string(number);
        result.peers = {"127.0.6." + std::to_string(number), port};
        return result;
    }

    app::peer_report report() const {
        app::peer_report result;
        result.instance = settings.instance;
        result.incarnation = 1;
        result.peers = transport::to_string(settings.peers);
        result.data_centre = settings.data_centre;
        result.reaches_registry = true;
        return result;
    }

    void serve(const std::vector<std::string>& versions) {
        std::vector<state::fleet_server> list;
        for (const auto& it : versions) {
            state::fleet_server server;
            server.id = "s-" + it;
            server.pool = "p";
            server.software = it;
            list.push_back(server);
        }
        state.directory.replace_all(list, loop.now());
        streams.on_fleet_changed();
    }
};

struct stream_service_fixture {
    transport::event_loop loop;
    memory_store store;
    std::uint16_t port = free_port();
    std::map<int, std::unique_ptr<stream_member>> members;
    std::unique_ptr<transport::timer> wakeups = loop.every(std::chrono::milliseconds(5), [] {});

    explicit stream_service_fixture(const std::vector<std::string>& versions = {"v1", "v2"}) {
        for (int i = 1; i <= 3; ++i)
            start(i);
        for (auto& [number, it] : members)
            it->serve(versions);
    }

    void start(int number) {
        members[number] = std::make_unique<stream_member>(loop, store, number, port);
        wait_until([&] {
            for (const auto& [n, it] : members) {
                if (it->peers.live(loop.now()).size() != members.size())
                    return false;
            }
            return true;
        });
    }

    std::uint16_t free_port() {
        transport::datagram_socket probe(loop, [](std::string_view) {});
        return probe.bind({"127.0.6.1", 0})->port;
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

    /// \returns the version that the instance finds, or "none".
    std::string find(int number, const std::string& stream) {
        std::optional<std::string> found;
        members[number]->streams.find(
            stream, "p", [&](const auto& answer) { found = answer.software.value_or("none"); });
        wait_until([&] { return found.has_value(); });
        return *found;
    }
};

} // namespace azureyoke
