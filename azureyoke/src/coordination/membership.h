#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/member.h"

namespace azureyoke::coordination {

using state::member_record;
using state::member_status;
using state::probe;
using state::probe_kind;

struct outgoing_probe {
    std::string address;
    probe message;
};

struct membership_settings {
    duration period = std::chrono::milliseconds(500);      ///< Between two probes.
    duration ack_timeout = std::chrono::milliseconds(150); ///< Before indirect probes.
    /// Time from suspicion to removal in a group of up to 10 members; it grows with log2 of the
    /// number of members.
    duration base_suspicion_timeout = std::chrono::milliseconds(2500);
    /// A removed member is not seeded again for this long.
    duration dead_member_ttl = std::chrono::seconds(30);
    int indirect_probes = 3; ///< Members asked for an indirect probe.
    /// Each change is sent this factor x log2 of the number of members times.
    int dissemination_factor = 4;
    std::size_t max_records_per_probe = 6;
    std::size_t remote_contacts = 3; ///< Members probed in each other data centre.

    friend bool operator==(const membership_settings&, const membership_settings&) = default;
};

/// \brief SWIM failure detector and membership list: probes, indirect probes and suspicion.
///
/// Every instance probes the members of its own data centre in a shuffled round, and a few contacts
/// in each other data centre that rendezvous hashing selects. Probes carry membership changes. A
/// suspect refutes the suspicion with a higher incarnation. Source: Das, Gupta and Motivala, "SWIM:
/// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002. Pure: time
/// and seed come from the driver. Not thread safe.
class membership {
public:
    membership(const membership_settings& settings, member_record self, std::uint64_t seed);

    /// \brief Adds a member from the platform's list or the settings; a probe target is pinged.
    void add_seed(const member_record& record, instant now);
    void on_probe(const probe& message, instant now);
    /// \brief Handles timeouts and sends the next probe. To be called every few milliseconds.
    void tick(instant now);
    /// \brief Announces to all members that this instance leaves.
    void announce_leave();

    /// \returns the alive and suspect members, without this instance.
    std::vector<member_record> live_members() const;

    const member_record& self() const { return self_; }

    std::vector<outgoing_probe> take_probes() { return std::exchange(probes_, {}); }

    /// \returns the members whose status changed since the last call.
    std::vector<member_record> take_changes() { return std::exchange(changes_, {}); }

private:
    struct member {
        member_record record;
        instant changed;    ///< Time of the last change of status.
        int sends_left = 0; ///< Probes that still carry the record.
    };

    struct open_ping {
        std::string name;
        instant sent;
        bool indirect_sent = false;
    };

    bool is_probe_target(const member_record& record) const;
    void merge_record(const member_record& record, instant now);
    void set_status(member& known, member_status status, std::uint64_t incarnation, instant now);
    void refute(const member_record& record);
    void send(const std::string& address, probe message);
    void send_ping(const std::string& name, instant now);
    std::string next_probe_target();
    void probe_indirectly(const std::string& name, std::uint64_t number);
    std::vector<member_record> next_records_to_send();
    int dissemination_limit() const;
    duration suspicion_timeout() const;
    const member* find_member(const std::string& name) const;

    membership_settings settings_;
    member_record self_;
    std::mt19937_64 random_;
    std::map<std::string, member> members_;
    std::vector<std::string> probe_round_; ///< Members not yet probed in this round.
    std::map<std::uint64_t, open_ping> pings_;
    std::uint64_t next_number_ = 1;
    instant next_probe_;
    std::vector<outgoing_probe> probes_;
    std::vector<member_record> changes_;
};

} // namespace azureyoke::coordination
