// Guards against connections whose memory grows with all bytes that were ever written to them.
#include "azureyoke/src/transport/tcp_stream.h"

#include <algorithm>
#include <array>

#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace azureyoke::transport;

namespace {

struct silent_sink : tcp_stream_sink {
    void on_bytes(std::string_view /*bytes*/) override {}

    void on_end(bool /*reset*/) override {}
};

} // namespace

Test(tcp_stream, output_that_is_never_fully_sent_takes_no_more_than_what_is_unsent) {
    event_loop loop;
    silent_sink sink;
    int reader = -1;
    tcp_listener listener(loop, [&](int fd) { reader = fd; });
    tcp_stream writer(loop, *listener.listen({"127.0.0.1", 0}), sink);
    while (reader < 0 || !writer.connected())
        loop.run_once(true);
    // More than the buffers of both sockets.
    constexpr std::size_t backlog = 16 * 1024 * 1024;
    const std::string piece(16 * 1024, 'x');
    std::array<char, 64 * 1024> buf{};
    std::size_t written = 0;
    std::size_t most_held = 0;
    // The reader takes a little whenever the kernel takes no more.
    while (written < 128 * 1024 * 1024) {
        while (writer.unwritten() < backlog) {
            writer.write(piece);
            written += piece.size();
        }
        most_held = std::max(most_held, writer.held_output());
        loop.run_once(false);
        if (writer.unwritten() > backlog / 2)
            (void)recv(reader, buf.data(), buf.size(), 0);
    }
    close(reader);
    cr_assert_leq(most_held, 3 * backlog, "%zu bytes", most_held);
}
