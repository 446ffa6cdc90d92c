#include "azureyoke/src/coordination/event_relay.h"

#include <charconv>
#include <utility>

namespace azureyoke::coordination {

namespace internal {
namespace {

constexpr std::string_view id_mark = "id:";

std::string_view id_of(std::string_view event) {
    std::size_t at = 0;
    while (at < event.size()) {
        auto end = event.find('\n', at);
        auto line = event.substr(at, end == std::string_view::npos ? end : end - at);
        if (line.starts_with(id_mark)) {
            line.remove_prefix(id_mark.size());
            while (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            while (!line.empty() && (line.back() == '\r' || line.back() == ' '))
                line.remove_suffix(1);
            return line;
        }
        if (end == std::string_view::npos)
            break;
        at = end + 1;
    }
    return {};
}

/// \returns the length of the first event with its blank line; 0 when it is not whole.
std::size_t whole_event(std::string_view text) {
    auto plain = text.find("\n\n");
    auto with_return = text.find("\r\n\r\n");
    if (plain == std::string_view::npos && with_return == std::string_view::npos)
        return 0;
    return plain < with_return ? plain + 2 : with_return + 4;
}

} // namespace
} // namespace internal

std::string event_relay::feed(std::string_view bytes) {
    partial_.append(bytes);
    std::string out;
    std::string_view rest = partial_;
    while (auto n = internal::whole_event(rest)) {
        auto event = rest.substr(0, n);
        rest.remove_prefix(n);
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
    partial_.erase(0, partial_.size() - rest.size());
    return out;
}

std::string event_relay::finish() {
    return std::exchange(partial_, {});
}

} // namespace azureyoke::coordination
