#include "azureyoke/src/transport/http_reader.h"

#include <algorithm>
#include <cctype>
#include <limits>

#include <http_parser.h>

namespace azureyoke::transport {

namespace internal {
namespace {

bool is_token(std::string_view name) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 || marks.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

bool has_control(std::string_view text) {
    return std::any_of(text.begin(), text.end(),
                       [](unsigned char c) { return (c < ' ' && c != '\t') || c == 127; });
}

void trim_end(std::string& text) {
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.pop_back();
}

} // namespace
} // namespace internal

struct http_reader::parser {
    http_parser raw{};
};

struct http_reader::callbacks {
    static http_reader& reader_of(http_parser* raw) {
        return *static_cast<http_reader*>(raw->data);
    }

    static int url(http_parser* raw, const char* at, std::size_t n) {
        reader_of(raw).head_.target.append(at, n);
        return 0;
    }

    static int field(http_parser* raw, const char* at, std::size_t n) {
        auto& it = reader_of(raw);
        if (it.head_complete_)
            return 0; // trailer fields are discarded
        if (it.last_piece_was_value_ || it.head_.fields.empty())
            it.head_.fields.emplace_back();
        it.last_piece_was_value_ = false;
        it.head_.fields.back().name.append(at, n);
        return 0;
    }

    static int value(http_parser* raw, const char* at, std::size_t n) {
        auto& it = reader_of(raw);
        if (it.head_complete_)
            return 0;
        it.last_piece_was_value_ = true;
        it.head_.fields.back().value.append(at, n);
        return 0;
    }

    static int head_done(http_parser* raw) { return reader_of(raw).finish_head(); }

    static int body(http_parser* raw, const char* at, std::size_t n) {
        reader_of(raw).sink_.on_body({at, n});
        return 0;
    }

    static int done(http_parser* raw) {
        reader_of(raw).message_complete_ = true;
        http_parser_pause(raw, 1);
        return 0;
    }

    static const http_parser_settings& settings() {
        static const http_parser_settings configured = [] {
            http_parser_settings it;
            http_parser_settings_init(&it);
            it.on_url = &url;
            it.on_header_field = &field;
            it.on_header_value = &value;
            it.on_headers_complete = &head_done;
            it.on_body = &body;
            it.on_message_complete = &done;
            return it;
        }();
        return configured;
    }
};

http_reader::http_reader(http_reader_kind kind, std::size_t max_head_bytes, http_reader_sink& sink)
    : kind_(kind), max_head_bytes_(max_head_bytes), sink_(sink),
      parser_(std::make_unique<parser>()) {
    http_parser_init(&parser_->raw,
                     kind == http_reader_kind::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_->raw.data = this;
}

http_reader::~http_reader() = default;

void http_reader::begin_message() {
    head_ = {};
    last_piece_was_value_ = false;
    head_bytes_ = 0;
    head_complete_ = false;
    at_boundary_ = false;
}

std::size_t http_reader::held_head_bytes() const {
    constexpr std::size_t growth = 2; // of a text's or a list's capacity beyond its size
    return growth * head_bytes_ + head_.fields.capacity() * sizeof(http_field);
}

int http_reader::finish_head() {
    const auto& raw = parser_->raw;
    head_complete_ = true;
    for (auto& it : head_.fields) {
        internal::trim_end(it.value);
        if (!internal::is_token(it.name) || internal::has_control(it.value)) {
            failure_ = "a field is malformed";
            return -1;
        }
    }
    bool request = kind_ == http_reader_kind::requests;
    if (raw.upgrade != 0) {
        failure_ = "upgrades are not served";
        return -1;
    }
    head_.supports_chunks = raw.http_major > 1 || raw.http_minor >= 1;
    head_.keep_alive = http_should_keep_alive(&raw) != 0;
    bool has_length = raw.content_length != std::numeric_limits<std::uint64_t>::max();
    bool without_body =
        no_body_ ||
        (!request && (raw.status_code < 200 || raw.status_code == 204 || raw.status_code == 304));
    if (without_body)
        head_.framing = http_framing::none;
    else if ((raw.flags & F_CHUNKED) != 0)
        head_.framing = http_framing::chunked;
    else if (has_length)
        head_.framing =
            raw.content_length == 0 && request ? http_framing::none : http_framing::length;
    else
        head_.framing = request ? http_framing::none : http_framing::until_close;
    head_.length = has_length && !without_body ? raw.content_length : 0;
    if (request)
        head_.method = http_method_str(static_cast<http_method>(raw.method));
    else
        head_.status = static_cast<int>(raw.status_code);
    no_body_ = false;
    sink_.on_head(std::move(head_));
    head_ = {};
    return without_body ? 1 : 0;
}

std::size_t http_reader::feed(std::string_view bytes) {
    if (!failure_.empty() || bytes.empty())
        return 0;
    if (at_boundary_)
        begin_message();
    bool in_head = !head_complete_;
    auto n = http_parser_execute(&parser_->raw, &callbacks::settings(), bytes.data(), bytes.size());
    if (in_head && !head_complete_) {
        head_bytes_ += n;
        if (head_bytes_ > max_head_bytes_) {
            head_too_large_ = true;
            failure_ = "the head is larger than the limit";
            return n;
        }
    }
    auto code = HTTP_PARSER_ERRNO(&parser_->raw);
    if (code == HPE_PAUSED && message_complete_) {
        http_parser_pause(&parser_->raw, 0);
        message_complete_ = false;
        at_boundary_ = true;
        sink_.on_complete();
        return n;
    }
    if (code != HPE_OK) {
        head_too_large_ = code == HPE_HEADER_OVERFLOW;
        ambiguous_length_ = code == HPE_UNEXPECTED_CONTENT_LENGTH;
        if (failure_.empty())
            failure_ = http_errno_description(code);
    }
    return n;
}

void http_reader::feed_end() {
    if (at_boundary_ || !failure_.empty())
        return;
    (void)http_parser_execute(&parser_->raw, &callbacks::settings(), nullptr, 0);
    if (message_complete_) {
        message_complete_ = false;
        at_boundary_ = true;
        sink_.on_complete();
        return;
    }
    failure_ = "the connection ended within a message";
}

} // namespace azureyoke::transport
