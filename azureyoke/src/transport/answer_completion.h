#pragma once

#include <cstdint>

#include "azureyoke/src/transport/http_reader.h"

namespace azureyoke::transport {

/// \brief Decides whether one answer of a server is whole. Not thread safe.
///
/// Answers the load of servers that answer a long upload at once, send a part
/// of the body and break the connection while the upload is still being
/// written: that part must never look like a complete answer. An answer is
/// whole when its own framing has ended. One without length or chunks ends with
/// its connection, which counts only if the connection ended in good order and
/// the request had reached the server, or was refused by a status that is no
/// success. The events may come in any order and number; the first decision
/// stands.
class answer_completion {
public:
    enum class outcome {
        open,
        whole,
        cut,           ///< The connection ended or the time was over before the answer was
                       ///< whole.
        invalid_status ///< The head has a status that is no answer.
    };

    /// \brief The server has received the whole request.
    void on_request_received() { request_received_ = true; }

    /// \brief The head of an answer came. Interim answers (100, 102, 103) decide
    /// nothing.
    void on_head(int status, http_framing framing);
    /// \brief The body has ended by its own framing.
    void on_framing_end();
    /// \brief The connection ended, in good order or by a reset.
    void on_connection_end(bool reset);

    /// \brief The time for the answer is over.
    void on_timeout() { decide(outcome::cut); }

    outcome result() const { return outcome_; }

    /// Interim answers accepted before the final answer. Servers send one or two; a server that
    /// sends them without end would otherwise occupy the call until its time is over.
    static constexpr int max_interim_answers = 8;

    /// \returns whether a status is that of an interim answer.
    static bool is_interim(int status) { return status == 100 || status == 102 || status == 103; }

    /// \returns whether a status is that of a final answer.
    static bool is_final(int status) { return status >= 200 && status <= 599; }

private:
    void decide(outcome decided);

    bool request_received_ = false;
    int status_ = 0; ///< Of the final answer; 0 before its head.
    http_framing framing_ = http_framing::none;
    outcome outcome_ = outcome::open;
};

} // namespace azureyoke::transport
