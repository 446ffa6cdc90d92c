// Guards against requests sent ahead on one connection that are read in another order than they
// came, so that callers get each other's answers.
#include "azureyoke/src/transport/front_server.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "azureyoke/src/transport/http_reader.h"
#include "azureyoke/src/transport/tcp_stream.h"
#include "test/property.h"

using namespace azureyoke;

namespace {

/// Keeps the bodies of the answers, in their order.
struct answer_reader : transport::tcp_stream_sink, transport::http_reader_sink {
    answer_reader(transport::event_loop& loop, const transport::address& at)
        : reader(transport::http_reader_kind::answers, 64 * 1024, *this), stream(loop, at, *this) {}

    void on_bytes(std::string_view bytes) override {
        while (!bytes.empty() && reader.failure().empty())
            bytes.remove_prefix(reader.feed(bytes));
    }

    void on_end(bool /*reset*/) override { ended = true; }

    void on_head(transport::http_head head) override {
        failed = failed || head.status != 200;
        bodies.emplace_back();
    }

    void on_body(std::string_view piece) override { bodies.back() += piece; }

    void on_complete() override { ++complete; }

    std::vector<std::string> bodies;
    std::size_t complete = 0;
    bool ended = false;
    bool failed = false;
    transport::http_reader reader;
    transport::tcp_stream stream;
};

/// \brief Calls a function when the loop reads a byte, as the end of a server's answer does.
class signal_line : public transport::tcp_stream_sink {
public:
    signal_line(transport::event_loop& loop, std::function<void()> on_signal)
        : on_signal_(std::move(on_signal)),
          listener_(loop,
                    [this, &loop](int fd) {
                        receiver_ = std::make_unique<transport::tcp_stream>(loop, fd, *this);
                    }),
          at_(*listener_.listen({"127.0.0.1", 0})), sender_(loop, at_, *this) {
        while (receiver_ == nullptr || !sender_.connected())
            loop.run_once(true);
    }

    void send() { sender_.write("x"); }

private:
    void on_bytes(std::string_view bytes) override {
        for (std::size_t i = 0; i < bytes.size(); ++i)
            on_signal_();
    }

    void on_end(bool /*reset*/) override {}

    std::function<void()> on_signal_;
    transport::tcp_listener listener_;
    transport::address at_;
    std::unique_ptr<transport::tcp_stream> receiver_;
    transport::tcp_stream sender_;
};

struct order_fixture {
    transport::event_loop loop;
    std::vector<std::shared_ptr<transport::front_exchange>> open;
    std::vector<std::string> handled;
    transport::front_server server{loop, {}, [this](const auto& exchange) {
                                       handled.push_back(exchange->request().target + " " +
                                                         exchange->request().body);
                                       open.push_back(exchange);
                                   }};
    transport::address at = *server.listen({"127.0.0.1", 0});
    answer_reader caller{loop, at};
    signal_line answers{loop, [this] { answer(); }};

    /// \brief Ends the open answer in the next turn of the loop, in the order in which sockets
    /// become readable.
    void answer_soon() { answers.send(); }

    void answer() {
        if (open.empty())
            return;
        auto exchange = open.front();
        open.clear();
        exchange->reply({200, {}, exchange->request().target + " " + exchange->request().body});
    }

    void turn() {
        auto wakeup = loop.after(std::chrono::milliseconds(1), [] {});
        loop.run_once(true);
    }
};

/// \returns the bytes of a request whose body, if any, has a length or comes in chunks.
std::string request_bytes(std::size_t number, std::size_t kind) {
    auto head = "POST /" + std::to_string(number) + " HTTP/1.1\r\nHost: h\r\n";
    auto body = "body of " + std::to_string(number);
    if (kind == 0)
        return head + "Content-Length: 0\r\n\r\n";
    if (kind == 1)
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    auto chunks = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (char c : body)
        chunks += std::string("1\r\n") + c + "\r\n";
    return chunks + "0\r\n\r\n";
}

std::string expected_answer(std::size_t number, std::size_t kind) {
    auto target = "/" + std::to_string(number) + " ";
    return kind == 0 ? target : target + "body of " + std::to_string(number);
}

} // namespace

// Each number of the script sends some bytes, ends an answer or lets the loop turn.
Test(front_order, requests_sent_ahead_in_pieces_are_read_in_their_order, .timeout = 120) {
    check_property("order", [](const std::vector<std::uint8_t>& script) {
        order_fixture it;
        constexpr std::size_t requests = 6;
        std::string bytes;
        std::vector<std::string> expected;
        for (std::size_t n = 0; n < requests; ++n) {
            auto kind = (script.empty() ? n : script[n % script.size()] + n) % 3;
            bytes += request_bytes(n, kind);
            expected.push_back(expected_answer(n, kind));
        }
        while (!it.caller.stream.connected())
            it.turn();
        std::size_t sent = 0;
        auto send = [&](std::size_t n) {
            n = std::min(n, bytes.size() - sent);
            it.caller.stream.write(bytes.substr(sent, n));
            sent += n;
        };
        for (auto step : script) {
            if (step % 4 == 0)
                it.answer_soon();
            else if (step % 4 == 1)
                it.turn();
            else
                send(step);
        }
        send(bytes.size());
        for (int turns = 0; it.caller.complete < requests && turns < 2000; ++turns) {
            it.answer_soon();
            it.turn();
        }
        RC_ASSERT(!it.caller.failed);
        RC_ASSERT(it.handled == expected);
        RC_ASSERT(it.caller.bodies == expected);
    });
}

// A frozen process finds the end of an answer and the next bytes of the caller ready together.
Test(front_order, bytes_that_come_as_an_answer_ends_are_read_after_those_before_them) {
    order_fixture it;
    while (!it.caller.stream.connected())
        it.turn();
    it.caller.stream.write(request_bytes(0, 1));
    while (it.handled.empty())
        it.turn();
    it.caller.stream.write(request_bytes(1, 1));
    for (int i = 0; i < 5; ++i)
        it.turn();
    it.answer_soon();
    it.caller.stream.write(request_bytes(2, 1));
    for (int turns = 0; it.caller.complete < 3 && turns < 100; ++turns) {
        it.turn();
        it.answer_soon();
    }
    const std::vector<std::string> expected = {expected_answer(0, 1), expected_answer(1, 1),
                                               expected_answer(2, 1)};
    cr_assert(it.caller.bodies == expected);
}
