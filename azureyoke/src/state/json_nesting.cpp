#include "azureyoke/src/state/json_nesting.h"

#include <nlohmann/json.hpp>

namespace azureyoke::state {

using nlohmann::json;

namespace internal {
namespace {

/// Counts the fields of a text and stops at the depth limit.
class field_counter : public nlohmann::json_sax<json> {
public:
    bool null() override { return true; }

    bool boolean(bool /*v*/) override { return true; }

    bool number_integer(number_integer_t /*v*/) override { return true; }

    bool number_unsigned(number_unsigned_t /*v*/) override { return true; }

    bool number_float(number_float_t /*v*/, const string_t& /*s*/) override { return true; }

    bool string(string_t& /*v*/) override { return true; }

    bool binary(binary_t& /*v*/) override { return true; }

    bool start_object(std::size_t /*n*/) override { return ++depth_ <= max_depth; }

    bool start_array(std::size_t /*n*/) override { return ++depth_ <= max_depth; }

    bool end_object() override { return --depth_ >= 0; }

    bool end_array() override { return --depth_ >= 0; }

    bool key(string_t& /*name*/) override {
        ++fields;
        return true;
    }

    bool parse_error(std::size_t /*at*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*ec*/) override {
        return false;
    }

    std::size_t fields = 0;

private:
    static constexpr int max_depth = 32;
    int depth_ = 0;
};

} // namespace
} // namespace internal

std::optional<std::size_t> count_json_fields(std::string_view text, json_encoding encoding) {
    internal::field_counter counter;
    auto format =
        encoding == json_encoding::cbor ? json::input_format_t::cbor : json::input_format_t::json;
    if (!json::sax_parse(text.begin(), text.end(), &counter, format))
        return std::nullopt;
    return counter.fields;
}

} // namespace azureyoke::state
