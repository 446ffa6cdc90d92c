#include "azureyoke/src/transport/backend_fetch.h"

namespace azureyoke::transport {

namespace internal {
namespace {

/// Buffers one answer and reports it, or the failure, to a callback.
class fetch_sink : public backend_answer_sink, public std::enable_shared_from_this<fetch_sink> {
public:
    fetch_sink(event_loop& loop, std::function<void(result<http_response>)> done)
        : loop_(loop), done_(std::move(done)) {}

    void start(backend_pool& pool, const address& to, const http_request& request,
               duration timeout) {
        timer_ = loop_.after(timeout, [this] {
            finish(tl::unexpected(error{errc::timed_out,
                                        "no complete answer in time, " +
                                            std::to_string(answer_.body.size()) +
                                            " bytes of its body were received",
                                        true}));
        });
        call_ = pool.send(to, request, true, shared_from_this());
    }

    answer_verdict on_head(const http_head& head) override {
        answer_.status = head.status;
        answer_.fields = head.fields;
        return answer_verdict::accept;
    }

    void on_piece(std::string_view piece) override {
        answer_.body.append(piece);
        if (answer_.body.size() > max_fetched_bytes)
            finish(tl::unexpected(
                error{errc::connection_lost, "the answer is larger than the limit", true}));
    }

    void on_end() override {
        if (done_ != nullptr)
            finish(std::move(answer_));
    }

    void on_failure(const error& ec) override { finish(tl::unexpected(ec)); }

private:
    void finish(result<http_response> answer) {
        auto guard = shared_from_this();
        timer_.reset();
        call_.reset();
        if (auto done = std::exchange(done_, nullptr))
            done(std::move(answer));
    }

    event_loop& loop_;
    std::function<void(result<http_response>)> done_;
    http_response answer_;
    std::unique_ptr<backend_call> call_;
    std::unique_ptr<timer> timer_;
};

} // namespace
} // namespace internal

void fetch(event_loop& loop, backend_pool& pool, const address& to, const http_request& request,
           duration timeout, std::function<void(result<http_response>)> done) {
    auto sink = std::make_shared<internal::fetch_sink>(loop, std::move(done));
    sink->start(pool, to, request, timeout);
}

} // namespace azureyoke::transport
