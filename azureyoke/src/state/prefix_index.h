#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "azureyoke/src/state/prefix_hashes.h"

namespace azureyoke::state {

/// \brief Index of a replica within one prefix index; numbers are dense.
using replica_number = std::uint16_t;

/// \brief Time in ticks of any clock; only the order and differences of ticks matter.
using index_tick = std::uint32_t;

/// \brief The number of a prompt's leading pieces that a replica holds.
struct prefix_match {
    replica_number replica = 0;
    std::uint32_t pieces = 0;

    friend bool operator==(const prefix_match&, const prefix_match&) = default;
};

/// \brief Records which replicas hold which prompt pieces, in memory fixed at construction.
///
/// A set-associative table: a piece is stored in the one bucket that its hash selects, and a full
/// bucket evicts its oldest entry. Each entry takes 16 bytes. Entries belong to a generation of
/// their replica; `begin_generation` drops all older ones in constant time. Not thread safe.
class prefix_index {
public:
    /// \brief Allocates room for at least `entries` entries.
    /// \pre `entries` > 0; throws std::invalid_argument otherwise.
    explicit prefix_index(std::size_t entries);

    /// \brief Records that `replica` holds `piece`, or updates the stamp of the existing entry.
    void insert(piece_hash piece, replica_number replica, index_tick now);
    void erase(piece_hash piece, replica_number replica);

    /// \brief Drops every entry of `replica`, when the replica restarted or changed its weights.
    void begin_generation(replica_number replica);

    /// \brief Ignores entries of `replica` older than `tick`. The caller derives `tick` from its
    /// estimate of the replica's eviction age.
    void set_horizon(replica_number replica, index_tick tick);

    /// \returns the replicas that hold at least the first piece of `prefix_hashes`, with match
    /// lengths.
    std::vector<prefix_match> match(std::span<const piece_hash> prefix_hashes) const;

    /// \returns the number of leading pieces of `prefix_hashes` that `replica` holds.
    std::uint32_t match_length(std::span<const piece_hash> prefix_hashes,
                               replica_number replica) const;

    /// \returns the lowest stamp among the first `pieces` pieces of `prefix_hashes` on `replica`.
    /// \pre `replica` holds these pieces.
    index_tick oldest_stamp(std::span<const piece_hash> prefix_hashes, std::uint32_t pieces,
                            replica_number replica) const;

    /// \returns the tick at which `replica` was last recorded to hold `piece`, or std::nullopt.
    std::optional<index_tick> find_stamp(piece_hash piece, replica_number replica) const;

    std::size_t capacity() const { return buckets_.size() * ways; }

    std::size_t memory_bytes() const { return buckets_.size() * sizeof(bucket); }

private:
    static constexpr std::size_t ways = 16;

    struct entry {
        piece_hash piece = 0;
        index_tick stamp = 0;
        replica_number replica = 0;
        std::uint16_t generation = 0; ///< 0 marks a free entry.
    };

    using bucket = std::array<entry, ways>;

    struct replica_record {
        std::uint16_t generation = 1;
        index_tick horizon = 0; ///< Entries with lower stamps are ignored.
    };

    /// Whether the entry belongs to its replica's current generation and is not older than the
    /// replica's horizon.
    bool is_live(const entry& it) const;
    bucket& bucket_of(piece_hash piece);
    const bucket& bucket_of(piece_hash piece) const;
    replica_record& record_of(replica_number replica);

    std::vector<bucket> buckets_;
    std::vector<replica_record> replicas_;
};

} // namespace azureyoke::state
