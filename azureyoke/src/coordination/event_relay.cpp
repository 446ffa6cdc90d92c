#include "azureyoke/src/coordination/event_relay.h"

#include <charconv>
#include <utility>

namespace azureyoke::coordination {

namespace internal {
namespace {

constexpr std::string_view id_field = "id:";

std::string_view id_of(std::string_view event) {
    std::size_t begin = 0;
    while (begin < event.size()) {
        auto end = event.find('\n', begin);
        auto line = event.substr(begin, end == std::string_view::npos ? end : end - begin);
        if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            while (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            while (!line.empty() && (line.back() == '\r' || line.back() == ' '))
                line.remove_suffix(1);
            return line;
        }
        if (end == std::string_view::npos)
            break;
        begin = end + 1;
    }
    return {};
}

/// \returns the length of the first event with its blank line; 0 when the event is incomplete.
std::size_t first_event_length(std::string_view text) {
    auto lf_end = text.find("\n\n");
    auto crlf_end = text.find("\r\n\r\n");
    if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos)
        return 0;
    return lf_end < crlf_end ? lf_end + 2 : crlf_end + 4;
}

} // namespace
} // namespace internal

std::string event_relay::append(std::string_view bytes) {
    incomplete_.append(bytes);
    std::string out;
    std::string_view remaining = incomplete_;
    while (auto n = internal::first_event_length(remaining)) {
        auto event = remaining.substr(0, n);
        remaining.remove_prefix(n);
        auto id = internal::id_of(event);
        std::int64_t number = 0;
        bool numbered = std::from_chars(id.data(), id.data() + id.size(), number).ec == std::errc();
        if (!id.empty() && numbered) {
            if (number <= last_number_)
                continue;
            last_number_ = number;
            last_id_ = id;
        }
        out.append(event);
    }
    incomplete_.erase(0, incomplete_.size() - remaining.size());
    return out;
}

std::string event_relay::take_incomplete() {
    return std::exchange(incomplete_, {});
}

} // namespace azureyoke::coordination
