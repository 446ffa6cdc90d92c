#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/popularity_sketch.h"
#include "azureyoke/src/coordination/replica_tracker.h"
#include "azureyoke/src/state/prefix_index.h"

namespace azureyoke::coordination {

/// \brief A prompt that needs a replica.
struct placement_request {
    std::span<const state::piece_hash> prefix_hashes;
    std::int64_t prompt_tokens = 0;
    std::int64_t piece_tokens = 2000;
    std::vector<replica_number> candidates; ///< Never empty.
};

/// \brief Estimated cost of one candidate, kept for `explain`.
struct placement_estimate {
    replica_number replica = 0;
    std::int64_t cached_tokens = 0;
    double distance_seconds = 0;
    double queue_seconds = 0;
    double compute_seconds = 0;
    double score = 0; ///< The lowest wins.

    friend bool operator==(const placement_estimate&, const placement_estimate&) = default;
};

struct placement {
    replica_number replica = 0;
    std::int64_t expected_cached_tokens = 0;
    /// Age of the oldest cache entry that is expected to be hit.
    double oldest_expected_seconds = 0;
    std::vector<placement_estimate> estimates;

    friend bool operator==(const placement&, const placement&) = default;
};

/// \brief Strategy that chooses the replica of a request.
class placement_policy {
public:
    virtual ~placement_policy() = default;
    /// \pre `request.candidates` is not empty.
    virtual placement choose(const placement_request& request, instant now) = 0;
};

/// \brief Chooses replicas in rotation. A baseline.
class round_robin_policy : public placement_policy {
public:
    placement choose(const placement_request& request, instant now) override;

private:
    std::size_t next_ = 0;
};

/// \brief Chooses the replica with the shortest estimated queue. A baseline.
class least_loaded_policy : public placement_policy {
public:
    explicit least_loaded_policy(const replica_tracker& tracker) : tracker_(tracker) {}

    placement choose(const placement_request& request, instant now) override;

private:
    const replica_tracker& tracker_;
};

/// \brief Rendezvous hashing on the first piece, without regard to load. A baseline.
class prefix_hash_policy : public placement_policy {
public:
    explicit prefix_hash_policy(const replica_tracker& tracker) : tracker_(tracker) {}

    placement choose(const placement_request& request, instant now) override;

private:
    const replica_tracker& tracker_;
};

/// \brief Chooses the replica that has most of the prompt cached, without regard to load. A
/// baseline.
class longest_match_policy : public placement_policy {
public:
    longest_match_policy(const replica_tracker& tracker, const state::prefix_index& index)
        : tracker_(tracker), index_(index) {}

    placement choose(const placement_request& request, instant now) override;

private:
    const replica_tracker& tracker_;
    const state::prefix_index& index_;
};

struct first_token_settings {
    double recompute_weight = 1; ///< Cost to queued requests per second of prompt computation.
    /// Probability that a shared prefix is cached at its preferred replica although the index does
    /// not list it there.
    double preferred_hit_probability = 0.9;
    std::uint32_t shared_use_threshold = 4; ///< Uses from which on a prefix counts as shared.
    double remote_seconds = 0.002;          ///< Added delay of a replica in another data centre.
    std::string data_centre;                ///< Data centre of this instance.
    /// Replicas with a shorter queue have room. A replica that ramps up is used beyond its pace
    /// when no other one has.
    duration room_backlog = std::chrono::milliseconds(500);

    friend bool operator==(const first_token_settings&, const first_token_settings&) = default;
};

/// \brief Chooses the replica with the lowest estimated time to first token.
///
/// The estimate is distance + lag-corrected queue + uncached tokens over learned speed. The
/// uncached tokens count for more than their own time, since computing them delays the requests
/// queued behind. A prefix that is cached at no known replica goes to its preferred replica by
/// weighted rendezvous hashing, which all instances compute identically without messages, unless
/// the queue there costs more than the cache hit saves.
class first_token_policy : public placement_policy {
public:
    first_token_policy(const first_token_settings& settings, const replica_tracker& tracker,
                       const state::prefix_index& index, const popularity_sketch& popularity);
    placement choose(const placement_request& request, instant now) override;

private:
    std::size_t shared_pieces(std::span<const state::piece_hash> prefix_hashes) const;
    /// \returns the candidates without those beyond their pace, as far as others have room.
    std::vector<replica_number> within_pace(const std::vector<replica_number>& candidates,
                                            instant now) const;
    replica_number preferred_replica(const std::vector<replica_number>& candidates,
                                     state::piece_hash key) const;

    first_token_settings settings_;
    const replica_tracker& tracker_;
    const state::prefix_index& index_;
    const popularity_sketch& popularity_;
};

} // namespace azureyoke::coordination
