// Bytes that are no answer, or no request, and come without end, fast and slowly.
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "forward_fixture.h"

using namespace azureyoke;
using state::run_rule;

namespace {

enum class pace { fast, slow };

/// What a socket and its peer's take beside the limits of the instance.
constexpr std::size_t most_sent = 24 * 1024 * 1024;

std::string repeated(const std::string& pattern, std::size_t bytes) {
    std::string out;
    while (out.size() < bytes)
        out += pattern;
    return out;
}

/// Sends a beginning and then the same pattern until its peer closes.
class endless_sender : public transport::tcp_stream_sink {
public:
    endless_sender(transport::event_loop& loop, std::string beginning, std::string pattern,
                   pace how)
        : loop_(loop), beginning_(std::move(beginning)), pattern_(std::move(pattern)), how_(how) {}

    void begin(std::unique_ptr<transport::tcp_stream> stream) {
        stream_ = std::move(stream);
        send(beginning_);
        if (how_ == pace::fast)
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
    pace how_;
    std::unique_ptr<transport::tcp_stream> stream_;
    std::unique_ptr<transport::timer> timer_;
};

/// A backend server that answers its first request without end and no other.
class endless_server : public transport::http_reader_sink {
public:
    endless_server(transport::event_loop& loop, const std::string& beginning,
                   const std::string& pattern, pace how)
        : loop_(loop), beginning_(beginning), pattern_(pattern), how_(how),
          listener_(loop, [this](int fd) { accept(fd); }) {
        at_ = *listener_.listen({"127.0.0.1", 0});
    }

    const transport::address& at() const { return at_; }

    std::size_t sent() const { return sender_ == nullptr ? 0 : sender_->sent; }

    bool cut_off() const { return sender_ != nullptr && sender_->ended; }

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
        sender_ = std::make_unique<endless_sender>(loop_, beginning_, pattern_, how_);
        requests_->sender = sender_.get();
        sender_->begin(std::move(stream_));
    }

    transport::event_loop& loop_;
    std::string beginning_;
    std::string pattern_;
    pace how_;
    transport::tcp_listener listener_;
    transport::address at_;
    std::unique_ptr<request_reader> requests_;
    std::unique_ptr<transport::tcp_stream> stream_;
    std::unique_ptr<endless_sender> sender_;
};

constexpr int cut = 0; ///< The caller sees that the answer broke off.

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
        {"chunk extension", chunked + "5;x=", "x", cut, cut},
        {"trailer", chunked + "0\r\n", "X: y\r\n", cut, cut},
        {"body without length", head + "\r\n", "x", cut, 504},
        {"body in chunks", chunked, "1\r\nx\r\n", cut, cut},
        {"bytes after an answer", head + "Content-Length: 2\r\n\r\nok", "x", 200, 200},
        {"body where none is due", "HTTP/1.1 204 N\r\nid: ID\r\nstamp: s\r\n\r\n", "x", 204, 204},
        {"answer to another", "HTTP/1.1 200 OK\r\nid: old\r\nstamp: s\r\n\r\n", "x", 502, 504},
        {"failure", "HTTP/1.1 500 E\r\nid: ID\r\nstamp: s\r\n\r\n", "x", cut, 504},
        {"unproven refusal", "HTTP/1.1 503 S\r\nid: ID\r\nstamp: s\r\n\r\n", "x", 502, 504},
    };
    return list;
}

state::forward_route short_route(run_rule rule) {
    auto made = forward_fixture::route(rule, 1);
    made.timeout_ms = 600;
    return made;
}

void leave_only(forward_fixture& it, const endless_server& server) {
    it.state->directory.replace_all({}, it.loop.now());
    it.add("endless", server.at());
}

void expect_cut_off(forward_fixture& it, const endless_server& server, const char* name) {
    while (!server.cut_off())
        it.loop.turn(true);
    cr_assert_leq(server.sent(), most_sent, "%s", name);
}

} // namespace

Test(endless_bytes, answer_of_a_server_without_end_is_bounded_and_its_caller_told) {
    for (const auto& one : server_cases()) {
        for (auto how : {pace::fast, pace::slow}) {
            forward_fixture it(short_route(run_rule::once));
            endless_server server(it.loop, one.beginning, one.pattern, how);
            leave_only(it, server);
            auto got = it.ask();
            int expected = how == pace::fast ? one.fast : one.slow;
            cr_assert_eq(got.status, expected, "%s: %d", one.name, got.status);
            expect_cut_off(it, server, one.name);
        }
    }
}

Test(endless_bytes, server_whose_answers_have_no_end_is_left_out) {
    forward_fixture it(short_route(run_rule::once));
    it.state->directory.replace_all({}, it.loop.now());
    std::vector<std::unique_ptr<endless_server>> servers;
    for (int i = 0; i < 2; ++i) {
        servers.push_back(std::make_unique<endless_server>(it.loop, "HTTP/1.1 200 OK\r\n",
                                                           "X: y\r\n", pace::fast));
        it.add("endless", servers.back()->at());
        cr_assert_eq(it.ask({{"id", "q" + std::to_string(i)}}).status, 502);
    }
    it.add("a", it.first.at());
    for (int i = 0; i < 8; ++i) {
        it.first.script.push_back({head + "Content-Length: 2\r\n\r\nok"});
        cr_assert_eq(it.ask({{"id", "r" + std::to_string(i)}}).status, 200);
    }
}

Test(endless_bytes, request_that_did_not_run_does_not_wait_for_the_end_of_its_rejection) {
    for (auto how : {pace::fast, pace::slow}) {
        forward_fixture it(short_route(run_rule::once));
        endless_server server(it.loop, "HTTP/1.1 503 S\r\nid: ID\r\nnot-run: 1\r\n\r\n", "x", how);
        it.add("a", server.at());
        it.add("b", server.at());
        it.add(&it.home_of("q1") == &it.first ? "b" : "a", it.second.at());
        it.second.script.push_back({head + "Content-Length: 2\r\n\r\nok"});
        cr_assert_eq(it.ask().status, 200);
        expect_cut_off(it, server, "rejection");
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

/// A resumable stream that begins at a server which sends one event and then only the pattern.
void expect_resumed(const std::string& pattern, pace how) {
    auto route = forward_fixture::route(run_rule::stream, 2);
    route.resumable = true;
    route.timeout_ms = 20'000;
    forward_fixture it(route);
    endless_server server(it.loop, chunked + chunk(event_text(1)), pattern, how);
    bool first = &it.home_of("q1") == &it.first;
    it.add(first ? "a" : "b", server.at());
    auto& other = first ? it.second : it.first;
    other.script.push_back({chunked + chunk(event_text(2)) + "0\r\n\r\n"});
    auto got = it.ask();
    cr_assert_eq(got.status, 200);
    cr_assert_eq(got.body, event_text(1) + event_text(2));
    expect_cut_off(it, server, "stream");
}

} // namespace

Test(endless_bytes, stream_of_bytes_without_an_event_goes_on_elsewhere) {
    expect_resumed(chunk(":\n"), pace::slow);
    expect_resumed(chunk("x"), pace::slow);
    expect_resumed(chunk(std::string(0x4000, 'x')), pace::fast);
}

Test(endless_bytes, stream_that_can_not_be_resumed_and_sends_no_event_is_cut) {
    auto route = forward_fixture::route(run_rule::stream, 1);
    route.timeout_ms = 20'000;
    forward_fixture it(route);
    endless_server server(it.loop, chunked + chunk(event_text(1)), chunk(":\n"), pace::slow);
    leave_only(it, server);
    cr_assert_eq(it.ask().status, cut);
    expect_cut_off(it, server, "stream");
}

Test(endless_bytes, slow_but_sound_stream_is_not_cut) {
    auto route = forward_fixture::route(run_rule::stream, 1);
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
    auto got = it.ask();
    cr_assert_eq(got.status, 200);
    cr_assert_eq(got.body, event_text(1) + event_text(2) + event_text(3) + event_text(4));
}

namespace {

struct caller_case {
    const char* name;
    std::string beginning;
    std::string pattern;
    const char* fast; ///< Statuses; empty when the connection is closed without an answer.
    const char* slow;
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

Test(endless_bytes, request_of_a_caller_without_end_is_bounded_and_answered) {
    for (const auto& one : caller_cases()) {
        for (auto how : {pace::fast, pace::slow}) {
            transport::event_loop loop;
            transport::front_limits limits;
            limits.body_bytes = 256 * 1024;
            limits.head_timeout = std::chrono::milliseconds(300);
            limits.body_timeout = std::chrono::milliseconds(300);
            transport::front_server server{loop, limits, [](const auto& exchange) {
                                               exchange->reply({200, {}, "ok"});
                                           }};
            auto at = *server.listen({"127.0.0.1", 0});
            endless_sender caller(loop, one.beginning, one.pattern.empty() ? "" : one.pattern,
                                  one.pattern.empty() ? pace::slow : how);
            caller.begin(std::make_unique<transport::tcp_stream>(loop, at, caller));
            while (!caller.ended)
                loop.turn(true);
            std::string expected = how == pace::fast ? one.fast : one.slow;
            cr_assert(caller.received.starts_with("HTTP/1.1 " + expected), "%s: %s", one.name,
                      caller.received.c_str());
            cr_assert_leq(caller.sent, most_sent, "%s", one.name);
        }
    }
}
