#include "azureyoke/src/app/peer_report.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "azureyoke/src/state/record_version.h"

namespace azureyoke::app {

using nlohmann::json;

// Arrays in a fixed order keep a report within one datagram.
std::string to_bytes(const peer_report& report) {
    auto notices = json::array();
    for (const auto& it : report.notices)
        notices.push_back({it.server, it.model, it.version, it.changing});
    auto named = json::object();
    for (const auto& [model, list] : report.named_weights) {
        auto& ages = named[model] = json::array();
        for (const auto& it : list)
            ages.push_back({it.version, it.age_ms});
    }
    json work; // null: not told
    if (report.work) {
        work = json::object();
        for (const auto& [server, it] : *report.work)
            work[server] = {it.in_flight, it.unread_tokens};
    }
    auto placed = json::array();
    for (const auto& it : report.placed)
        placed.push_back({it.server, it.links});
    auto departures = json::array();
    for (const auto& it : report.departures)
        departures.push_back({it.server, it.born_ms});
    json body = {report.instance,
                 report.incarnation,
                 report.peers,
                 report.operators,
                 report.leaving,
                 report.holds_lease,
                 report.policy_version,
                 report.spent,
                 named,
                 notices,
                 report.reaches_registry,
                 work,
                 placed,
                 departures,
                 report.data_centre,
                 report.registry_era};
    std::string bytes;
    json::to_cbor(body, bytes);
    return bytes;
}

std::vector<std::string> to_messages(peer_report report, std::size_t most) {
    auto whole = to_bytes(report);
    if (whole.size() <= most)
        return {std::move(whole)};
    auto placed = std::exchange(report.placed, {});
    auto first = to_bytes(report);
    if (first.size() > most) {
        report.work.reset(); // peers can do without it, but not without the rest
        first = to_bytes(report);
    }
    if (first.size() > most)
        return {};
    std::vector<std::string> list = {std::move(first)};
    if (placed.empty())
        return list;
    report.work.reset();
    report.spent.clear();
    report.named_weights.clear();
    report.notices.clear();
    report.departures.clear();
    auto base = to_bytes(report).size();
    std::size_t size = base;
    for (auto& it : placed) {
        // Text and numbers with their marks: CBOR takes at most 9 bytes for a number or a length.
        auto more = it.server.size() + 9 * (it.links.size() + 3);
        if (size + more > most && !report.placed.empty()) {
            list.push_back(to_bytes(report));
            report.placed.clear();
            size = base;
        }
        report.placed.push_back(std::move(it));
        size += more;
    }
    list.push_back(to_bytes(report));
    return list;
}

std::optional<peer_report> parse_peer_report(std::string_view bytes) {
    try {
        // Sizes that can't be are thrown even where faults are not.
        auto body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (!body.is_array() || body.size() != 16)
            return std::nullopt;
        peer_report made;
        made.instance = body[0].get<std::string>();
        made.incarnation = body[1].get<std::uint64_t>();
        made.peers = body[2].get<std::string>();
        made.operators = body[3].get<std::string>();
        made.leaving = body[4].get<bool>();
        made.holds_lease = body[5].get<bool>();
        made.policy_version = body[6].get<std::int64_t>();
        made.spent = body[7].get<std::map<std::string, double>>();
        for (const auto& [model, list] : body[8].items()) {
            for (const auto& it : list)
                made.named_weights[model].push_back(
                    {it.at(0).get<std::int64_t>(), it.at(1).get<std::int64_t>()});
        }
        for (const auto& it : body[9])
            made.notices.push_back({it.at(0).get<std::string>(), it.at(1).get<std::string>(),
                                    it.at(2).get<std::int64_t>(), it.at(3).get<bool>()});
        made.reaches_registry = body[10].get<bool>();
        if (!body[11].is_null()) {
            auto& work = made.work.emplace();
            for (const auto& [server, it] : body[11].items())
                work[server] = {it.at(0).get<int>(), it.at(1).get<std::int64_t>()};
        }
        for (const auto& it : body[12])
            made.placed.push_back(
                {it.at(0).get<std::string>(), it.at(1).get<std::vector<std::uint64_t>>()});
        for (const auto& it : body[13])
            made.departures.push_back({it.at(0).get<std::string>(), it.at(1).get<std::int64_t>()});
        made.data_centre = body[14].get<std::string>();
        made.registry_era = body[15].get<std::int64_t>();
        if (made.registry_era < 0 || made.registry_era > state::most_era)
            return std::nullopt;
        return made;
    } catch (const json::exception&) {
        return std::nullopt; // no report, or a field of another type: the sender is none of ours
    }
}

} // namespace azureyoke::app
