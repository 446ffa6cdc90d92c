// Guards against malformed, disconnecting or slow callers that affect other callers, keep engines
// busy or grow the instance's memory.
#include <cstdlib>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "standin/load.h"
#include "test/fleet_fixture.h"
#include "test/stream_checker.h"

using namespace azureyoke;
using std::chrono::milliseconds;

namespace {

/// A caller on a raw socket: sends any bytes and controls when it reads.
class raw_caller {
public:
    explicit raw_caller(const transport::address& at) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(at.port);
        inet_pton(AF_INET, at.ip.c_str(), &to.sin_addr);
        int receive_buffer_bytes = 4096; // keeps unread data in the router, not the kernel
        setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof(receive_buffer_bytes));
        timeval receive_timeout{5, 0};
        setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof(receive_timeout));
        cr_assert_eq(connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof(to)), 0);
    }

    ~raw_caller() { close(fd_); }

    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    raw_caller(raw_caller&&) = delete;
    raw_caller& operator=(raw_caller&&) = delete;

    void send_text(const std::string& text) const {
        (void)send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    }

    /// Reads until the peer closes or sends nothing within the receive timeout.
    std::string receive_all() const {
        std::string text;
        std::string buf(4096, '\0');
        while (true) {
            auto n = recv(fd_, buf.data(), buf.size(), 0);
            if (n <= 0)
                return text;
            text.append(buf, 0, static_cast<std::size_t>(n));
        }
    }

private:
    int fd_;
};

std::string request_head(const std::string& key, const std::string& more_fields) {
    return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n" +
           more_fields + "\r\n";
}

/// \returns the sum of `field` of `page` over all engines.
std::int64_t sum_over_engines(standin::fleet& fleet, const std::string& page, const char* field) {
    std::int64_t sum = 0;
    for (auto& it : fleet.engines())
        sum += fleet.fetch_json(it.direct, page)[field].get<std::int64_t>();
    return sum;
}

} // namespace

Test(hard_callers, two_lengths_are_refused_and_the_connection_closes) {
    fleet_fixture fleet;
    raw_caller caller(fleet->instances()[0].callers);
    std::string body = R"({"model":"scheme-7b","prompt":"p","max_tokens":1})";
    caller.send_text(
        request_head(fleet->key("returns"), "Content-Length: " + std::to_string(body.size()) +
                                                "\r\nContent-Length: 5\r\n") +
        body);
    auto answer = caller.receive_all();
    cr_assert_neq(answer.find("400"), std::string::npos, "%s", answer.c_str());
    cr_assert_neq(answer.find("ambiguous_length"), std::string::npos, "%s", answer.c_str());
}

Test(hard_callers, malformed_request_does_not_affect_other_callers) {
    fleet_fixture fleet;
    for (const char* text :
         {"\x16\x03\x01\x02", "GET\r\n\r\n", "POST / HTTP/9.9\r\n\r\n",
          "POST /v1/completions HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
          "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        raw_caller caller(fleet->instances()[0].callers);
        caller.send_text(text);
        caller.send_text("\r\n\r\n");
    }
    auto answer = fleet->fetch(fleet->instances()[0].callers,
                               fleet.completion_request("returns", "prompt", 2, false));
    cr_assert_eq(answer.value().status, 200);
}

Test(hard_callers, caller_that_goes_is_cancelled_at_the_engine) {
    fleet_fixture fleet;
    {
        raw_caller caller(fleet->instances()[0].callers);
        std::string body = R"({"model":"scheme-7b","prompt":"p","max_tokens":30000,"stream":true})";
        caller.send_text(request_head(fleet->key("returns"),
                                      "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                         body);
        cr_assert(fleet->wait_until(
            [&] { return sum_over_engines(*fleet, "/load", "running") == 1; }, 5000));
    }
    // The complete answer would take a minute, so the job ends this early only by cancellation.
    cr_assert(
        fleet->wait_until([&] { return sum_over_engines(*fleet, "/load", "running") == 0; }, 5000));
    cr_assert_eq(sum_over_engines(*fleet, "/stats", "served"), 0);
}

Test(hard_callers, slow_caller_grows_no_memory) {
    // The address sanitizer keeps freed blocks resident, which would count as growth of the
    // process. Without the sanitizer the setting has no effect.
    setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
    standin::fleet_options options;
    options.token_us = 200;
    options.instances = 1;
    options.data_centres = 1;
    fleet_fixture fleet(options);
    auto pid = fleet->instances()[0].child->pid();
    // The share must first accumulate enough tokens to admit eight long answers.
    (void)fleet->wait_until([] { return false; }, 2000);
    std::vector<std::unique_ptr<raw_caller>> callers;
    std::string body = R"({"model":"scheme-7b","prompt":"p","max_tokens":50000,"stream":true})";
    auto before = standin::read_process_usage(pid).resident_bytes;
    for (int i = 0; i < 8; ++i) {
        callers.push_back(std::make_unique<raw_caller>(fleet->instances()[0].callers));
        callers.back()->send_text(
            request_head(fleet->key("returns"),
                         "Content-Length: " + std::to_string(body.size()) + "\r\n") +
            body);
    }
    cr_assert(
        fleet->wait_until([&] { return sum_over_engines(*fleet, "/load", "running") == 8; }, 5000));
    (void)fleet->wait_until([] { return false; }, 8000);
    auto growth = standin::read_process_usage(pid).resident_bytes - before;
    // No caller reads. The limit allows eight full buffers of 256 KiB, the pieces in transit
    // beyond them, and the allocator's overhead.
    cr_assert_lt(growth, 16 * 1024 * 1024, "grew by %ld bytes", static_cast<long>(growth));
}

Test(hard_callers, engine_that_never_answers_is_given_up) {
    fleet_fixture fleet;
    for (auto& it : fleet->engines())
        fleet->control(it.direct, "/control", R"({"fault":"silent"})");
    auto answer = fleet->fetch(fleet->instances()[0].callers,
                               fleet.completion_request("returns", "prompt", 2, false));
    cr_assert(answer.has_value());
    cr_assert_geq(answer->status, 500);
    cr_assert_neq(error_code(*answer), "");
    cr_assert_eq(transport::find_field(answer->fields, "x-azureyoke-run").value(), "unknown");
}
