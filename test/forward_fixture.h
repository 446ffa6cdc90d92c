#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/app/forward_session.h"
#include "azureyoke/src/transport/backend_fetch.h"

namespace azureyoke {

/// \brief A dialect of few words for tests.
class plain_dialect : public app::forward_dialect {
public:
    std::optional<app::caller_intent> read_request(const transport::http_request& request,
                                                   std::string& why) const override {
        app::caller_intent made;
        made.request_id = transport::find_field(request.fields, "id").value_or("");
        made.host = "h";
        made.key = transport::find_field(request.fields, "key").value_or("");
        made.model = transport::find_field(request.fields, "model").value_or("");
        if (auto ms = transport::find_field(request.fields, "deadline"))
            made.deadline_ms = std::stoll(*ms);
        if (made.request_id.empty()) {
            why = "field id is required";
            return std::nullopt;
        }
        return made;
    }

    transport::http_fields request_fields(const transport::http_request& request,
                                          const app::forward_directive& directive) const override {
        return {{"id", transport::find_field(request.fields, "id").value_or("")},
                {"server", directive.server},
                {"last", directive.last_event}};
    }

    app::answer_note read_answer(const transport::http_head& head) const override {
        app::answer_note made;
        made.request_id = transport::find_field(head.fields, "id").value_or("");
        made.not_run = transport::find_field(head.fields, "not-run").has_value();
        made.wrong_server = head.status == 421;
        made.whole = transport::find_field(head.fields, "stamp").has_value();
        made.leaving = transport::find_field(head.fields, "leaves").has_value();
        if (auto rest = transport::find_field(head.fields, "rest"))
            made.rest_s = std::stod(*rest);
        return made;
    }

    transport::http_fields answer_fields(const transport::http_head& head) const override {
        transport::http_fields made;
        for (const auto& it : head.fields) {
            if (it.name == "id" || it.name == "stamp")
                made.push_back(it);
        }
        return made;
    }

    transport::http_fields refusal_fields(const std::string& /*request_id*/,
                                          std::optional<double> retry_after_s) const override {
        transport::http_fields made;
        if (retry_after_s)
            made.push_back({"Retry-After", std::to_string(*retry_after_s)});
        return made;
    }
};

/// \brief A backend server that plays one scripted raw answer for each request it reads.
class scripted_server {
public:
    struct answer {
        std::string bytes;  ///< `ID` in it is replaced by the request's id.
        bool close = false; ///< Closes the connection after the bytes.
    };

    explicit scripted_server(transport::event_loop& loop)
        : loop_(loop),
          listener_(loop, [this](int fd) { links_.push_back(std::make_unique<link>(*this, fd)); }) {
        at_ = *listener_.listen({"127.0.0.1", 0});
    }

    const transport::address& at() const { return at_; }

    /// \brief Breaks all connections off.
    void close_all() {
        for (auto& it : links_)
            it->stream.reset();
    }

    /// \brief Connections accepted so far.
    std::size_t connections() const { return links_.size(); }

    std::deque<answer> script;
    std::vector<transport::http_head> requests;

private:
    struct link : transport::tcp_stream_sink, transport::http_reader_sink {
        link(scripted_server& server, int fd)
            : owner(server), reader(transport::http_reader_kind::requests, 64 * 1024, *this),
              stream(std::make_unique<transport::tcp_stream>(server.loop_, fd, *this)) {}

        void on_bytes(std::string_view bytes) override {
            while (!bytes.empty() && reader.failure().empty())
                bytes.remove_prefix(reader.feed(bytes));
        }

        void on_end(bool /*reset*/) override {}

        void on_head(transport::http_head head) override { owner.requests.push_back(head); }

        void on_body(std::string_view /*piece*/) override {}

        void on_complete() override {
            if (owner.script.empty())
                return; // stays silent
            auto next = owner.script.front();
            owner.script.pop_front();
            auto id = transport::find_field(owner.requests.back().fields, "id").value_or("");
            for (auto at = next.bytes.find("ID"); at != std::string::npos;
                 at = next.bytes.find("ID"))
                next.bytes.replace(at, 2, id);
            stream->write(next.bytes);
            if (next.close)
                owner.loop_.defer([this] { stream.reset(); });
        }

        scripted_server& owner;
        transport::http_reader reader;
        std::unique_ptr<transport::tcp_stream> stream;
    };

    transport::event_loop& loop_;
    transport::tcp_listener listener_;
    transport::address at_;
    std::vector<std::unique_ptr<link>> links_;
};

/// \brief A forwarding instance's request path between a caller and scripted servers.
struct forward_fixture {
    transport::event_loop loop;
    scripted_server first{loop};
    scripted_server second{loop};
    app::forward_settings settings;
    plain_dialect dialect;
    app::event_log log{"test"};
    app::line_budget lines{0};
    app::metrics measures;
    app::request_history history{100};
    transport::backend_pool backends{loop, {}};
    transport::backend_pool callers{loop, {}};
    std::unique_ptr<app::forward_state> state;
    std::unique_ptr<app::forward_services> services;
    std::unique_ptr<transport::front_server> front;
    transport::address at;

    explicit forward_fixture(const state::forward_route& route) {
        settings.instance = "test";
        settings.data_centre = "dc";
        state = std::make_unique<app::forward_state>(settings);
        services = std::make_unique<app::forward_services>(app::forward_services{
            settings, loop, backends, dialect, *state, log, lines, measures, history, false});
        front = std::make_unique<transport::front_server>(
            loop, transport::front_limits{}, [this](const auto& exchange) {
                std::make_shared<app::forward_session>(*services, exchange)->start();
            });
        at = *front->listen({"127.0.0.1", 0});
        set_route(route);
        add("a", first.at());
        add("b", second.at());
    }

    static state::forward_route route(state::run_rule rule, int attempts) {
        state::forward_route made;
        made.name = "r";
        made.host = "h";
        made.path_prefix = "/r/";
        made.rule = rule;
        made.timeout_ms = 2000;
        made.target_ms = 100;
        made.most_attempts = attempts;
        made.keyless = true;
        made.targets = {{"p", 1}};
        return made;
    }

    void set_route(const state::forward_route& route) const {
        state::forward_workspace space;
        space.name = "w";
        space.keys = {"good"};
        auto policy = std::make_shared<const state::traffic_policy>(
            1, std::vector{route}, std::vector<state::server_pool>{{"p", 0, 0, {}, {}}},
            std::vector{space}, state::caller_bounds());
        (void)state->set_policy({policy, ""}, loop.now());
    }

    void add(const std::string& id, const transport::address& to) const {
        state::fleet_server made;
        made.id = id;
        made.pool = "p";
        made.address = transport::to_string(to);
        made.data_centre = "dc";
        made.slots = 4;
        state->directory.put(made, loop.now());
    }

    /// \brief Sends a request and waits for its answer; status 0 when it was cut.
    transport::http_response ask(transport::http_fields fields = {{"id", "q1"}},
                                 const std::string& path = "/r/x") {
        transport::http_response got;
        bool done = false;
        transport::fetch(loop, callers, at, {"POST", path, std::move(fields), "body"},
                         std::chrono::seconds(20), [&](auto answer) {
                             done = true;
                             if (answer)
                                 got = *answer;
                         });
        while (!done)
            loop.turn(true);
        return got;
    }

    /// \brief The server that gets request `id` first.
    scripted_server& home_of(const std::string& id) {
        coordination::placement_question question;
        question.pool = "p";
        question.number = static_cast<std::int64_t>(std::hash<std::string>()(id));
        auto choice = state->router.choose(state->directory, question, loop.now());
        return choice->server == "a" ? first : second;
    }

    scripted_server& other_of(const std::string& id) {
        return &home_of(id) == &first ? second : first;
    }

    void wait(transport::duration time) {
        bool over = false;
        auto timer = loop.after(time, [&] { over = true; });
        while (!over)
            loop.turn(true);
    }

    std::size_t arrivals() const { return first.requests.size() + second.requests.size(); }

    /// \brief Both servers give the same next answers.
    void script(const scripted_server::answer& answer) {
        first.script.push_back(answer);
        second.script.push_back(answer);
    }
};

} // namespace azureyoke
