#include "azureyoke/src/protocol/sse_decoder.h"

namespace azureyoke::protocol {

sse_decoder::sse_decoder(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

std::vector<std::string> sse_decoder::feed(std::string_view chunk) {
    std::vector<std::string> events;
    while (!chunk.empty() && !failed_) {
        auto end = chunk.find('\n');
        line_.append(chunk.substr(0, end));
        if (line_.size() + data_.size() > max_event_bytes_) {
            failed_ = true;
            break;
        }
        if (end == std::string_view::npos)
            break;
        chunk.remove_prefix(end + 1);
        end_line(events);
    }
    return events;
}

void sse_decoder::end_line(std::vector<std::string>& events) {
    if (!line_.empty() && line_.back() == '\r')
        line_.pop_back();
    if (line_.empty()) {
        if (!data_.empty())
            events.push_back(std::move(data_));
        data_.clear();
        return;
    }
    constexpr std::string_view data_field = "data:";
    if (line_.starts_with(data_field)) {
        std::string_view value = std::string_view(line_).substr(data_field.size());
        if (value.starts_with(' '))
            value.remove_prefix(1);
        if (!data_.empty())
            data_.push_back('\n');
        data_.append(value);
    }
    line_.clear();
}

} // namespace azureyoke::protocol
