#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace azureyoke::state {

/// \brief Status of an instance; at equal incarnations the later enumerator takes precedence.
enum class member_status { alive, suspect, dead, left };

/// \brief One instance's view of another instance, as membership gossip spreads it.
struct member_record {
    std::string name;
    std::string data_centre;
    std::string address;
    std::uint64_t incarnation = 0;
    member_status status = member_status::alive;

    friend bool operator==(const member_record&, const member_record&) = default;
};

enum class probe_kind { ping, ack, ping_request };

/// \brief One datagram of the membership protocol.
struct probe {
    member_record sender;
    std::uint64_t number = 0;
    probe_kind kind = probe_kind::ping;
    /// Instance that a `ping_request` asks to probe; on a relayed ping and its ack, the instance
    /// that sent the `ping_request`.
    std::string target;
    std::vector<member_record> records;

    friend bool operator==(const probe&, const probe&) = default;
};

} // namespace azureyoke::state
