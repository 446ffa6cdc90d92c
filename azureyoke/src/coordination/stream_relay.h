#pragma once

#include <cstdint>
#include <string>

namespace azureyoke::coordination {

/// \brief How to treat one event of an engine's stream.
enum class relay_verdict {
    pass,     ///< The next token: forward it.
    repeat,   ///< Already forwarded: drop it.
    gap,      ///< Tokens before the event are missing: the attempt failed.
    foreign,  ///< From another request or other weights: the attempt failed.
    after_end ///< The event follows the last token: the attempt failed.
};

/// \brief Keeps one caller's stream complete and in order over several attempts.
///
/// Positions count the tokens of the answer from 0. The first forwarded token fixes the
/// weights; events of a later attempt with other weights are rejected, since their text would not
/// continue this answer. Not thread safe.
class stream_relay {
public:
    explicit stream_relay(std::string request_id);

    relay_verdict on_event(const std::string& request_id, const std::string& weights,
                           std::int64_t position, bool last);

    /// \returns the position at which the next attempt must start.
    std::int64_t next_position() const { return next_; }

    /// \returns whether a token was forwarded.
    bool started() const { return next_ > 0; }

    /// \returns whether the last token was forwarded.
    bool finished() const { return finished_; }

    const std::string& weights() const { return weights_; }

private:
    std::string request_id_;
    std::string weights_;
    std::int64_t next_ = 0;
    bool finished_ = false;
};

} // namespace azureyoke::coordination
