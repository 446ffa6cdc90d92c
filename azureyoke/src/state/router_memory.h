#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/state/prefix_chain.h"

namespace azureyoke::state {

/// \brief A prompt piece that a replica was last known to hold `age_ms` before the snapshot.
struct remembered_piece {
    piece_hash piece = 0;
    std::int64_t age_ms = 0;

    friend bool operator==(const remembered_piece&, const remembered_piece&) = default;
};

/// \brief The state of one replica in a router snapshot.
struct replica_snapshot {
    std::string name;
    std::string incarnation;     ///< The pieces apply to this incarnation only.
    std::string weights;         ///< The pieces apply to these weights only.
    double speed = 0;            ///< Prompt tokens per second.
    double eviction_seconds = 0; ///< Mean age of pieces at eviction; 0 when unknown.
    std::vector<remembered_piece> pieces;

    friend bool operator==(const replica_snapshot&, const replica_snapshot&) = default;
};

/// \brief Snapshot of a router's estimates and cache index, restored when an instance restarts.
struct router_memory {
    std::int64_t stored_ms = 0; ///< Unix time of the snapshot, to which the ages refer.
    std::vector<replica_snapshot> replicas;

    friend bool operator==(const router_memory&, const router_memory&) = default;
};

std::string to_text(const router_memory& memory);
/// \returns std::nullopt when the text is not a valid snapshot.
std::optional<router_memory> parse_router_memory(std::string_view text);

} // namespace azureyoke::state
