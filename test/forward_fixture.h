#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/app/forward_session.h"
#include "azureyoke/src/transport/backend_fetch.h"
#include "test/scripted_guard.h"
#include "test/scripted_path.h"
#include "test/scripted_permits.h"
#include "test/scripted_runs.h"
#include "test/scripted_streams.h"

namespace azureyoke {

/// \brief A minimal dialect for tests.
class plain_dialect : public app::forward_dialect {
public:
    std::optional<app::request_info> read_request(const transport::http_request& request,
                                                  std::string& why) const override {
        app::request_info result;
        result.request_id = transport::find_field(request.fields, "id").value_or("");
        result.host = "h";
        result.key = transport::find_field(request.fields, "key").value_or("");
        result.model = transport::find_field(request.fields, "model").value_or("");
        result.last_event = transport::find_field(request.fields, "last").value_or("");
        result.resumed_request = transport::find_field(request.fields, "resumes").value_or("");
        if (auto part = transport::find_field(request.fields, "part"))
            result.parts = {
                {*part,
                 std::stoll(transport::find_field(request.fields, "shared-tokens").value_or("10"))},
                {"own", 5}};
        if (auto ms = transport::find_field(request.fields, "deadline"))
            result.deadline_ms = std::stoll(*ms);
        if (result.request_id.empty()) {
            why = "field id is required";
            return std::nullopt;
        }
        return result;
    }

    transport::http_fields request_fields(const transport::http_request& request,
                                          const app::forward_directive& directive) const override {
        transport::http_fields fields = {
            {"id", transport::find_field(request.fields, "id").value_or("")},
            {"server", directive.server},
            {"last", directive.last_event}};
        if (!directive.cache_salt.empty())
            fields.push_back({"salt", directive.cache_salt});
        if (directive.urgency)
            fields.push_back({"urgency", std::to_string(*directive.urgency)});
        return fields;
    }

    transport::http_fields handed_on_fields(const transport::http_request& request,
                                            std::int64_t remaining_ms) const override {
        auto fields = request.fields;
        std::erase_if(fields, [](const auto& it) {
            return it.name == "deadline" || it.name == "Content-Length";
        });
        fields.push_back({"deadline", std::to_string(remaining_ms)});
        return fields;
    }

    app::answer_info read_answer(const transport::http_head& head) const override {
        app::answer_info result;
        result.request_id = transport::find_field(head.fields, "id").value_or("");
        result.not_run = transport::find_field(head.fields, "not-run").has_value();
        result.wrong_server = head.status == 421;
        result.has_valid_stamp = transport::find_field(head.fields, "stamp").has_value();
        result.leaving = transport::find_field(head.fields, "leaves").has_value();
        if (auto backoff = transport::find_field(head.fields, "rest"))
            result.backoff_s = std::stod(*backoff);
        if (auto slowdown = transport::find_field(head.fields, "slowdown"))
            result.slowdown = std::stod(*slowdown);
        if (auto rate = transport::find_field(head.fields, "rate"))
            result.request_rate = std::stod(*rate);
        return result;
    }

    transport::http_fields answer_fields(const transport::http_head& head) const override {
        transport::http_fields result;
        for (const auto& it : head.fields) {
            if (it.name == "id" || it.name == "stamp" || it.name == app::refused_help_field)
                result.push_back(it);
        }
        return result;
    }

    transport::http_fields refusal_fields(const std::string& /*request_id*/,
                                          std::optional<double> retry_after_s) const override {
        transport::http_fields result;
        if (retry_after_s)
            result.push_back({"Retry-After", std::to_string(*retry_after_s)});
        return result;
    }
};

/// \brief A backend server that sends one scripted raw answer for each request.
class scripted_server {
public:
    struct answer {
        std::string bytes;     ///< `ID` is replaced by the request's id.
        bool close = false;    ///< Closes the connection after the bytes.
        bool in_bytes = false; ///< Sends a byte in each turn of the loop.
    };

    explicit scripted_server(transport::event_loop& loop)
        : loop_(loop), listener_(loop, [this](int fd) {
              connections_.push_back(std::make_unique<connection>(*this, fd));
          }) {
        at_ = *listener_.listen({"127.0.0.1", 0});
    }

    const transport::address& at() const { return at_; }

    /// \brief Closes all connections.
    void close_all() {
        for (auto& it : connections_)
            it->stream.reset();
    }

    /// \returns the number of connections accepted so far.
    std::size_t connections() const { return connections_.size(); }

    std::deque<answer> script;
    std::vector<transport::http_head> requests;
    /// Each answer but the first on a connection follows a copy of the one before.
    bool repeats_answers = false;
    int closes = 0; ///< Connections that the other side closed in good order.
    int resets = 0; ///< Connections that the other side reset.

private:
    struct connection : transport::tcp_stream_sink, transport::http_reader_sink {
        connection(scripted_server& server, int fd)
            : owner(server), reader(transport::http_reader_kind::requests, 64 * 1024, *this),
              stream(std::make_unique<transport::tcp_stream>(server.loop_, fd, *this)) {}

        void on_bytes(std::string_view bytes) override {
            while (!bytes.empty() && reader.failure().empty())
                bytes.remove_prefix(reader.feed(bytes));
        }

        void on_end(bool reset) override { ++(reset ? owner.resets : owner.closes); }

        void on_head(transport::http_head head) override { owner.requests.push_back(head); }

        void on_body(std::string_view /*piece*/) override {}

        void on_complete() override {
            if (owner.script.empty())
                return; // sends no answer
            auto next = owner.script.front();
            owner.script.pop_front();
            auto id = transport::find_field(owner.requests.back().fields, "id").value_or("");
            for (auto at = next.bytes.find("ID"); at != std::string::npos;
                 at = next.bytes.find("ID"))
                next.bytes.replace(at, 2, id);
            auto copy = std::exchange(last_answer, next.bytes);
            if (owner.repeats_answers)
                next.bytes.insert(0, copy);
            if (next.in_bytes) {
                send_byte(next.bytes, 0);
                return;
            }
            stream->write(next.bytes);
            if (next.close)
                owner.loop_.defer([this] { stream.reset(); });
        }

        void send_byte(const std::string& bytes, std::size_t at) {
            stream->write(bytes.substr(at, 1));
            if (at + 1 < bytes.size())
                byte_timer = owner.loop_.after(std::chrono::milliseconds(1),
                                               [this, bytes, at] { send_byte(bytes, at + 1); });
        }

        scripted_server& owner;
        std::string last_answer;
        std::unique_ptr<transport::timer> byte_timer;
        transport::http_reader reader;
        std::unique_ptr<transport::tcp_stream> stream;
    };

    transport::event_loop& loop_;
    transport::tcp_listener listener_;
    transport::address at_;
    std::vector<std::unique_ptr<connection>> connections_;
};

/// \brief The request path of a forwarding instance between a caller and two scripted servers.
struct forward_fixture {
    std::unique_ptr<transport::event_loop> own_loop; ///< Null when several instances share one.
    transport::event_loop& loop;
    scripted_server first{loop};
    scripted_server second{loop};
    app::forward_settings settings;
    plain_dialect dialect;
    app::event_log log{"test"};
    app::log_rate_limiter log_limiter{0};
    app::metrics measures;
    app::request_history history{100};
    transport::backend_pool backends{loop, {}};
    transport::backend_pool callers{loop, {}};
    scripted_permits permits{loop};
    scripted_guard guard;
    scripted_streams streams;
    scripted_runs run_ends{loop};
    scripted_path paths;
    transport::byte_budget answer_bytes;
    std::unique_ptr<app::forward_state> state;
    std::unique_ptr<app::forward_services> services;
    std::unique_ptr<transport::front_server> front;
    transport::address at;

    explicit forward_fixture(const state::forward_route& route,
                             std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024)
        : forward_fixture(route, max_answer_bytes, std::make_unique<transport::event_loop>()) {}

    /// \brief An instance that runs on the loop of another one.
    forward_fixture(const state::forward_route& route, std::size_t max_answer_bytes,
                    transport::event_loop& shared_loop)
        : loop(shared_loop), answer_bytes(max_answer_bytes) {
        start(route);
    }

    forward_fixture(const state::forward_route& route, std::size_t max_answer_bytes,
                    std::unique_ptr<transport::event_loop> own)
        : own_loop(std::move(own)), loop(*own_loop), answer_bytes(max_answer_bytes) {
        start(route);
    }

    void start(const state::forward_route& route) {
        settings.instance = "test";
        settings.data_centre = "dc";
        state = std::make_unique<app::forward_state>(settings);
        services = std::make_unique<app::forward_services>(app::forward_services{
            settings, loop, backends, dialect, *state, log, log_limiter, measures, history, permits,
            guard, streams, run_ends, paths, answer_bytes, false});
        permits.router = &state->router;
        front = std::make_unique<transport::front_server>(
            loop, transport::front_limits{}, [this](const auto& exchange) {
                std::make_shared<app::forward_session>(*services, exchange)->start();
            });
        at = *front->listen({"127.0.0.1", 0});
        set_policy_for(route);
        add("a", first.at());
        add("b", second.at());
    }

    static state::forward_route route(state::execution_rule rule, int attempts) {
        state::forward_route result;
        result.name = "r";
        result.host = "h";
        result.path_prefix = "/r/";
        result.rule = rule;
        result.timeout_ms = 2000;
        result.latency_target_ms = 100;
        result.max_attempts = attempts;
        result.allows_no_key = true;
        result.targets = {{"p", 1}};
        return result;
    }

    void set_policy_for(const state::forward_route& route) const {
        state::forward_workspace workspace;
        workspace.name = "w";
        workspace.keys = {"good"};
        auto policy = std::make_shared<const state::traffic_policy>(
            1, std::vector{route}, std::vector<state::server_pool>{{"p", 0, 0, {}, {}}},
            std::vector{workspace}, state::caller_bounds());
        (void)state->set_policy({policy, ""}, loop.now());
    }

    void add(const std::string& id, const transport::address& to) const {
        state::fleet_server server;
        server.id = id;
        server.pool = "p";
        server.address = transport::to_string(to);
        server.data_centre = "dc";
        server.slots = 4;
        state->directory.put(server, loop.now());
    }

    /// \brief Sends a request and waits for its answer.
    /// \returns the answer; its status is 0 when the connection was closed before the answer was
    /// complete.
    transport::http_response fetch_answer(transport::http_fields fields = {{"id", "q1"}},
                                          const std::string& path = "/r/x") {
        transport::http_response received;
        bool done = false;
        transport::fetch(loop, callers, at, {"POST", path, std::move(fields), "body"},
                         std::chrono::seconds(20), [&](auto answer) {
                             done = true;
                             if (answer)
                                 received = *answer;
                         });
        while (!done)
            loop.run_once(true);
        return received;
    }

    /// \returns the server to which request `id` is sent first.
    scripted_server& first_choice_of(const std::string& id) {
        coordination::placement_query query;
        query.pool = "p";
        query.number = static_cast<std::int64_t>(std::hash<std::string>()(id));
        auto choice = state->router.choose(state->directory, query, loop.now());
        return choice->server == "a" ? first : second;
    }

    scripted_server& other_of(const std::string& id) {
        return &first_choice_of(id) == &first ? second : first;
    }

    void wait(transport::duration time) {
        bool elapsed = false;
        auto timer = loop.after(time, [&] { elapsed = true; });
        while (!elapsed)
            loop.run_once(true);
    }

    std::size_t requests_received() const { return first.requests.size() + second.requests.size(); }

    /// \brief Appends an answer to the scripts of both servers.
    void script(const scripted_server::answer& answer) {
        first.script.push_back(answer);
        second.script.push_back(answer);
    }
};

} // namespace azureyoke
