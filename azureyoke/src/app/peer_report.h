#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/coordination/fleet_router.h"
#include "azureyoke/src/coordination/named_weights.h"

namespace azureyoke::app {

/// \brief A server whose weights were seen or are being changed.
struct weights_notice {
    std::string server;
    std::string model;
    std::int64_t version = 0;
    bool changing = false; ///< It was ordered and takes no new work; `version` is not yet there.

    friend bool operator==(const weights_notice&, const weights_notice&) = default;
};

/// \brief What one instance tells the others, in one datagram.
struct peer_report {
    std::string instance;
    std::string data_centre;
    std::uint64_t incarnation = 0;
    std::string peers;     ///< Address for these reports.
    std::string operators; ///< Address from which the policy can be read.
    bool leaving = false;
    bool holds_lease = false;
    bool reaches_registry = false;
    std::int64_t policy_version = 0;
    std::int64_t registry_era = 0;       ///< Newest that the sender knows of.
    std::map<std::string, double> spent; ///< Of each workspace's limit, since its start.
    /// By model, oldest first: those whose time limit has not passed and the newest due ones.
    std::map<std::string, std::vector<coordination::weights_age>> named_weights;
    std::vector<weights_notice> notices;
    /// Of the sender, by server; nothing when this message does not tell of it.
    std::optional<std::map<std::string, coordination::server_work>> work;
    std::vector<coordination::placed_prompt> placed; ///< Since its last report.
    std::vector<coordination::departure> departures; ///< Servers that told the sender of it.

    friend bool operator==(const peer_report&, const peer_report&) = default;
};

/// \brief The report in messages of at most `most` bytes each, of which any may be lost.
/// Work at servers is left out when it would keep the rest from fitting.
/// \returns nothing when the rest does not fit either. Thread safe.
std::vector<std::string> to_messages(peer_report report, std::size_t most);

/// \brief CBOR. Thread safe.
std::string to_bytes(const peer_report& report);
/// \returns nothing when the bytes are no report.
std::optional<peer_report> parse_peer_report(std::string_view bytes);

} // namespace azureyoke::app
