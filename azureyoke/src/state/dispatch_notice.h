#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "azureyoke/src/state/prefix_hashes.h"

namespace azureyoke::state {

/// \brief Stage of a request at a replica.
enum class notice_kind {
    dispatched,
    first_token, ///< The replica has computed the prompt.
    ended
};

/// \brief Tells peers that a request reached a new stage at a replica.
///
/// A notice is small and sent at once, so that every instance accounts for the queue that other
/// instances build up long before a load report shows it, and estimates the same replica speeds.
/// A lost notice only makes these estimates less accurate.
struct dispatch_notice {
    notice_kind kind = notice_kind::dispatched;
    std::string replica; ///< Name; a replica's number differs between instances.
    std::uint64_t call = 0;
    std::int64_t uncached_tokens = 0; ///< Estimated when dispatched, actual when ended; else 0.
    /// Prefix hashes of the prompt; only when dispatched.
    std::vector<piece_hash> prefix_hashes;

    friend bool operator==(const dispatch_notice&, const dispatch_notice&) = default;
};

} // namespace azureyoke::state
