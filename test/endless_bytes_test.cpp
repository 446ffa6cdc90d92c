// Guards against answers and requests that never end: a faulty or hostile peer sends bytes, fast or
// slowly, that never complete a message. They must be bounded in size and time.
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "forward_fixture.h"

using namespace azureyoke;
using state::execution_rule;

namespace {

enum class pace { fast, slow };

/// Upper bound of the bytes sent: the limits of the instance plus the buffers of both sockets.
constexpr std::size_t max_sent = 24 * 1024 * 1024;

std::string repeated(const std::string& pattern, std::size_t bytes) {
    std::string out;
    while (out.size() < bytes)
        out += pattern;
    return out;
}

/// Sends a beginning and then repeats a pattern until its peer closes the connection.
class endless_sender : public transport::tcp_stream_sink {
public:
    endless_sender(transport::event_loop& loop, std::string beginning, std::string pattern,
                   pace speed)
        : loop_(loop), beginning_(std::move(beginning)), pattern_(std::move(pattern)),
          speed_(speed) {}

    void begin(std::unique_ptr<transport::tcp_stream> stream) {
        stream_ = std::move(stream);
        send(beginning_);
        if (speed_ == pace::fast)
            timer_ = loop_.every(std::chrono::milliseconds(1), [this] {
                if (stream_->unwritten() == 0)
                    send(repeated(pattern_, 64 * 1024));
            });
        else
            timer_ = loop_.every(std::chrono::milliseconds(20), [this] { send(pattern_); });
    }

    void on_bytes(std::string_view bytes) override { received += bytes; }

    void on_end(bool /*reset*/) override {
        ended = true;
        timer_.reset();
    }

    std::string received;
    std::size_t sent = 0;
    bool ended = false;

private:
    void send(const std::string& bytes) {
        if (ended)
            return;
        sent += bytes.size();
        stream_->write(bytes);
    }

    transport::event_loop& loop_;
    std::string beginning_;
    std::string pattern_;
    pace speed_;
    std::unique_ptr<transport::tcp_stream> stream_;
    std::unique_ptr<transport::timer> timer_;
};

/// A backend server that answers only its first request, with an answer that never ends.
class endless_server : public transport::http_reader_sink {
public:
    endless_server(transport::event_loop& loop, const std::string& beginning,
                   const std::string& pattern, pace speed)
        : loop_(loop), beginning_(beginning), pattern_(pattern), speed_(speed),
          listener_(loop, [this](int fd) { accept(fd); }) {
        at_ = *listener_.listen({"127.0.0.1", 0});
    }

    const transport::address& at() const { return at_; }

    std::size_t sent() const { return sender_ == nullptr ? 0 : sender_->sent; }

    bool closed() const { return sender_ != nullptr && sender_->ended; }

private:
    struct request_reader : transport::tcp_stream_sink {
        explicit request_reader(endless_server& server)
            : reader(transport::http_reader_kind::requests, 64 * 1024, server) {}

        void on_bytes(std::string_view bytes) override {
            while (!bytes.empty() && reader.failure().empty())
                bytes.remove_prefix(reader.feed(bytes));
            if (sender != nullptr)
                sender->on_bytes(bytes);
        }

        void on_end(bool reset) override {
            if (sender != nullptr)
                sender->on_end(reset);
        }

        transport::http_reader reader;
        endless_sender* sender = nullptr;
    };

    void accept(int fd) {
        if (stream_ != nullptr || sender_ != nullptr)
            return;
        requests_ = std::make_unique<request_reader>(*this);
        stream_ = std::make_unique<transport::tcp_stream>(loop_, fd, *requests_);
    }

    void on_head(transport::http_head head) override {
        auto id = transport::find_field(head.fields, "id").value_or("");
        if (auto at = beginning_.find("ID"); at != std::string::npos)
            beginning_.replace(at, 2, id);
    }

    void on_body(std::string_view /*piece*/) override {}

    void on_complete() override {
        sender_ = std::make_unique<endless_sender>(loop_, beginning_, pattern_, speed_);
        requests_->sender = sender_.get();
        sender_->begin(std::move(stream_));
    }

    transport::event_loop& loop_;
    std::string beginning_;
    std::string pattern_;
    pace speed_;
    transport::tcp_listener listener_;
    transport::address at_;
    std::unique_ptr<request_reader> requests_;
    std::unique_ptr<transport::tcp_stream> stream_;
    std::unique_ptr<endless_sender> sender_;
};

constexpr int aborted = 0; ///< Status when the answer is aborted.

struct server_case {
    const char* name;
    std::string beginning;
    std::string pattern;
    int fast;
    int slow;
};

const std::string head = "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<server_case>& server_cases() {
    static const std::vector<server_case> list = {
        {"reason of the status line", "HTTP/1.1 200 O", "K", 502, 504},
        {"head line", "HTTP/1.1 200 OK\r\nX: ", "x", 502, 504},
        {"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n", 502, 504},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 502, 502},
        {"chunk extension", chunked + "5;x=", "x", aborted, aborted},
        {"trailer", chunked + "0\r\n", "X: y\r\n", aborted, aborted},
        {"body without length", head + "\r\n", "x", aborted, 504},
        {"body in chunks", chunked, "1\r\nx\r\n", aborted, aborted},
        {"bytes after an answer", head + "Content-Length: 2\r\n\r\nok", "x", 200, 200},
        {"body where none is due", "HTTP/1.1 204 N\r\nid: ID\r\nstamp: s\r\n\r\n", "x", 204, 204},
        {"answer to another", "HTTP/1.1 200 OK\r\nid: old\r\nstamp: s\r\n\r\n", "x", 502, 504},
        {"failure", "HTTP/1.1 500 E\r\nid: ID\r\nstamp: s\r\n\r\n", "x", aborted, 504},
        {"unproven refusal", "HTTP/1.1 503 S\r\nid: ID\r\nstamp: s\r\n\r\n", "x", 502, 504},
    };
    return list;
}

state::forward_route short_route(execution_rule rule) {
    auto made = forward_fixture::route(rule, 1);
    made.timeout_ms = 600;
    return made;
}

void use_only(forward_fixture& it, const endless_server& server) {
    it.state->directory.replace_all({}, it.loop.now());
    it.add("endless", server.at());
}

void expect_closed(forward_fixture& it, const endless_server& server, const char* name) {
    while (!server.closed())
        it.loop.run_once(true);
    cr_assert_leq(server.sent(), max_sent, "%s", name);
}

} // namespace

Test(endless_bytes, endless_answer_is_bounded_and_the_caller_gets_an_error) {
    for (const auto& test_case : server_cases()) {
        for (auto speed : {pace::fast, pace::slow}) {
            forward_fixture it(short_route(execution_rule::once));
            endless_server server(it.loop, test_case.beginning, test_case.pattern, speed);
            use_only(it, server);
            auto answer = it.fetch_answer();
            int expected = speed == pace::fast ? test_case.fast : test_case.slow;
            cr_assert_eq(answer.status, expected, "%s: %d", test_case.name, answer.status);
            expect_closed(it, server, test_case.name);
        }
    }
}

Test(endless_bytes, server_with_endless_answers_is_not_used) {
    forward_fixture it(short_route(execution_rule::once));
    it.state->directory.replace_all({}, it.loop.now());
    std::vector<std::unique_ptr<endless_server>> servers;
    for (int i = 0; i < 2; ++i) {
        servers.push_back(std::make_unique<endless_server>(it.loop, "HTTP/1.1 200 OK\r\n",
                                                           "X: y\r\n", pace::fast));
        it.add("endless", servers.back()->at());
        cr_assert_eq(it.fetch_answer({{"id", "q" + std::to_string(i)}}).status, 502);
    }
    it.add("a", it.first.at());
    for (int i = 0; i < 8; ++i) {
        it.first.script.push_back({head + "Content-Length: 2\r\n\r\nok"});
        cr_assert_eq(it.fetch_answer({{"id", "r" + std::to_string(i)}}).status, 200);
    }
}

Test(endless_bytes, request_that_did_not_run_is_retried_before_its_rejection_ends) {
    for (auto speed : {pace::fast, pace::slow}) {
        forward_fixture it(short_route(execution_rule::once));
        endless_server server(it.loop, "HTTP/1.1 503 S\r\nid: ID\r\nnot-run: 1\r\n\r\n", "x",
                              speed);
        it.add("a", server.at());
        it.add("b", server.at());
        it.add(&it.first_choice_of("q1") == &it.first ? "b" : "a", it.second.at());
        it.second.script.push_back({head + "Content-Length: 2\r\n\r\nok"});
        cr_assert_eq(it.fetch_answer().status, 200);
        expect_closed(it, server, "rejection");
    }
}

namespace {

std::string chunk(const std::string& text) {
    std::string size;
    for (auto n = text.size(); n > 0; n /= 16)
        size.insert(0, 1, "0123456789abcdef"[n % 16]);
    return size + "\r\n" + text + "\r\n";
}

std::string event_text(int n) {
    return "id: " + std::to_string(n) + "\ndata: t\n\n";
}

/// Expects a stream to continue at another server when the first server sends one event and then
/// only `pattern`.
void expect_resumed(const std::string& pattern, pace speed) {
    auto route = forward_fixture::route(execution_rule::stream, 2);
    route.resumable = true;
    route.timeout_ms = 20'000;
    forward_fixture it(route);
    endless_server server(it.loop, chunked + chunk(event_text(1)), pattern, speed);
    bool first = &it.first_choice_of("q1") == &it.first;
    it.add(first ? "a" : "b", server.at());
    auto& other = first ? it.second : it.first;
    other.script.push_back({chunked + chunk(event_text(2)) + "0\r\n\r\n"});
    auto answer = it.fetch_answer();
    cr_assert_eq(answer.status, 200);
    const std::string comment = ":\n\n";
    for (auto at = answer.body.find(comment); at != std::string::npos;
         at = answer.body.find(comment, at))
        answer.body.erase(at, comment.size());
    cr_assert_eq(answer.body, event_text(1) + event_text(2));
    expect_closed(it, server, "stream");
}

} // namespace

Test(endless_bytes, resumable_stream_without_events_continues_at_another_server) {
    expect_resumed(chunk(":\n"), pace::slow);
    expect_resumed(chunk(":\n\n"), pace::slow);
    expect_resumed(chunk(repeated(":\n\n", 0x3000)), pace::fast);
    expect_resumed(chunk("x"), pace::slow);
    expect_resumed(chunk(std::string(0x4000, 'x')), pace::fast);
}

Test(endless_bytes, non_resumable_stream_without_events_is_aborted) {
    auto route = forward_fixture::route(execution_rule::stream, 1);
    route.timeout_ms = 20'000;
    forward_fixture it(route);
    for (const char* comment : {":\n", ":\n\n"}) {
        endless_server server(it.loop, chunked + chunk(event_text(1)), chunk(comment), pace::slow);
        use_only(it, server);
        cr_assert_eq(it.fetch_answer().status, aborted);
        expect_closed(it, server, "stream");
    }
}

Test(endless_bytes, slow_valid_stream_is_not_aborted) {
    auto route = forward_fixture::route(execution_rule::stream, 1);
    route.timeout_ms = 20'000;
    forward_fixture it(route);
    std::vector<std::unique_ptr<transport::timer>> timers;
    transport::front_server slow(it.loop, {}, [&](const auto& exchange) {
        auto id = transport::find_field(exchange->request().fields, "id").value_or("");
        exchange->start(200, {{"id", id}, {"stamp", "s"}});
        for (int i = 1; i <= 4; ++i) {
            auto at = std::chrono::milliseconds(900) * i;
            timers.push_back(it.loop.after(at, [exchange, i] {
                exchange->write(event_text(i));
                if (i == 4)
                    exchange->end();
            }));
        }
    });
    auto at = *slow.listen({"127.0.0.1", 0});
    it.state->directory.replace_all({}, it.loop.now());
    it.add("slow", at);
    auto answer = it.fetch_answer();
    cr_assert_eq(answer.status, 200);
    cr_assert_eq(answer.body, event_text(1) + event_text(2) + event_text(3) + event_text(4));
}

namespace {

struct caller_case {
    const char* name;
    std::string beginning;
    std::string pattern;
    const char* fast; ///< Expected status at the fast pace.
    const char* slow; ///< Expected status at the slow pace.
};

const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
const std::string posted_chunks = post + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<caller_case>& caller_cases() {
    static const std::vector<caller_case> list = {
        {"target", "GET /", "x", "431", "408"},
        {"head line", "GET / HTTP/1.1\r\nX: ", "x", "431", "408"},
        {"fields", "GET / HTTP/1.1\r\n", "X: y\r\n", "431", "408"},
        {"chunk extension", posted_chunks + "5;x=", "x", "431", "408"},
        {"trailer", posted_chunks + "0\r\n", "X: y\r\n", "431", "408"},
        {"chunks", posted_chunks, "1\r\nx\r\n", "413", "408"},
        {"body beyond its length", post + "Content-Length: 2\r\n\r\nok", "x", "200", "200"},
        {"long body", post + "Content-Length: 1000\r\n\r\n", "", "408", "408"},
    };
    return list;
}

} // namespace

Test(endless_bytes, endless_request_is_bounded_and_answered) {
    for (const auto& test_case : caller_cases()) {
        for (auto speed : {pace::fast, pace::slow}) {
            transport::event_loop loop;
            transport::front_limits limits;
            limits.max_body_bytes = 256 * 1024;
            limits.head_timeout = std::chrono::milliseconds(300);
            limits.body_timeout = std::chrono::milliseconds(300);
            transport::front_server server{loop, limits, [](const auto& exchange) {
                                               exchange->reply({200, {}, "ok"});
                                           }};
            auto at = *server.listen({"127.0.0.1", 0});
            endless_sender caller(loop, test_case.beginning,
                                  test_case.pattern.empty() ? "" : test_case.pattern,
                                  test_case.pattern.empty() ? pace::slow : speed);
            caller.begin(std::make_unique<transport::tcp_stream>(loop, at, caller));
            while (!caller.ended)
                loop.run_once(true);
            std::string expected = speed == pace::fast ? test_case.fast : test_case.slow;
            cr_assert(caller.received.starts_with("HTTP/1.1 " + expected), "%s: %s", test_case.name,
                      caller.received.c_str());
            cr_assert_leq(caller.sent, max_sent, "%s", test_case.name);
        }
    }
}
