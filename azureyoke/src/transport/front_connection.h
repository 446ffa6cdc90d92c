#pragma once

#include <memory>
#include <string>

#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::transport {

/// \brief One connection of a caller to a `front_server`. Not thread safe.
class front_connection : public std::enable_shared_from_this<front_connection>,
                         private tcp_stream_sink,
                         private http_reader_sink,
                         private incomplete_request {
public:
    front_connection(front_server& server, int fd);
    ~front_connection() override;
    front_connection(const front_connection&) = delete;
    front_connection& operator=(const front_connection&) = delete;
    front_connection(front_connection&&) = delete;
    front_connection& operator=(front_connection&&) = delete;

    void write(std::string_view bytes) { stream_.write(bytes); }

    std::size_t unwritten() const { return stream_.unwritten(); }

    std::size_t held_output() const { return stream_.held_output(); }

    bool closes_after_answer() const;

    void reset_on_close() const { stream_.reset_on_close(); }

    void close_after_answer() { keep_alive_ = false; }

    /// \brief Counts the copy of the open request's body that a server gets, unless it is counted.
    /// \returns whether there is memory for it, after incomplete requests have ended if need be.
    bool hold_copy();
    /// \brief The copy is not held any more.
    void release_copy();

    /// \brief Ends the current exchange after its answer has been written, so that the next
    /// request can be read.
    void answer_ended();
    void close();
    /// \brief Tells the handler of an open request that its answer must end now.
    void end_answer();
    /// \brief Closes the connection, or answers 408, when a timeout has expired.
    void enforce_timeouts(instant now);

    /// \returns the start of the current wait for a request or a part of it, or the time of the
    /// last answer's end if the connection is closing.
    instant wait_started() const { return closing_ ? closing_since_ : wait_started_; }

    /// \returns whether the last answer has ended, and the connection ends soon.
    bool closing() const { return closing_; }

    /// \returns whether a request is being read or answered, or output is unsent. Input that comes
    /// after the last answer is discarded, and does not count.
    bool busy() const {
        if (closing_)
            return stream_.unwritten() > 0;
        return exchange_ != nullptr || !reader_.at_boundary() || !pending_input_.empty() ||
               stream_.unwritten() > 0;
    }

private:
    void on_bytes(std::string_view bytes) override;
    void on_end(bool reset) override;
    void on_drained() override;
    void on_head(http_head head) override;
    void on_body(std::string_view piece) override;
    void on_complete() override;

    std::size_t held_bytes() const override { return held_.held(); }

    instant began() const override { return request_began_; }

    void end_for_memory() override;
    void consume(std::string_view bytes);
    /// Records that the connection holds `bytes` of input. \returns whether it
    /// may, after other incomplete requests have ended if need be.
    bool may_hold(std::size_t bytes);
    /// \returns whether the body may grow by `bytes`. Otherwise the request was
    /// refused.
    bool reserve_body(std::size_t bytes);
    /// \returns whether the framing of the chunks is in proportion to the body.
    bool framing_in_proportion() const;
    void keep_pending(std::string_view bytes);
    /// Frees all input.
    void release_input();
    front_refusal refusal_for_parse_failure() const;
    void refuse(front_refusal reason);
    void start_graceful_close();
    /// Takes note of input that is not read any more.
    void discard(std::size_t bytes);

    front_server& server_;
    tcp_stream stream_;
    http_reader reader_;
    byte_account held_;          ///< The head, the body, its copy and the pending input.
    std::size_t copy_bytes_ = 0; ///< Of these, the copy of the body for a server.
    http_head head_;
    std::size_t head_bytes_ = 0;       ///< Memory of the head of the current request.
    std::uint64_t received_bytes_ = 0; ///< Of the current request's body, with its framing.
    std::uint64_t body_bytes_ = 0;     ///< Of these, the body.
    instant request_began_;
    std::string body_;
    std::string pending_input_; ///< Input that was not parsed yet, in the order it came.
    std::shared_ptr<front_exchange> exchange_;
    instant wait_started_; ///< Start of the current wait for a request, its head or its body.
    bool keep_alive_ = true;
    instant closing_since_;
    std::uint64_t discarded_bytes_ = 0; ///< Since then.
    bool closing_ = false;              ///< Output is being flushed; further input is ignored.
    bool closed_ = false;
};

} // namespace azureyoke::transport
