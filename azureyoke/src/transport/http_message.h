#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureyoke::transport {

struct http_field {
    std::string name;
    std::string value;

    friend bool operator==(const http_field&, const http_field&) = default;
};

/// \brief Header fields in the order received; names are case-insensitive.
using http_fields = std::vector<http_field>;

/// \returns the value of the first field called `name`.
std::optional<std::string> find_field(const http_fields& fields, std::string_view name);
/// \returns the number of fields called `name`.
std::size_t count_fields(const http_fields& fields, std::string_view name);
/// \returns the memory that the fields take, in bytes.
std::size_t memory_of(const http_fields& fields);
/// \returns the `timeout` parameter of the Keep-Alive field, if present and valid.
std::optional<std::chrono::seconds> announced_idle_timeout(const http_fields& fields);
/// \brief Compares two field names without regard to case.
bool equal_names(std::string_view a, std::string_view b);

/// \brief Appends the fields to `out` as header lines.
void append_fields(std::string& out, const http_fields& fields);

struct http_request {
    std::string method;
    std::string target; ///< Path and query, as received.
    http_fields fields;
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

/// \returns the head of a request with a body of `body_bytes`, in a text that
/// has room for `room` bytes more. `Content-Length` is added where a body is
/// due; the request's own body is ignored.
std::string render_head(const http_request& request, std::size_t body_bytes, std::size_t room);

struct http_response {
    int status = 0;
    http_fields fields;
    std::string body;

    friend bool operator==(const http_response&, const http_response&) = default;
};

/// \returns the path of a request target, without its query.
std::string_view path_of(std::string_view target);

} // namespace azureyoke::transport
