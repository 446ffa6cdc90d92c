#include "azureyoke/src/transport/backend_pool.h"

#include <algorithm>

#include "azureyoke/src/transport/answer_completion.h"

namespace azureyoke::transport {

namespace internal {
namespace {

/// Interval at which idle connections are checked for expiry.
constexpr duration sweep_period = std::chrono::seconds(1);
/// Answers to earlier requests that one call may skip before its connection is closed.
constexpr int max_skipped_answers = 2;
/// Total body bytes of the answers that one call may skip; a body without end would otherwise be
/// skipped forever.
constexpr std::size_t max_skipped_bytes = 256 * 1024;
/// Subtracted from the idle timeout that a server announces, so that a connection is not reused
/// just as the server closes it.
constexpr duration keep_alive_margin = std::chrono::milliseconds(500);

/// Bodies up to this size are sent in one piece with their head, at the cost of
/// a copy.
constexpr std::size_t max_joined_body_bytes = 16 * 1024;

} // namespace
} // namespace internal

/// One connection to a backend server, either idle or carrying one call.
class backend_connection : public std::enable_shared_from_this<backend_connection>,
                           private tcp_stream_sink,
                           private http_reader_sink {
public:
    backend_connection(backend_pool& pool, const address& to)
        : pool_(pool.self_), loop_(pool.loop_), to_(to), idle_limit_(pool.limits_.max_idle_time),
          reader_(http_reader_kind::answers, pool.limits_.max_head_bytes, *this),
          stream_(pool.loop_, to, *this) {}

    /// \brief Sends a request.
    /// \returns the call's number on this connection, which identifies it in later operations.
    int start(const http_request& request, std::string_view body, const answer_match& match,
              std::shared_ptr<backend_answer_sink> sink, duration connect_timeout) {
        match_ = match;
        sink_ = std::move(sink);
        skipped_answers_ = 0;
        skipped_bytes_ = 0;
        interim_answers_ = 0;
        verdict_.reset();
        completion_ = {};
        if (request.method == "HEAD")
            reader_.expect_no_body();
        if (!stream_.connected())
            connect_timer_ = loop_.after(connect_timeout, [this] {
                fail(errc::timed_out, "no connection to " + to_string(to_) + " in time");
            });
        last_call_number_ += 1;
        bool joined = body.size() <= internal::max_joined_body_bytes;
        auto out = render_head(request, body.size(), joined ? body.size() : 0);
        if (joined)
            out += std::exchange(body, {});
        auto receiver = sink_;
        stream_.write(out);
        stream_.write(body);
        if (stream_.unwritten() == 0)
            receiver->on_request_written();
        return last_call_number_;
    }

    bool is_current_call(int call) const {
        return !closed_ && sink_ != nullptr && call == last_call_number_;
    }

    void cancel(int call) {
        if (is_current_call(call))
            close_without_report();
    }

    void retire(int call) {
        if (call == last_call_number_)
            close();
    }

    /// Cancels the current call without notifying its sink.
    void close_without_report() {
        auto guard = shared_from_this();
        auto sink = std::exchange(sink_, nullptr);
        abandon();
    }

    void pause(int call, bool paused) {
        if (is_current_call(call))
            stream_.pause(paused);
    }

    const address& to() const { return to_; }

    bool within_idle_limit(instant now) const { return now - idle_since_ < idle_limit_; }

    bool has_failed(const std::string& id) const { return failed_calls_.contains(id); }

    bool may_carry(const answer_match& match) const {
        return match.by == answer_match::rule::order ||
               (match.by == answer_match::rule::id && !has_failed(match.id));
    }

    void close() {
        if (closed_)
            return;
        closed_ = true;
        connect_timer_.reset();
        stream_.pause(true);
        if (*pool_ != nullptr)
            (*pool_)->remove(*this);
        loop_.defer([guard = shared_from_this()] {});
    }

private:
    /// Closes the connection during a call. A server may take an orderly close for a caller who
    /// still reads the answer; a reset is what tells it that nobody does.
    void abandon() {
        if (!closed_)
            stream_.reset_on_close();
        close();
    }

    void on_connected() override { connect_timer_.reset(); }

    void on_drained() override {
        if (auto sink = sink_)
            sink->on_request_written();
    }

    void on_bytes(std::string_view bytes) override {
        auto guard = shared_from_this();
        while (!bytes.empty() && !closed_) {
            if (sink_ == nullptr) {
                close(); // bytes on an idle connection belong to no request
                return;
            }
            bytes.remove_prefix(reader_.feed(bytes));
            if (closed_)
                return;
            if (!reader_.failure().empty()) {
                fail(errc::connection_lost, "the answer is not HTTP: " + reader_.failure());
                return;
            }
            if (answer_complete_)
                finish(!bytes.empty());
        }
    }

    void on_end(bool reset) override {
        auto guard = shared_from_this();
        if (closed_)
            return;
        if (sink_ == nullptr) {
            close();
            return;
        }
        if (!reset) {
            // If the server had not read all that it acknowledged, its end would be a reset.
            if (stream_.output_acknowledged())
                completion_.on_request_received();
            reader_.feed_end();
            completion_.on_connection_end(reset);
            if (closed_)
                return;
            if (answer_complete_ && completion_.result() == answer_completion::outcome::whole) {
                finish(true);
                return;
            }
        }
        fail(stream_.may_have_sent_bytes() ? errc::connection_lost : errc::connect_failed,
             stream_.may_have_sent_bytes() ? "connection lost before the answer was whole"
                                           : "no connection to " + to_string(to_),
             true);
    }

    void on_head(http_head head) override {
        if (sink_ == nullptr || closed_)
            return;
        completion_.on_head(head.status, head.framing);
        if (completion_.result() == answer_completion::outcome::invalid_status) {
            fail(errc::invalid_answer,
                 "the answer has the invalid status " + std::to_string(head.status));
            return;
        }
        if (head.status < 200) {
            verdict_ = answer_verdict::skip;
            if (++interim_answers_ > answer_completion::max_interim_answers)
                fail(errc::connection_lost, "interim answers without end");
            return;
        }
        reusable_ = head.keep_alive && head.framing != http_framing::until_close;
        if (auto limit = announced_idle_timeout(head.fields))
            idle_limit_ = std::min(idle_limit_, *limit - internal::keep_alive_margin);
        success_ = head.status < 300;
        auto sink = sink_;
        verdict_ = sink->on_head(head);
        if (verdict_ == answer_verdict::skip && ++skipped_answers_ > internal::max_skipped_answers)
            verdict_ = answer_verdict::reject;
        if (verdict_ == answer_verdict::reject)
            fail(errc::connection_lost, "the answer belongs to another request");
    }

    void on_body(std::string_view piece) override {
        if (sink_ == nullptr || closed_)
            return;
        if (verdict_ == answer_verdict::skip) {
            skipped_bytes_ += piece.size();
            if (skipped_bytes_ > internal::max_skipped_bytes)
                fail(errc::connection_lost, "an answer to another request without end");
            return;
        }
        if (verdict_ != answer_verdict::accept)
            return;
        auto sink = sink_;
        sink->on_piece(piece);
    }

    void on_complete() override {
        if (verdict_ == answer_verdict::skip) {
            verdict_.reset(); // the next answer may belong to this request
            completion_ = {};
            return;
        }
        completion_.on_framing_end();
        answer_complete_ = true;
    }

    void finish(bool more_bytes) {
        answer_complete_ = false;
        auto sink = std::exchange(sink_, nullptr);
        // A server that answers before it has read the whole request may never read the rest,
        // so such a connection is not reused.
        bool request_sent = stream_.unwritten() == 0 && !stream_.write_failed();
        if (!success_ && match_.by == answer_match::rule::id)
            failed_calls_.insert(match_.id);
        bool may_carry_more = match_.by != answer_match::rule::connection && !failed_calls_.full();
        if (*pool_ != nullptr && reusable_ && may_carry_more && request_sent && !more_bytes) {
            idle_since_ = loop_.now();
            (*pool_)->add_idle(shared_from_this());
        } else {
            close();
        }
        sink->on_end();
    }

    void fail(errc code, const std::string& message, bool ended_by_peer = false) {
        if (closed_)
            return;
        auto sink = std::exchange(sink_, nullptr);
        bool any_sent = stream_.may_have_sent_bytes() || last_call_number_ > 1;
        abandon();
        if (sink != nullptr)
            sink->on_failure({code, message, any_sent, ended_by_peer});
    }

    std::shared_ptr<backend_pool*> pool_;
    event_loop& loop_;
    address to_;
    duration idle_limit_;
    http_reader reader_;
    tcp_stream stream_;
    std::shared_ptr<backend_answer_sink> sink_;
    answer_match match_; ///< Of the current or last call.
    failed_calls failed_calls_;
    std::optional<answer_verdict> verdict_;
    std::unique_ptr<timer> connect_timer_;
    instant idle_since_;
    int skipped_answers_ = 0; ///< Answers to earlier requests skipped by the current call.
    std::size_t skipped_bytes_ = 0;
    int interim_answers_ = 0;
    int last_call_number_ = 0;
    bool reusable_ = false;
    bool success_ = false; ///< The current answer has a status 2xx.
    bool answer_complete_ = false;
    answer_completion completion_; ///< Of the current answer.
    bool closed_ = false;
};

backend_call::backend_call(std::shared_ptr<backend_connection> connection, int number)
    : connection_(std::move(connection)), number_(number) {}

backend_call::~backend_call() {
    connection_->cancel(number_);
}

void backend_call::pause(bool paused) {
    connection_->pause(number_, paused);
}

void backend_call::retire_connection() {
    connection_->retire(number_);
}

backend_pool::backend_pool(event_loop& loop, const backend_pool_limits& limits)
    : loop_(loop), limits_(limits), self_(std::make_shared<backend_pool*>(this)) {
    sweep_timer_ = loop_.every(internal::sweep_period, [this] { close_expired(); });
}

backend_pool::~backend_pool() {
    for (auto* it : std::exchange(busy_, {}))
        it->close_without_report();
    *self_ = nullptr;
    for (auto& [at, list] : idle_) {
        for (auto& it : list)
            it->close();
    }
}

std::shared_ptr<backend_connection> backend_pool::find_idle(const address& to,
                                                            const answer_match& match) const {
    auto found = idle_.find(to);
    if (found == idle_.end())
        return nullptr;
    const auto& list = found->second;
    auto it = std::find_if(list.rbegin(), list.rend(), [&](const auto& connection) {
        return connection->within_idle_limit(loop_.now()) && connection->may_carry(match);
    });
    return it == list.rend() ? nullptr : *it;
}

bool backend_pool::has_failed(const address& to, const std::string& id) const {
    auto found = idle_.find(to);
    return found != idle_.end() && std::any_of(found->second.begin(), found->second.end(),
                                               [&](const auto& it) { return it->has_failed(id); });
}

std::unique_ptr<backend_call> backend_pool::send(const address& to, const http_request& request,
                                                 const answer_match& match,
                                                 std::shared_ptr<backend_answer_sink> sink) {
    return send(to, request, request.body, match, std::move(sink));
}

std::unique_ptr<backend_call> backend_pool::send(const address& to, const http_request& head,
                                                 std::string_view body, const answer_match& match,
                                                 std::shared_ptr<backend_answer_sink> sink) {
    auto connection = find_idle(to, match);
    if (connection != nullptr)
        remove_idle(*connection);
    else
        connection = std::make_shared<backend_connection>(*this, to);
    busy_.insert(connection.get());
    int number = connection->start(head, body, match, std::move(sink), limits_.connect_timeout);
    return std::make_unique<backend_call>(std::move(connection), number);
}

void backend_pool::add_idle(const std::shared_ptr<backend_connection>& connection) {
    busy_.erase(connection.get());
    auto& list = idle_[connection->to()];
    bool has_room = list.size() < limits_.max_idle_connections &&
                    busy_.size() + idle_connections_ < limits_.max_kept_connections;
    if (!has_room) {
        connection->close();
        return;
    }
    list.push_back(connection);
    ++idle_connections_;
}

void backend_pool::remove_idle(const backend_connection& connection) {
    auto found = idle_.find(connection.to());
    if (found == idle_.end())
        return;
    idle_connections_ -=
        std::erase_if(found->second, [&](const auto& it) { return it.get() == &connection; });
    if (found->second.empty())
        idle_.erase(found);
}

void backend_pool::remove(backend_connection& connection) {
    busy_.erase(&connection);
    remove_idle(connection);
}

void backend_pool::close_expired() {
    auto now = loop_.now();
    std::vector<std::shared_ptr<backend_connection>> expired;
    for (const auto& [at, list] : idle_) {
        for (const auto& it : list) {
            if (!it->within_idle_limit(now))
                expired.push_back(it);
        }
    }
    for (auto& it : expired)
        it->close();
}

} // namespace azureyoke::transport
