#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/coordination/desired_weights.h"
#include "azureyoke/src/coordination/fleet_router.h"

namespace azureyoke::app {

/// \brief A server whose weights were observed or are being changed.
struct weights_notice {
    std::string server;
    std::string model;
    std::int64_t version = 0;
    bool changing = false; ///< The server takes no new work until it has loaded `version`.

    friend bool operator==(const weights_notice&, const weights_notice&) = default;
};

/// \brief A content of a named section; see `peer_section`.
struct report_section {
    std::string name;
    std::string content;

    friend bool operator==(const report_section&, const report_section&) = default;
};

/// \brief State that one instance reports to the others, in one or more datagrams.
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
    std::int64_t registry_era = 0; ///< Newest era known to the sender.
    /// By workspace: the amount charged to its limit since the sender's start.
    std::map<std::string, double> spent;
    /// By model, oldest first: versions whose time limit has not passed, and the newest whose limit
    /// has.
    std::map<std::string, std::vector<coordination::weights_age>> desired_weights;
    std::vector<weights_notice> notices;
    /// Work of the sender by server; absent when this message does not report it.
    std::optional<std::map<std::string, coordination::server_work>> work;
    std::vector<coordination::placed_prompt> placed; ///< Prompts placed since the last report.
    std::vector<coordination::departure> departures; ///< Reported to the sender by servers.
    std::vector<report_section> sections;

    friend bool operator==(const peer_report&, const peer_report&) = default;
};

/// \brief Encodes a report as messages of at most `max_bytes` bytes; each is valid without the
/// others. If the first message would be too large, it leaves out the servers with the least work.
/// \returns an empty list when that message is too large without any. Thread safe.
std::vector<std::string> to_messages(peer_report report, std::size_t max_bytes);

/// \returns the report in CBOR. Thread safe.
std::string to_bytes(const peer_report& report);
/// \returns nothing when the bytes are not a valid report.
std::optional<peer_report> parse_peer_report(std::string_view bytes);

} // namespace azureyoke::app
