#pragma once

#include <cstdint>
#include <string>

namespace azureyoke::state {

/// \brief Tells peers to send a replica no new requests, because it is about to change its weights.
///
/// The notice is repeated while the drain lasts and expires after `valid_ms`, so that neither a
/// lost notice nor a sender that stops without ending the drain does harm.
struct drain_notice {
    std::string replica;
    std::int64_t valid_ms = 0; ///< Validity from receipt; 0 ends the drain at once.

    friend bool operator==(const drain_notice&, const drain_notice&) = default;
};

} // namespace azureyoke::state
