#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/state/prefix_hashes.h"

namespace azureyoke::state {

/// \brief A prompt piece that a replica was last known to hold `age_ms` before the snapshot.
struct snapshot_piece {
    piece_hash piece = 0;
    std::int64_t age_ms = 0;

    friend bool operator==(const snapshot_piece&, const snapshot_piece&) = default;
};

/// \brief The state of one replica in a router snapshot.
struct replica_snapshot {
    std::string name;
    std::string incarnation;     ///< The pieces apply to this incarnation only.
    std::string weights;         ///< The pieces apply to these weights only.
    double speed = 0;            ///< Prompt tokens per second.
    double eviction_seconds = 0; ///< Mean age of pieces at eviction; 0 when unknown.
    std::vector<snapshot_piece> pieces;

    friend bool operator==(const replica_snapshot&, const replica_snapshot&) = default;
};

/// \brief Snapshot of a router's estimates and cache index, restored when an instance restarts.
struct router_snapshot {
    std::int64_t stored_ms = 0; ///< Unix time of the snapshot, to which the ages refer.
    std::vector<replica_snapshot> replicas;

    friend bool operator==(const router_snapshot&, const router_snapshot&) = default;
};

std::string to_text(const router_snapshot& snapshot);
/// \returns std::nullopt when the text is not a valid snapshot.
std::optional<router_snapshot> parse_router_snapshot(std::string_view text);

} // namespace azureyoke::state
