#include "azureyoke/src/transport/backend_fetch.h"

namespace azureyoke::transport {

namespace internal {
namespace {

/// Buffers one answer and reports it, or the failure, to a callback.
class fetch_sink : public backend_answer_sink,
                   public fetch_call,
                   public std::enable_shared_from_this<fetch_sink> {
public:
    fetch_sink(event_loop& loop, duration head, std::optional<fetch_limits> progress,
               std::size_t max_bytes, std::function<void()> on_head,
               std::function<void(result<http_response>)> done)
        : loop_(loop), head_timeout_(head), progress_(progress), max_bytes_(max_bytes),
          on_head_(std::move(on_head)), done_(std::move(done)) {}

    void start(backend_pool& pool, const address& to, const http_request& request,
               const answer_match& match) {
        timer_ = loop_.after(head_timeout_, [this] { fail_in_time("no complete answer in time"); });
        call_ = pool.send(to, request, match, shared_from_this());
    }

    answer_verdict on_head(const http_head& head) override {
        answer_.status = head.status;
        answer_.fields = head.fields;
        if (progress_) {
            body_began_ = loop_.now();
            timer_ = loop_.every(progress_->stall, [this] { check_progress(); });
        }
        if (on_head_)
            on_head_();
        return answer_verdict::accept;
    }

    void on_piece(std::string_view piece) override {
        answer_.body.append(piece);
        if (answer_.body.size() > max_bytes_)
            finish(
                tl::unexpected(error{errc::oversize, "the answer is larger than the limit", true}));
    }

    void on_end() override {
        if (done_ != nullptr)
            finish(std::move(answer_));
    }

    void on_failure(const error& ec) override { finish(tl::unexpected(ec)); }

    void cancel() override {
        done_ = nullptr;
        timer_.reset();
        call_.reset();
    }

private:
    void check_progress() {
        if (answer_.body.size() - bytes_at_check_ < min_progress_bytes)
            fail_in_time("the answer makes no progress");
        else if (loop_.now() - body_began_ >= progress_->body)
            fail_in_time("the answer takes too long");
        else
            bytes_at_check_ = answer_.body.size();
    }

    void fail_in_time(const std::string& why) {
        finish(tl::unexpected(error{errc::timed_out,
                                    why + ", " + std::to_string(answer_.body.size()) +
                                        " bytes of its body were received",
                                    true}));
    }

    void finish(result<http_response> answer) {
        auto guard = shared_from_this();
        timer_.reset();
        call_.reset();
        if (auto done = std::exchange(done_, nullptr))
            done(std::move(answer));
    }

    event_loop& loop_;
    duration head_timeout_;
    std::optional<fetch_limits> progress_; ///< Absent: the timeout bounds the complete answer.
    std::size_t max_bytes_;
    std::function<void()> on_head_;
    std::function<void(result<http_response>)> done_;
    instant body_began_;
    std::size_t bytes_at_check_ = 0;
    http_response answer_;
    std::unique_ptr<backend_call> call_;
    std::unique_ptr<timer> timer_;
};

} // namespace
} // namespace internal

void fetch(event_loop& loop, backend_pool& pool, const address& to, const http_request& request,
           duration timeout, std::function<void(result<http_response>)> done, std::size_t max_bytes,
           const answer_match& match) {
    auto sink = std::make_shared<internal::fetch_sink>(loop, timeout, std::nullopt, max_bytes,
                                                       nullptr, std::move(done));
    sink->start(pool, to, request, match);
}

std::shared_ptr<fetch_call> fetch(event_loop& loop, backend_pool& pool, const address& to,
                                  const http_request& request, const fetch_limits& limits,
                                  std::function<void()> on_head,
                                  std::function<void(result<http_response>)> done) {
    auto sink = std::make_shared<internal::fetch_sink>(loop, limits.head, limits, max_fetched_bytes,
                                                       std::move(on_head), std::move(done));
    sink->start(pool, to, request, {});
    return sink;
}

} // namespace azureyoke::transport
