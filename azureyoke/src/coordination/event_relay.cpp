#include "azureyoke/src/coordination/event_relay.h"

#include <algorithm>
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

/// \returns whether the event has no field, only comments.
bool is_comment(std::string_view event) {
    for (std::size_t begin = 0; begin < event.size(); begin = event.find('\n', begin) + 1) {
        if (event[begin] != ':' && event[begin] != '\r' && event[begin] != '\n')
            return false;
    }
    return true;
}

/// \returns the end of the first event that ends after `from`, behind its blank line; 0 if there is
/// none.
std::size_t first_event_end(std::string_view text, std::size_t from) {
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        auto rest = text.substr(at + 1);
        if (rest.starts_with('\n'))
            return at + 2;
        if (rest.starts_with("\r\n") && at > 0 && text[at - 1] == '\r')
            return at + 3;
    }
    return 0;
}

} // namespace
} // namespace internal

std::string event_relay::append(std::string_view bytes) {
    // A blank line may begin up to three bytes before the new ones. Earlier ones were searched.
    auto from = incomplete_.size() - std::min<std::size_t>(incomplete_.size(), 3);
    incomplete_.append(bytes);
    std::string out;
    std::string_view remaining = incomplete_;
    while (auto n = internal::first_event_end(remaining, from)) {
        auto event = remaining.substr(0, n);
        remaining.remove_prefix(n);
        from = 0;
        if (internal::is_comment(event)) {
            comment_bytes_ += event.size();
            out.append(event);
            continue;
        }
        comment_bytes_ = 0;
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
        ++events_;
    }
    incomplete_.erase(0, incomplete_.size() - remaining.size());
    return out;
}

std::string event_relay::take_incomplete() {
    return std::exchange(incomplete_, {});
}

} // namespace azureyoke::coordination
