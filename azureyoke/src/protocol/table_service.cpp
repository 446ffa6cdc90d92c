#include "azureyoke/src/protocol/table_service.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace azureyoke::protocol {

namespace internal {
namespace {

using nlohmann::json;

error bad_platform_answer_error(const std::string& what) {
    return {errc::bad_answer, "the platform's answer " + what, true};
}

std::optional<std::int64_t> read_etag_version(const transport::http_response& answer) {
    auto tag = transport::find_field(answer.fields, "ETag");
    if (!tag || tag->size() < 3)
        return std::nullopt;
    std::int64_t version = 0;
    auto [end, ec] = std::from_chars(tag->data() + 1, tag->data() + tag->size() - 1, version);
    if (ec != std::errc() || *end != '"')
        return std::nullopt;
    return version;
}

/// Parses a JSON array with `read_one`, which returns false for an element of another shape.
template <class T, class ReadOne>
result<std::vector<T>> read_array(const std::string& body, ReadOne read_one) {
    auto value = json::parse(body, nullptr, false);
    if (value.is_discarded() || !value.is_array())
        return tl::unexpected(bad_platform_answer_error("must be a JSON array"));
    std::vector<T> list;
    for (const auto& it : value) {
        T element;
        if (!read_one(it, element))
            return tl::unexpected(bad_platform_answer_error("has an element of unknown shape"));
        list.push_back(std::move(element));
    }
    return list;
}

bool read_text(const json& value, const char* name, std::string& out) {
    auto it = value.find(name);
    if (it == value.end() || !it->is_string())
        return false;
    out = it->get<std::string>();
    return true;
}

bool read_row(const json& value, table_row& out) {
    if (!value.is_object() || !value.contains("version") || !value["version"].is_number_integer())
        return false;
    out.version = value["version"].get<std::int64_t>();
    return read_text(value, "name", out.name) && read_text(value, "value", out.value);
}

bool read_instance(const json& value, listed_instance& out) {
    if (!value.is_object())
        return false;
    out.leaving = value.value("leaving", false);
    return read_text(value, "name", out.name) && read_text(value, "data_centre", out.data_centre) &&
           read_text(value, "peer_address", out.peer_address);
}

bool read_name(const json& value, std::string& out) {
    if (!value.is_string())
        return false;
    out = value.get<std::string>();
    return true;
}

} // namespace
} // namespace internal

http_platform::http_platform(transport::http_client& client, transport::address at)
    : client_(client), at_(std::move(at)) {}

void http_platform::call(const transport::http_request& request,
                         std::function<void(result<transport::http_response>)> done) {
    client_.fetch(at_, request, [done = std::move(done)](auto answer) {
        if (!answer) {
            done(tl::unexpected(from_transport(answer.error())));
            return;
        }
        if (answer->status == 412) {
            done(tl::unexpected(error{errc::conflict, "the row has another version", false}));
            return;
        }
        if (answer->status == 404) {
            done(tl::unexpected(error{errc::not_found, "the platform has no such entry", false}));
            return;
        }
        if (answer->status >= 300) {
            // Of the remaining statuses, only 503 guarantees that the request had no effect.
            done(tl::unexpected(error{errc::unreachable,
                                      "the platform answered " + std::to_string(answer->status),
                                      answer->status != 503}));
            return;
        }
        done(std::move(*answer));
    });
}

void http_platform::read(const std::string& row, std::function<void(result<table_row>)> done) {
    call({"GET", "/table/" + row, {}, {}}, [row, done = std::move(done)](auto answer) {
        if (!answer) {
            if (answer.error().code == errc::not_found)
                done(table_row{row, 0, {}});
            else
                done(tl::unexpected(answer.error()));
            return;
        }
        auto version = internal::read_etag_version(*answer);
        if (!version)
            done(tl::unexpected(internal::bad_platform_answer_error("has no ETag")));
        else
            done(table_row{row, *version, std::move(answer->body)});
    });
}

void http_platform::list(const std::string& prefix,
                         std::function<void(result<std::vector<table_row>>)> done) {
    call({"GET", "/table?prefix=" + prefix, {}, {}}, [done = std::move(done)](auto answer) {
        if (!answer)
            done(tl::unexpected(answer.error()));
        else
            done(internal::read_array<table_row>(answer->body, internal::read_row));
    });
}

void http_platform::write(const std::string& row, std::int64_t expected_version,
                          const std::string& value,
                          std::function<void(result<std::int64_t>)> done) {
    transport::http_request request{"PUT", "/table/" + row, {}, value};
    if (expected_version == 0)
        request.fields.push_back({"If-None-Match", "*"});
    else
        request.fields.push_back({"If-Match", "\"" + std::to_string(expected_version) + "\""});
    call(request, [done = std::move(done)](auto answer) {
        if (!answer) {
            done(tl::unexpected(answer.error()));
            return;
        }
        auto version = internal::read_etag_version(*answer);
        if (!version)
            done(tl::unexpected(internal::bad_platform_answer_error("has no ETag")));
        else
            done(*version);
    });
}

void http_platform::put(const std::string& name, const std::string& body,
                        std::function<void(result<void>)> done) {
    call({"PUT", "/objects/" + name, {}, body}, [done = std::move(done)](auto answer) {
        if (!answer)
            done(tl::unexpected(answer.error()));
        else
            done({});
    });
}

void http_platform::get(const std::string& name, std::function<void(result<std::string>)> done) {
    call({"GET", "/objects/" + name, {}, {}}, [done = std::move(done)](auto answer) {
        if (!answer)
            done(tl::unexpected(answer.error()));
        else
            done(std::move(answer->body));
    });
}

void http_platform::names(const std::string& prefix,
                          std::function<void(result<std::vector<std::string>>)> done) {
    call({"GET", "/objects?prefix=" + prefix, {}, {}}, [done = std::move(done)](auto answer) {
        if (!answer)
            done(tl::unexpected(answer.error()));
        else
            done(internal::read_array<std::string>(answer->body, internal::read_name));
    });
}

void http_platform::fetch(std::function<void(result<std::vector<listed_instance>>)> done) {
    call({"GET", "/instances", {}, {}}, [done = std::move(done)](auto answer) {
        if (!answer)
            done(tl::unexpected(answer.error()));
        else
            done(internal::read_array<listed_instance>(answer->body, internal::read_instance));
    });
}

} // namespace azureyoke::protocol
