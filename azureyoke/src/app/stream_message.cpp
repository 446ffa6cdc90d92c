#include "azureyoke/src/app/stream_message.h"

#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace azureyoke::app {

using coordination::instant;
using nlohmann::json;

namespace internal {
namespace {

constexpr const char* keep_tag = "streams";
constexpr const char* question_tag = "stream question";
constexpr const char* reply_tag = "stream reply";
/// Longer times are not valid: no stream lasts so long.
constexpr std::int64_t max_left_ms = std::chrono::milliseconds(std::chrono::hours(1)).count();
/// Bytes of one binding beside its texts, at most.
constexpr std::size_t entry_overhead = 24;
constexpr std::size_t message_overhead = 16;

std::int64_t left_ms(const kept_stream& it, instant now) {
    return (it.binding.until - now) / std::chrono::milliseconds(1);
}

struct encoder {
    instant now;

    json operator()(const streams_to_keep& it) const {
        auto list = json::array();
        for (const auto& entry : it.streams)
            list.push_back(
                {entry.stream, entry.binding.pool, entry.binding.software, left_ms(entry, now)});
        return json::array({keep_tag, list});
    }

    json operator()(const stream_question& it) const {
        return json::array({question_tag, it.reply_to, it.number, it.stream, it.pool});
    }

    json operator()(const stream_reply& it) const {
        auto software = it.software ? json(*it.software) : json();
        return json::array({reply_tag, it.number, software, it.versions, it.complete});
    }
};

std::optional<stream_message> decode_streams(const json& list, instant now) {
    streams_to_keep message;
    for (const auto& it : list) {
        auto left = it.at(3).get<std::int64_t>();
        if (left > max_left_ms)
            return std::nullopt;
        if (left <= 0)
            continue; // it ended on its way
        message.streams.push_back({it.at(0).get<std::string>(),
                                   {it.at(1).get<std::string>(), it.at(2).get<std::string>(),
                                    now + std::chrono::milliseconds(left)}});
    }
    return message;
}

std::optional<stream_message> decode(const json& body, instant now) {
    auto tag = body.at(0).get<std::string>();
    if (tag == keep_tag)
        return decode_streams(body.at(1), now);
    if (tag == question_tag)
        return stream_question{body.at(1).get<std::string>(), body.at(2).get<std::uint64_t>(),
                               body.at(3).get<std::string>(), body.at(4).get<std::string>()};
    if (tag != reply_tag)
        return std::nullopt;
    stream_reply it;
    it.number = body.at(1).get<std::uint64_t>();
    if (!body.at(2).is_null())
        it.software = body.at(2).get<std::string>();
    it.versions = body.at(3).get<std::set<std::string>>();
    it.complete = body.at(4).get<bool>();
    return it;
}

} // namespace
} // namespace internal

std::string to_bytes(const stream_message& message, instant now) {
    std::string bytes;
    json::to_cbor(std::visit(internal::encoder{now}, message), bytes);
    return bytes;
}

std::vector<std::string> to_messages(const std::vector<kept_stream>& streams, instant now,
                                     std::size_t max_bytes) {
    std::vector<std::string> list;
    streams_to_keep open;
    std::size_t size = internal::message_overhead;
    for (const auto& it : streams) {
        auto entry_size = it.stream.size() + it.binding.pool.size() + it.binding.software.size() +
                          internal::entry_overhead;
        if (entry_size + internal::message_overhead > max_bytes)
            continue; // no id of a caller is that long
        if (size + entry_size > max_bytes) {
            list.push_back(to_bytes(std::exchange(open, {}), now));
            size = internal::message_overhead;
        }
        open.streams.push_back(it);
        size += entry_size;
    }
    if (!open.streams.empty())
        list.push_back(to_bytes(open, now));
    return list;
}

std::optional<stream_message> parse_stream_message(std::string_view bytes, instant now) {
    try {
        auto body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        return body.is_array() ? internal::decode(body, now) : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt; // a field is missing or of the wrong type
    }
}

} // namespace azureyoke::app
