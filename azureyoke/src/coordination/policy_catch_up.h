#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct policy_catch_up_settings {
    /// Instances that learn of a version at the same moment ask at random times within this one.
    duration spread = std::chrono::milliseconds(80);
    /// Time given to the registry before a peer is asked for the whole policy.
    duration whole_delay = std::chrono::milliseconds(400);
    duration retry_delay = std::chrono::milliseconds(50);
    /// Time between two checks whether the registry still sends the policy.
    duration recheck = std::chrono::milliseconds(100);
    /// Time in which a peer that failed is not asked again, unless no other has the version.
    duration exclusion = std::chrono::seconds(1);

    friend bool operator==(const policy_catch_up_settings&,
                           const policy_catch_up_settings&) = default;
};

/// \brief A responsive peer and the version of the policy that it last reported.
struct policy_source {
    std::string instance;
    bool in_own_data_centre = false;
    std::int64_t version = 0;

    friend bool operator==(const policy_source&, const policy_source&) = default;
};

/// \brief What to ask a peer for: the changes since the own version, or the whole policy.
enum class policy_content { changes, whole };

struct policy_request {
    std::string instance;
    policy_content content = policy_content::changes;

    friend bool operator==(const policy_request&, const policy_request&) = default;
};

enum class policy_answer {
    taken,       ///< A newer policy came into force.
    unavailable, ///< The peer has no changes since the own version, or they are too large.
    failed       ///< No answer, a busy peer, or a text that could not be used.
};

/// \brief Decides when an instance asks which peer for a newer policy than its own.
///
/// Load pattern: all instances learn of a version at once and few have it. Each asks a random peer
/// that has it, so that no peer answers more than a few, and asks for the changes, which cost in
/// proportion to the change. The whole policy is asked for only when the registry does not send it,
/// since on a narrow link two transfers at once take twice as long.
///
/// Fault pattern: peers that stop answering are left out for a while, and the next one is asked.
/// Pure. Not thread safe.
class policy_catch_up {
public:
    policy_catch_up(const policy_catch_up_settings& settings, std::uint64_t seed)
        : settings_(settings), random_(seed) {}

    /// \brief A peer has a policy that is newer than the own one.
    void on_newer_version(instant now);
    /// \brief A policy came into force, whatever its source.
    void on_policy();
    /// \returns the request to send now, if any. It must be followed by `on_answer`.
    std::optional<policy_request> next(std::int64_t own_version,
                                       const std::vector<policy_source>& sources,
                                       bool registry_is_sending, instant now);
    void on_answer(const std::string& instance, policy_answer answer, instant now);

    /// \returns since when a peer is known to have a newer policy, if one has.
    std::optional<instant> behind_since() const { return behind_since_; }

    /// \returns when to call `next`; nothing while no request is due or one is under way.
    std::optional<instant> next_request_at() const;

private:
    std::vector<const policy_source*> candidates(std::int64_t own_version,
                                                 const std::vector<policy_source>& sources,
                                                 bool with_failed, instant now) const;

    policy_catch_up_settings settings_;
    std::mt19937_64 random_;
    std::optional<instant> behind_since_;
    instant next_request_at_;
    bool asking_ = false;
    bool needs_whole_ = false;              ///< A peer had no changes since the own version.
    std::map<std::string, instant> failed_; ///< When each peer last failed.
};

} // namespace azureyoke::coordination
