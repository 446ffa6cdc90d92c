#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/protocol/engine_api.h"
#include "azureyoke/src/protocol/sse_decoder.h"

namespace azureyoke::standin {

/// \brief Outcome of a stream from the caller's side.
enum class stream_outcome { whole, explicit_error, broken };

/// \brief Checks a received stream of the stand-in engines token by token.
///
/// A stream is whole when it contains every token once, in order and computed with the same
/// weights, followed by the end marker. A stream may end early only with an error event, and no
/// token before the error event may be missing.
class stream_checker {
public:
    /// \brief `weights` lists the versions of the weights that may have computed the stream.
    stream_checker(std::string prompt, std::int64_t tokens,
                   std::vector<std::string> weights = {"w1"});

    /// \returns the number of tokens that `piece` completed.
    std::int64_t feed(std::string_view piece);

    /// \returns the outcome of the stream. \pre All received data has been fed.
    stream_outcome outcome() const;

    /// \returns the code of the error event, or an empty string.
    const std::string& error_code() const { return error_code_; }

    /// \returns the first event that is wrong at its position, or an empty string.
    const std::string& first_unexpected_event() const { return first_unexpected_event_; }

    std::int64_t tokens_received() const { return next_position_; }

    const protocol::token_usage& usage() const { return usage_; }

private:
    void on_event(const std::string& data);
    bool is_next_token(const std::string& text);

    std::string prompt_;
    std::int64_t expected_tokens_;
    std::vector<std::string> possible_weights_; ///< Weights that match all tokens so far.
    protocol::sse_decoder decoder_{1 << 20};
    std::int64_t next_position_ = 0;
    bool end_marker_received_ = false;
    std::string error_code_;
    std::string first_unexpected_event_;
    protocol::token_usage usage_;
};

} // namespace azureyoke::standin
