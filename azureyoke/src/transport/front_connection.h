#pragma once

#include <memory>
#include <string>

#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::transport {

/// \brief One connection of a caller to a `front_server`. Not thread safe.
class front_connection : public std::enable_shared_from_this<front_connection>,
                         private tcp_stream_sink,
                         private http_reader_sink {
public:
    front_connection(front_server& server, int fd);
    ~front_connection() override;
    front_connection(const front_connection&) = delete;
    front_connection& operator=(const front_connection&) = delete;
    front_connection(front_connection&&) = delete;
    front_connection& operator=(front_connection&&) = delete;

    void write(std::string_view bytes) { stream_.write(bytes); }

    std::size_t unwritten() const { return stream_.unwritten(); }

    bool closes_after_answer() const;

    void reset_at_end() const { stream_.reset_at_end(); }

    void close_after_answer() { keep_alive_ = false; }

    /// \brief The answer has been handed over; the next request may be read.
    void answer_ended();
    void close();
    /// \brief Ends the connection when a limit of time has passed.
    void check_time(instant now);

    bool busy() const {
        return exchange_ != nullptr || !reader_.at_boundary() || stream_.unwritten() > 0;
    }

private:
    void on_bytes(std::string_view bytes) override;
    void on_end(bool reset) override;
    void on_drained() override;
    void on_head(http_head head) override;
    void on_body(std::string_view piece) override;
    void on_complete() override;
    void consume(std::string_view bytes);
    front_refusal why_unreadable() const;
    void refuse(front_refusal why);
    void finish_closing();

    front_server& server_;
    tcp_stream stream_;
    http_reader reader_;
    http_head head_;
    std::string body_;
    std::string waiting_; ///< Bytes that came while a request was being answered.
    std::shared_ptr<front_exchange> exchange_;
    instant since_; ///< Start of the present wait: for a request, its head or its body.
    bool keep_alive_ = true;
    bool closing_ = false; ///< What was written still has to leave.
    bool closed_ = false;
};

} // namespace azureyoke::transport
