#pragma once

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

/// \brief Header fields in order of arrival; names compare without regard to case.
using http_fields = std::vector<http_field>;

/// \returns the first value of `name`.
std::optional<std::string> find_field(const http_fields& fields, std::string_view name);
/// \returns the number of fields called `name`.
std::size_t count_fields(const http_fields& fields, std::string_view name);
bool equal_names(std::string_view a, std::string_view b);

/// \brief Appends the fields as lines of a message's head.
void append_fields(std::string& out, const http_fields& fields);

struct http_request {
    std::string method;
    std::string target; ///< Path and query, as received.
    http_fields fields;
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

struct http_response {
    int status = 0;
    http_fields fields;
    std::string body;

    friend bool operator==(const http_response&, const http_response&) = default;
};

/// \brief The path of a target, without its query.
std::string_view path_of(std::string_view target);

} // namespace azureyoke::transport
