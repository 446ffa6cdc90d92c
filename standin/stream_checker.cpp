#include "standin/stream_checker.h"

#include <nlohmann/json.hpp>

#include "standin/completion_call.h"
#include "standin/engine.h"

namespace azureyoke::standin {

using nlohmann::json;

stream_checker::stream_checker(std::string prompt, std::int64_t tokens,
                               std::vector<std::string> weights)
    : prompt_(std::move(prompt)), expected_tokens_(tokens), possible_weights_(std::move(weights)) {}

std::int64_t stream_checker::feed(std::string_view piece) {
    auto position_before = next_position_;
    for (const auto& it : decoder_.feed(piece))
        on_event(it);
    return next_position_ - position_before;
}

bool stream_checker::is_next_token(const std::string& text) {
    std::erase_if(possible_weights_, [&](const auto& it) {
        return text != token_text(model_name, it, prompt_, next_position_);
    });
    return !possible_weights_.empty();
}

void stream_checker::on_event(const std::string& data) {
    bool ended = end_marker_received_ || !error_code_.empty();
    if (data == protocol::stream_end && !ended) {
        end_marker_received_ = true;
        return;
    }
    auto event = json::parse(data, nullptr, false);
    if (event.is_object() && event.contains("error") && !ended) {
        error_code_ = event["error"].value("code", "");
        return;
    }
    bool is_expected = event.is_object() && !ended && event["position"] == next_position_ &&
                       is_next_token(event["choices"][0].value("text", ""));
    if (!is_expected) {
        if (first_unexpected_event_.empty())
            first_unexpected_event_ = data;
        return;
    }
    ++next_position_;
    if (!event.contains("usage"))
        return;
    const auto& event_usage = event["usage"];
    usage_ = {event_usage.value("prompt_tokens", INT64_C(0)),
              event_usage["prompt_tokens_details"].value("cached_tokens", INT64_C(0)),
              event_usage.value("completion_tokens", INT64_C(0))};
}

stream_outcome stream_checker::outcome() const {
    if (!first_unexpected_event_.empty() || decoder_.partial())
        return stream_outcome::broken;
    if (!error_code_.empty())
        return stream_outcome::explicit_error;
    return end_marker_received_ && next_position_ == expected_tokens_ ? stream_outcome::whole
                                                                      : stream_outcome::broken;
}

} // namespace azureyoke::standin
