#include "azureyoke/src/transport/http_server.h"

#include <string>

#include <criterion/criterion.h>

#include "azureyoke/src/transport/front_server.h"
#include "azureyoke/src/transport/tcp_stream.h"

using namespace azureyoke;

namespace {

template <class Server>
struct server_fixture {
    transport::event_loop loop;
    int served = 0;
    Server server{loop, {}, [this](const auto& exchange) {
                      ++served;
                      exchange->reply({200, {}, "ok"});
                  }};
    transport::address at = *server.listen({"127.0.0.1", 0});
};

/// Sends a whole request before it reads anything, as simple clients do.
struct plain_client : transport::tcp_stream_sink {
    plain_client(transport::event_loop& loop, const transport::address& at,
                 const std::string& request)
        : stream(loop, at, *this) {
        stream.pause(true);
        stream.write(request);
        while (!sent && !ended)
            loop.turn(true);
        stream.pause(false);
        while (!ended && answer.find("\r\n") == std::string::npos)
            loop.turn(true);
    }

    void on_bytes(std::string_view bytes) override { answer += bytes; }

    void on_end(bool /*reset*/) override { ended = true; }

    void on_drained() override { sent = true; }

    std::string answer;
    bool sent = false;
    bool ended = false;
    transport::tcp_stream stream;
};

std::string post(std::size_t bytes) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
           std::string(bytes, 'x');
}

std::string in_chunks(int chunks) {
    std::string request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < chunks; ++i)
        request += "20000\r\n" + std::string(0x20000, 'x') + "\r\n";
    return request + "0\r\n\r\n";
}

constexpr std::size_t megabyte = 1024 * 1024;

/// Sends one request on a connection of its own and expects the status.
template <class Server>
void expect(server_fixture<Server>& it, const std::string& request, const std::string& status) {
    plain_client client(it.loop, it.at, request);
    cr_assert(client.answer.starts_with("HTTP/1.1 " + status + " "), "%s", client.answer.c_str());
}

} // namespace

Test(http_server, body_far_over_the_limit_is_answered_413) {
    server_fixture<transport::http_server> it;
    expect(it, post(100 * megabyte), "413");
    expect(it, in_chunks(100), "413");
    cr_assert_eq(it.served, 0);
    expect(it, post(5), "200");
}

Test(front_server, body_far_over_the_limit_is_answered_413) {
    server_fixture<transport::front_server> it;
    expect(it, post(100 * megabyte), "413");
    expect(it, in_chunks(100), "413");
    cr_assert_eq(it.served, 0);
    expect(it, post(5), "200");
}
