#pragma once

#include <algorithm>
#include <cstdint>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/dispatch_notice.h"

namespace azureyoke::app {

/// \brief Token bucket that limits the bytes per second of dispatch notices to all peers.
///
/// Notices over the limit are not sent; placement then uses only load reports and hashing. The
/// number of notices grows with traffic times peers, so that a large fleet exceeds the limit.
class notice_rate_limiter {
public:
    /// \returns whether `notice` may be sent to `peers` peers now, and if so charges its bytes.
    bool try_acquire(const state::dispatch_notice& notice, std::size_t peers,
                     coordination::instant now) {
        level_ = std::min(max_bytes,
                          level_ + coordination::to_seconds(now - refilled_at_) * bytes_per_second);
        refilled_at_ = now;
        auto cost =
            static_cast<double>(peers * (fixed_bytes + notice.replica.size() +
                                         notice.prefix_hashes.size() * sizeof(state::piece_hash)));
        if (cost > level_)
            return false;
        level_ -= cost;
        return true;
    }

private:
    static constexpr double bytes_per_second = 8 * 1024;
    static constexpr double max_bytes = 64 * 1024;
    static constexpr std::size_t fixed_bytes =
        48; ///< Size of a message without its strings and lists.

    double level_ = max_bytes;
    coordination::instant refilled_at_;
};

} // namespace azureyoke::app
