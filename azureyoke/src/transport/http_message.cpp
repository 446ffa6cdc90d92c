#include "azureyoke/src/transport/http_message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace azureyoke::transport {

bool equal_names(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::optional<std::string> find_field(const http_fields& fields, std::string_view name) {
    for (const auto& it : fields) {
        if (equal_names(it.name, name))
            return it.value;
    }
    return std::nullopt;
}

std::size_t count_fields(const http_fields& fields, std::string_view name) {
    return static_cast<std::size_t>(std::count_if(
        fields.begin(), fields.end(), [&](const auto& it) { return equal_names(it.name, name); }));
}

std::size_t memory_of(const http_fields& fields) {
    std::size_t bytes = fields.capacity() * sizeof(http_field);
    for (const auto& it : fields)
        bytes += it.name.capacity() + it.value.capacity();
    return bytes;
}

std::optional<std::chrono::seconds> announced_idle_timeout(const http_fields& fields) {
    auto text = find_field(fields, "Keep-Alive");
    auto pos = text ? text->find("timeout=") : std::string::npos;
    if (pos == std::string::npos)
        return std::nullopt;
    int seconds = 0;
    const char* begin = text->data() + pos + 8;
    if (std::from_chars(begin, text->data() + text->size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

void append_fields(std::string& out, const http_fields& fields) {
    for (const auto& it : fields) {
        out += it.name;
        out += ": ";
        out += it.value;
        out += "\r\n";
    }
}

std::string render_head(const http_request& request, std::size_t body_bytes, std::size_t room) {
    constexpr std::size_t usual_head_bytes = 512;
    std::string out;
    out.reserve(usual_head_bytes + room);
    out += request.method;
    out += " ";
    out += request.target;
    out += " HTTP/1.1\r\n";
    append_fields(out, request.fields);
    bool has_body = body_bytes > 0 || request.method == "POST" || request.method == "PUT" ||
                    request.method == "PATCH";
    if (has_body)
        out += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    out += "\r\n";
    return out;
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

} // namespace azureyoke::transport
