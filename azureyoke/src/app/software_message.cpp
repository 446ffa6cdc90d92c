#include "azureyoke/src/app/software_message.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace azureyoke::app {

using coordination::rollout_state;
using coordination::route_counts;
using coordination::side_counts;
using nlohmann::json;

namespace internal {
namespace {

constexpr std::size_t max_reason = 120;
/// Counters above this, or ages, are not those of an instance.
constexpr std::int64_t max_number = std::int64_t{1} << 53;
constexpr std::size_t route_entry_size = 8;
constexpr std::size_t server_entry_size = 3;
constexpr std::size_t list_field = 7;
constexpr std::size_t begin_known_field = 8;

constexpr std::array<std::int64_t route_counts::*, 6> counters = {
    &route_counts::sent,     &route_counts::ended,  &route_counts::failed,
    &route_counts::rejected, &route_counts::judged, &route_counts::slow};

void add_entries(json& list, int side, const side_counts& counts) {
    for (const auto& [route, it] : counts.routes) {
        json entry = {side, route};
        for (auto counter : counters)
            entry.push_back(it.*counter);
        list.push_back(std::move(entry));
    }
    for (const auto& [server, it] : counts.servers) {
        if (it.lost > 0)
            list.push_back({side, server, it.lost});
    }
}

std::int64_t number_of(const json& value) {
    auto number = value.get<std::int64_t>();
    return number < 0 || number > max_number ? throw json::other_error::create(501, "range", &value)
                                             : number;
}

void read_entry(const json& entry, software_message& message) {
    auto& side =
        entry.at(0).get<int>() == 0 ? message.evidence.old_side : message.evidence.new_side;
    auto name = entry.at(1).get<std::string>();
    if (entry.size() < route_entry_size) {
        side.servers[name].lost = number_of(entry.at(server_entry_size - 1));
        return;
    }
    auto& counts = side.routes[name];
    for (std::size_t i = 0; i < counters.size(); ++i)
        counts.*counters[i] = number_of(entry.at(i + 2));
}

} // namespace
} // namespace internal

std::vector<std::string> to_contents(const software_message& message, std::size_t max_bytes) {
    json entries = json::array();
    internal::add_entries(entries, 0, message.evidence.old_side);
    internal::add_entries(entries, 1, message.evidence.new_side);
    json head = {message.service,
                 message.to,
                 message.age_ms,
                 static_cast<int>(message.state),
                 message.reason.substr(0, internal::max_reason),
                 message.evidence.old_side.running,
                 message.evidence.new_side.running,
                 json::array(),
                 message.begin_known};
    constexpr std::size_t list_length_bytes = 3;
    auto head_size = json::to_cbor(head).size() + list_length_bytes;
    std::vector<std::string> contents;
    auto add = [&](json list) {
        auto whole = head;
        whole[internal::list_field] = std::move(list);
        std::string bytes;
        json::to_cbor(whole, bytes);
        contents.push_back(std::move(bytes));
    };
    json list = json::array();
    auto size = head_size;
    for (auto& entry : entries) {
        auto entry_size = json::to_cbor(entry).size();
        if (head_size + entry_size > max_bytes)
            continue;
        if (size + entry_size > max_bytes) {
            add(std::exchange(list, json::array()));
            size = head_size;
        }
        size += entry_size;
        list.push_back(std::move(entry));
    }
    if (!list.empty() || contents.empty())
        add(std::move(list));
    return contents;
}

std::optional<software_message> parse_software_message(std::string_view bytes) {
    try {
        auto body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        constexpr std::size_t fields = 8;
        if (!body.is_array() || body.size() < fields)
            return std::nullopt;
        software_message message;
        message.service = body[0].get<std::string>();
        message.to = body[1].get<std::string>();
        message.age_ms = internal::number_of(body[2]);
        auto state = internal::number_of(body[3]);
        if (state > static_cast<int>(rollout_state::reverted))
            return std::nullopt;
        message.state = static_cast<rollout_state>(state);
        message.reason = body[4].get<std::string>();
        message.evidence.old_side.running = internal::number_of(body[5]);
        message.evidence.new_side.running = internal::number_of(body[6]);
        for (const auto& entry : body[internal::list_field])
            internal::read_entry(entry, message);
        // Builds before this field told an age without saying whether they know it.
        if (body.size() > internal::begin_known_field)
            message.begin_known = body[internal::begin_known_field].get<bool>();
        return message;
    } catch (const json::exception&) {
        return std::nullopt; // of another build, or damaged: the caller logs it
    }
}

} // namespace azureyoke::app
