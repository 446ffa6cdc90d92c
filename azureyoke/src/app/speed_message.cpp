#include "azureyoke/src/app/speed_message.h"

#include <nlohmann/json.hpp>

namespace azureyoke::app {

using nlohmann::json;

namespace internal {
namespace {

/// Longer times are not valid: no request lasts that long.
constexpr std::int64_t max_time_ms = 600'000;
/// As in the servers' own answers.
constexpr std::int64_t min_percent = 10;
constexpr std::int64_t max_percent = 100'000;
/// A number of up to 65,535 and a list's or text's length take three bytes at most.
constexpr std::size_t number_bytes = 3;

/// \throws json::exception when the element is no whole number.
std::int64_t whole_number(const json& list, std::size_t index) {
    const auto& it = list.at(index);
    if (!it.is_number_integer()) // the conversion of a large fraction would be undefined
        throw json::other_error::create(501, "not a whole number", &it);
    return it.get<std::int64_t>();
}

bool is_time(std::int64_t ms) {
    return ms >= 0 && ms <= max_time_ms;
}

bool is_percent(std::int64_t percent) {
    return percent >= min_percent && percent <= max_percent;
}

bool is_valid(const slowdown_report& it) {
    return is_percent(it.percent) && is_time(it.age_ms);
}

bool is_valid(const first_answer_report& it) {
    return it.nominal_ms > 0 && is_time(it.nominal_ms) && it.took_ms > 0 && is_time(it.took_ms) &&
           is_time(it.age_ms) && (it.percent == 0 || is_percent(it.percent));
}

} // namespace
} // namespace internal

std::size_t encoded_size(const slowdown_report& it) {
    constexpr std::size_t fields = 4; // and the list's length
    return it.server.size() + fields * internal::number_bytes;
}

std::size_t encoded_size(const first_answer_report& it) {
    constexpr std::size_t fields = 6; // and the list's length
    return it.server.size() + fields * internal::number_bytes;
}

std::string to_bytes(const speed_message& message) {
    auto slowdowns = json::array();
    for (const auto& it : message.slowdowns)
        slowdowns.push_back({it.server, it.percent, it.age_ms});
    auto answers = json::array();
    for (const auto& it : message.answers)
        answers.push_back({it.server, it.nominal_ms, it.took_ms, it.age_ms, it.percent});
    std::string bytes;
    json::to_cbor(json::array({slowdowns, answers}), bytes);
    return bytes;
}

std::optional<speed_message> parse_speed_message(std::string_view bytes) {
    try {
        auto body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        speed_message result;
        // A later build may append fields.
        for (const auto& it : body.at(0))
            result.slowdowns.push_back({it.at(0).get<std::string>(), internal::whole_number(it, 1),
                                        internal::whole_number(it, 2)});
        for (const auto& it : body.at(1))
            result.answers.push_back({it.at(0).get<std::string>(), internal::whole_number(it, 1),
                                      internal::whole_number(it, 2), internal::whole_number(it, 3),
                                      internal::whole_number(it, 4)});
        for (const auto& it : result.slowdowns) {
            if (!internal::is_valid(it))
                return std::nullopt;
        }
        for (const auto& it : result.answers) {
            if (!internal::is_valid(it))
                return std::nullopt;
        }
        return result;
    } catch (const json::exception&) {
        return std::nullopt; // not a message, or a field of the wrong type
    }
}

} // namespace azureyoke::app
