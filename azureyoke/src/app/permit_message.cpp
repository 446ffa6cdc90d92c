#include "azureyoke/src/app/permit_message.h"

#include <chrono>
#include <cmath>

#include <nlohmann/json.hpp>

namespace azureyoke::app {

using nlohmann::json;

namespace internal {
namespace {

constexpr const char* request_tag = "permit";
constexpr const char* reply_tag = "permit reply";
/// Longer times are not valid: nothing is remembered for that long.
constexpr std::int64_t max_time_us = std::chrono::microseconds(std::chrono::hours(1)).count();

json encode(const limit_report& it) {
    return json::array({it.server, it.started_ms, it.per_second, it.age_us});
}

bool is_valid_time(std::int64_t time_us) {
    return time_us >= 0 && time_us <= max_time_us;
}

bool is_valid(const limit_report& it) {
    return std::isfinite(it.per_second) && it.per_second >= 0 && is_valid_time(it.age_us);
}

limit_report decode_limit(const json& body) {
    return {body.at(0).get<std::string>(), body.at(1).get<std::int64_t>(), body.at(2).get<double>(),
            body.at(3).get<std::int64_t>()};
}

std::optional<permit_message> decode(const json& body) {
    auto tag = body.at(0).get<std::string>();
    if (tag == request_tag) {
        permit_request it{body.at(1).get<std::string>(), body.at(2).get<std::string>(),
                          body.at(3).get<std::uint64_t>(), decode_limit(body.at(4))};
        return is_valid(it.limit) ? std::optional<permit_message>(it) : std::nullopt;
    }
    if (tag != reply_tag)
        return std::nullopt;
    permit_reply it{body.at(1).get<std::uint64_t>(), body.at(2).get<bool>(),
                    body.at(3).get<std::int64_t>(), decode_limit(body.at(4))};
    bool valid = is_valid(it.limit) && is_valid_time(it.wait_us);
    return valid ? std::optional<permit_message>(it) : std::nullopt;
}

struct encoder {
    json operator()(const permit_request& it) const {
        return json::array({request_tag, it.instance, it.reply_to, it.number, encode(it.limit)});
    }

    json operator()(const permit_reply& it) const {
        return json::array({reply_tag, it.number, it.granted, it.wait_us, encode(it.limit)});
    }
};

} // namespace
} // namespace internal

std::string to_bytes(const permit_message& message) {
    std::string bytes;
    json::to_cbor(std::visit(internal::encoder(), message), bytes);
    return bytes;
}

std::optional<permit_message> parse_permit_message(std::string_view bytes) {
    try {
        auto body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        return body.is_array() ? internal::decode(body) : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt; // a field is missing or of the wrong type
    }
}

} // namespace azureyoke::app
