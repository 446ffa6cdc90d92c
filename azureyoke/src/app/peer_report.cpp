#include "azureyoke/src/app/peer_report.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "azureyoke/src/state/record_version.h"

namespace azureyoke::app {

using nlohmann::json;

namespace internal {
namespace {

/// Drops a quarter of the servers, those with the least work; the last one drops the work itself.
void drop_least_work(peer_report& report) {
    using entry = std::pair<std::string, coordination::server_work>;
    std::vector<entry> list(report.work->begin(), report.work->end());
    auto kept = list.size() * 3 / 4;
    std::nth_element(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(kept), list.end(),
                     [](const entry& a, const entry& b) {
                         return std::pair(a.second.in_flight, a.second.unprocessed_tokens) >
                                std::pair(b.second.in_flight, b.second.unprocessed_tokens);
                     });
    list.resize(kept);
    if (list.empty())
        report.work.reset();
    else
        report.work.emplace(list.begin(), list.end());
}

} // namespace
} // namespace internal

// Arrays in a fixed order are smaller than named fields: a report should fit in one datagram.
std::string to_bytes(const peer_report& report) {
    auto notices = json::array();
    for (const auto& it : report.notices)
        notices.push_back({it.server, it.model, it.version, it.changing});
    auto desired = json::object();
    for (const auto& [model, list] : report.desired_weights) {
        auto& ages = desired[model] = json::array();
        for (const auto& it : list)
            ages.push_back({it.version, it.age_ms});
    }
    json work; // null: not reported
    if (report.work) {
        work = json::object();
        for (const auto& [server, it] : *report.work)
            work[server] = {it.in_flight, it.unprocessed_tokens};
    }
    auto placed = json::array();
    for (const auto& it : report.placed)
        placed.push_back({it.server, it.prefix_hashes});
    auto departures = json::array();
    for (const auto& it : report.departures)
        departures.push_back({it.server, it.started_ms});
    json body = {report.instance,
                 report.incarnation,
                 report.peers,
                 report.operators,
                 report.leaving,
                 report.holds_lease,
                 report.policy_version,
                 report.spent,
                 desired,
                 notices,
                 report.reaches_registry,
                 work,
                 placed,
                 departures,
                 report.data_centre,
                 report.registry_era};
    if (!report.sections.empty()) {
        auto sections = json::array();
        for (const auto& it : report.sections)
            sections.push_back({it.name, json::binary({it.content.begin(), it.content.end()})});
        body.push_back(std::move(sections));
    }
    std::string bytes;
    json::to_cbor(body, bytes);
    return bytes;
}

std::vector<std::string> to_messages(peer_report report, std::size_t max_bytes) {
    auto whole = to_bytes(report);
    if (whole.size() <= max_bytes)
        return {std::move(whole)};
    auto placed = std::exchange(report.placed, {});
    auto sections = std::exchange(report.sections, {});
    auto first = to_bytes(report);
    while (first.size() > max_bytes && report.work) {
        internal::drop_least_work(report); // peers need the other fields more
        first = to_bytes(report);
    }
    if (first.size() > max_bytes)
        return {};
    std::vector<std::string> list = {std::move(first)};
    if (placed.empty() && sections.empty())
        return list;
    report.work.reset();
    report.spent.clear();
    report.desired_weights.clear();
    report.notices.clear();
    report.departures.clear();
    auto base_size = to_bytes(report).size();
    std::size_t size = base_size;
    for (auto& it : placed) {
        // Upper bound: CBOR needs at most 9 bytes for a number or a length.
        auto entry_size = it.server.size() + 9 * (it.prefix_hashes.size() + 3);
        if (size + entry_size > max_bytes && !report.placed.empty()) {
            list.push_back(to_bytes(report));
            report.placed.clear();
            size = base_size;
        }
        report.placed.push_back(std::move(it));
        size += entry_size;
    }
    for (auto& it : sections) {
        // Upper bound, as above, for the name, the content and the arrays around them.
        auto entry_size = it.name.size() + it.content.size() + 4 * 9;
        if (entry_size > max_bytes - base_size)
            continue; // `peer_section::contents` returns no content that is too long
        if (size + entry_size > max_bytes) {
            list.push_back(to_bytes(report));
            report.placed.clear();
            report.sections.clear();
            size = base_size;
        }
        report.sections.push_back(std::move(it));
        size += entry_size;
    }
    list.push_back(to_bytes(report));
    return list;
}

std::optional<peer_report> parse_peer_report(std::string_view bytes) {
    try {
        // from_cbor throws on impossible sizes even with exceptions disabled.
        auto body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        // A later build may append fields.
        if (!body.is_array() || body.size() < 16)
            return std::nullopt;
        peer_report result;
        result.instance = body[0].get<std::string>();
        result.incarnation = body[1].get<std::uint64_t>();
        result.peers = body[2].get<std::string>();
        result.operators = body[3].get<std::string>();
        result.leaving = body[4].get<bool>();
        result.holds_lease = body[5].get<bool>();
        result.policy_version = body[6].get<std::int64_t>();
        result.spent = body[7].get<std::map<std::string, double>>();
        for (const auto& [model, list] : body[8].items()) {
            for (const auto& it : list)
                result.desired_weights[model].push_back(
                    {it.at(0).get<std::int64_t>(), it.at(1).get<std::int64_t>()});
        }
        for (const auto& it : body[9])
            result.notices.push_back({it.at(0).get<std::string>(), it.at(1).get<std::string>(),
                                      it.at(2).get<std::int64_t>(), it.at(3).get<bool>()});
        result.reaches_registry = body[10].get<bool>();
        if (!body[11].is_null()) {
            auto& work = result.work.emplace();
            for (const auto& [server, it] : body[11].items())
                work[server] = {it.at(0).get<int>(), it.at(1).get<std::int64_t>()};
        }
        for (const auto& it : body[12])
            result.placed.push_back(
                {it.at(0).get<std::string>(), it.at(1).get<std::vector<std::uint64_t>>()});
        for (const auto& it : body[13])
            result.departures.push_back(
                {it.at(0).get<std::string>(), it.at(1).get<std::int64_t>()});
        result.data_centre = body[14].get<std::string>();
        result.registry_era = body[15].get<std::int64_t>();
        if (body.size() > 16 && body[16].is_array()) {
            for (const auto& it : body[16]) {
                const auto& content = it.at(1).get_binary();
                result.sections.push_back(
                    {it.at(0).get<std::string>(), {content.begin(), content.end()}});
            }
        }
        if (result.registry_era < 0 || result.registry_era > state::max_era)
            return std::nullopt;
        return result;
    } catch (const json::exception&) {
        return std::nullopt; // not a report, or a field of the wrong type: the sender is not an
                             // instance of this fleet
    }
}

} // namespace azureyoke::app
