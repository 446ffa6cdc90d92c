// Guards against messages that a faulty server writes twice or late, and that are taken for the
// answer to another send: a request that may run once then runs twice, or after its refusal.
#include "forward_fixture.h"

#include <algorithm>
#include <map>
#include <random>

#include <criterion/criterion.h>

using namespace azureyoke;
using state::execution_rule;

namespace {

/// A message that belongs to no open request. `ID` is the id of the request before.
struct stray_message {
    const char* name;
    std::string bytes;
};

const std::vector<stray_message>& stray_messages() {
    const std::string empty = "Content-Length: 0\r\n\r\n";
    static const std::vector<stray_message> list = {
        {"none", ""},
        {"refusal", "HTTP/1.1 503 S\r\nid: ID\r\nnot-run: 1\r\n" + empty},
        {"refusal without an id", "HTTP/1.1 503 S\r\nnot-run: 1\r\n" + empty},
        {"429", "HTTP/1.1 429 T\r\nid: ID\r\nnot-run: 1\r\n" + empty},
        {"429 without an id", "HTTP/1.1 429 T\r\nnot-run: 1\r\n" + empty},
        {"421", "HTTP/1.1 421 M\r\nid: ID\r\nnot-run: 1\r\n" + empty},
        {"421 without an id", "HTTP/1.1 421 M\r\n" + empty},
        {"400 without an id", "HTTP/1.1 400 B\r\nnot-run: 1\r\n" + empty},
        {"408", "HTTP/1.1 408 T\r\nid: ID\r\nnot-run: 1\r\n" + empty},
        {"408 without an id", "HTTP/1.1 408 T\r\n" + empty},
        {"503 without its cause", "HTTP/1.1 503 S\r\n" + empty},
        {"answer", "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\nContent-Length: 3\r\n\r\nold"},
        {"answer to an unknown request",
         "HTTP/1.1 200 OK\r\nid: x\r\nstamp: s\r\nContent-Length: 3\r\n\r\nold"},
        {"answer without an id", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"},
        {"interim answer", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim answer with a refusal's fields",
         "HTTP/1.1 103 E\r\nid: ID\r\nnot-run: 1\r\n\r\n"},
        {"trailer", "X: y\r\n\r\n"},
        {"end of chunks", "0\r\n\r\n"},
        {"part of a refusal", "HTTP/1.1 503 S\r\nnot-"},
    };
    return list;
}

enum class stray_time { with_the_answer, while_idle, before_the_next_answer };
enum class connection_end { kept, closed, reset };

/// What a server does with one request.
struct plan {
    bool runs = true;
    std::size_t stray = 0; ///< Index in `stray_messages`.
    stray_time when = stray_time::with_the_answer;
    connection_end end = connection_end::kept;
};

/// A backend server that runs or refuses each request, truthfully, and writes stray messages.
class straying_server {
public:
    straying_server(transport::event_loop& loop, std::function<plan()> next)
        : loop_(loop), next_(std::move(next)), listener_(loop, [this](int fd) {
              connections_.push_back(std::make_unique<connection>(*this, fd));
          }) {
        at_ = *listener_.listen({"127.0.0.1", 0});
    }

    const transport::address& at() const { return at_; }

    std::vector<std::string> runs; ///< Ids of the requests that ran.

private:
    struct connection : transport::tcp_stream_sink, transport::http_reader_sink {
        connection(straying_server& server, int fd)
            : owner(server), reader(transport::http_reader_kind::requests, 64 * 1024, *this),
              stream(std::make_unique<transport::tcp_stream>(server.loop_, fd, *this)) {}

        void on_bytes(std::string_view bytes) override {
            while (!bytes.empty() && reader.failure().empty())
                bytes.remove_prefix(reader.feed(bytes));
        }

        void on_end(bool /*reset*/) override {}

        void on_head(transport::http_head head) override {
            id = transport::find_field(head.fields, "id").value_or("");
        }

        void on_body(std::string_view /*piece*/) override {}

        void on_complete() override {
            auto chosen = owner.next_();
            std::string answer =
                chosen.runs
                    ? "HTTP/1.1 200 OK\r\nid: " + id +
                          "\r\nstamp: s\r\nContent-Length: " + std::to_string(id.size()) +
                          "\r\n\r\n" + id
                    : "HTTP/1.1 503 S\r\nid: " + id + "\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
            if (chosen.runs)
                owner.runs.push_back(id);
            auto stray = stray_messages()[chosen.stray].bytes;
            if (auto at = stray.find("ID"); at != std::string::npos)
                stray.replace(at, 2, id);
            auto bytes = std::exchange(pending, {}) + answer;
            if (chosen.when == stray_time::with_the_answer)
                bytes += stray;
            stream->write(bytes);
            if (chosen.when == stray_time::while_idle)
                timer = owner.loop_.after(std::chrono::milliseconds(1), [this, stray] {
                    if (stream != nullptr)
                        stream->write(stray);
                });
            else if (chosen.when == stray_time::before_the_next_answer)
                pending = stray;
            if (chosen.end == connection_end::kept)
                return;
            if (chosen.end == connection_end::reset)
                stream->reset_on_close();
            owner.loop_.defer([this] { stream.reset(); });
        }

        straying_server& owner;
        transport::http_reader reader;
        std::unique_ptr<transport::tcp_stream> stream;
        std::unique_ptr<transport::timer> timer;
        std::string id;
        std::string pending; ///< Written before the answer to the next request.
    };

    transport::event_loop& loop_;
    std::function<plan()> next_;
    transport::tcp_listener listener_;
    transport::address at_;
    std::vector<std::unique_ptr<connection>> connections_;
};

/// An instance before two straying servers.
struct straying_world : forward_fixture {
    explicit straying_world(const std::function<plan()>& next)
        : forward_fixture(forward_fixture::route(execution_rule::once, 3)), a(loop, next),
          b(loop, next) {
        state->directory.replace_all({}, loop.now());
        add("a", a.at());
        add("b", b.at());
    }

    /// Sends a request. The caller sends no request again under the same id.
    void send(const std::string& id) {
        ++open;
        transport::fetch(loop, callers, at, {"POST", "/r/x", {{"id", id}}, "body"},
                         std::chrono::seconds(20), [this, id](const auto& answer) {
                             --open;
                             if (answer)
                                 answers[id] = *answer;
                         });
    }

    void finish() {
        while (open > 0)
            loop.run_once(true);
    }

    /// \returns the first broken promise, or an empty text.
    std::string broken_promise() const {
        std::map<std::string, int> runs;
        for (const auto* server : {&a, &b}) {
            for (const auto& id : server->runs)
                ++runs[id];
        }
        for (const auto& [id, n] : runs) {
            if (n > 1)
                return id + " ran " + std::to_string(n) + " times";
        }
        for (const auto& [id, answer] : answers) {
            bool refused = answer.status == 503 || answer.status == 429 || answer.status == 408 ||
                           answer.status == 421;
            if (refused && runs.contains(id))
                return id + " ran and was answered " + std::to_string(answer.status);
            if (answer.status == 200 && answer.body != id)
                return id + " got the answer \"" + answer.body + "\"";
            if (answer.status == 200 && !runs.contains(id))
                return id + " got an answer and did not run";
        }
        return {};
    }

    straying_server a;
    straying_server b;
    int open = 0;
    std::map<std::string, transport::http_response> answers;
};

const char* name_of(stray_time when) {
    switch (when) {
    case stray_time::with_the_answer:
        return "with the answer";
    case stray_time::while_idle:
        return "while the connection is idle";
    case stray_time::before_the_next_answer:
        return "before the next answer";
    }
    return "";
}

/// All plans that end with a stray message.
std::vector<plan> all_plans() {
    std::vector<plan> result;
    for (bool runs : {true, false}) {
        for (std::size_t stray = 0; stray < stray_messages().size(); ++stray) {
            for (auto when : {stray_time::with_the_answer, stray_time::while_idle,
                              stray_time::before_the_next_answer}) {
                for (auto end :
                     {connection_end::kept, connection_end::closed, connection_end::reset})
                    result.push_back({runs, stray, when, end});
            }
        }
    }
    return result;
}

} // namespace

Test(late_message, each_message_after_each_answer_hides_no_run_of_later_requests) {
    for (const auto& first : all_plans()) {
        for (int refusals = 0; refusals < 3; ++refusals) {
            // The servers refuse the next request so many times, and then run it.
            int number = 0;
            straying_world it([&] {
                ++number;
                return number == 1 ? first : plan{number > 1 + refusals, 0, {}, {}};
            });
            it.send("q1");
            it.finish();
            it.wait(std::chrono::milliseconds(2));
            it.send("q2");
            it.finish();
            it.send("q3");
            it.finish();
            auto broken = it.broken_promise();
            cr_assert(broken.empty(), "%s %s after %s, %d refusals: %s",
                      stray_messages()[first.stray].name, name_of(first.when),
                      first.runs ? "a run" : "a refusal", refusals, broken.c_str());
        }
    }
}

Test(late_message, messages_at_random_hide_no_run_of_many_open_requests) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        straying_world it([&] {
            plan chosen;
            chosen.runs = random() % 3 != 0;
            chosen.stray = random() % 2 == 0 ? random() % stray_messages().size() : 0;
            chosen.when = static_cast<stray_time>(random() % 3);
            chosen.end = random() % 4 == 0 ? static_cast<connection_end>(1 + random() % 2)
                                           : connection_end::kept;
            return chosen;
        });
        for (int i = 0; i < 200; ++i) {
            it.send("q" + std::to_string(i));
            for (auto turns = random() % 12; turns > 0; --turns)
                it.loop.run_once(false);
            if (random() % 8 == 0)
                it.wait(std::chrono::milliseconds(2));
        }
        it.finish();
        auto broken = it.broken_promise();
        cr_assert(broken.empty(), "seed %u: %s", seed, broken.c_str());
    }
}
