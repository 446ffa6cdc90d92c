#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/protocol/engine_api.h"
#include "azureyoke/src/protocol/sse_decoder.h"

namespace azureyoke::standin {

/// \brief How a stream ended, as the caller saw it.
enum class stream_end { whole, explicit_error, broken };

/// \brief Checks a stream of the stand-in engines token by token, as its caller gets it.
///
/// A stream is whole when it holds every token once, in order, all of the same weights, and its
/// end mark. It may end early only by an error event, with no token missing before it.
class stream_checker {
public:
    /// \brief `weights` are the versions of which the stream may be.
    stream_checker(std::string prompt, std::int64_t tokens,
                   std::vector<std::string> weights = {"w1"});

    /// \returns how many tokens `piece` has completed.
    std::int64_t feed(std::string_view piece);

    /// \brief The verdict, once nothing more comes.
    stream_end end() const;

    /// \brief Code of the error event, or an empty string.
    const std::string& error_code() const { return error_code_; }

    /// \brief The first event that does not belong where it stands, or an empty string.
    const std::string& first_unexpected_event() const { return first_unexpected_event_; }

    std::int64_t tokens_received() const { return next_position_; }

    const protocol::token_usage& usage() const { return usage_; }

private:
    void on_event(const std::string& data);
    bool is_next_token(const std::string& text);

    std::string prompt_;
    std::int64_t expected_tokens_;
    std::vector<std::string> possible_weights_; ///< Those that all tokens so far agree with.
    protocol::sse_decoder decoder_{1 << 20};
    std::int64_t next_position_ = 0;
    bool end_marker_received_ = false;
    std::string error_code_;
    std::string first_unexpected_event_;
    protocol::token_usage usage_;
};

} // namespace azureyoke::standin
