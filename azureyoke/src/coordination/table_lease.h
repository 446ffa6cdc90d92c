#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/coordination/write_result.h"
#include "azureyoke/src/state/lease_row.h"
#include "azureyoke/src/state/record_version.h"

namespace azureyoke::coordination {

struct lease_settings {
    duration lapse = std::chrono::seconds(6);
    duration margin = std::chrono::milliseconds(600); ///< For clocks that run at unequal speed.
    duration period = std::chrono::seconds(1);        ///< Between reads or renewals of the row.
    /// Longest time from the holder's decision to the effect of what it sent. A successor waits it
    /// out, for the sake of servers that do not check fencing numbers.
    duration longest_effect = std::chrono::seconds(4);
    duration answer_timeout = std::chrono::seconds(5);
    duration watch_period = std::chrono::seconds(5); ///< Between reads of one that only watches.

    friend bool operator==(const lease_settings&, const lease_settings&) = default;
};

/// \brief Settings of the lease whose holder gives orders to backend servers. Their values bound
/// the takeover from a dead holder: lapse, margin, effect and one period, 4.7 s in all.
lease_settings settings_of_order_lease();

/// \brief How one that does not want the lease follows it.
enum class lease_watch {
    none,
    loosely, ///< By `watch_period`: nobody needs the lease now.
    closely  ///< By `period`: somebody needs it, and its holder may end.
};

enum class lease_step { read_row, write_row };

/// \brief What the driver must do next for the lease.
struct lease_action {
    lease_step step = lease_step::read_row;
    std::uint64_t number = 0;               ///< Handed back with the answer.
    std::int64_t era = 0;                   ///< Of the row: each era of the table has its own.
    state::record_version expected_version; ///< For a write.
    state::lease_row row;                   ///< For a write.

    friend bool operator==(const lease_action&, const lease_action&) = default;
};

/// \brief Holds, or waits for, a lease that a row of the platform's table stands for.
///
/// The holder may act until `lapse` - `margin` after the sending of its last write that the table
/// confirmed, by its own monotonic clock, so that a pause or a lost answer only shortens its time.
/// Another instance takes the row over once it has seen no write to it for `lapse` + `margin` +
/// `longest_effect`, and raises the fencing number. No clock is compared with another one.
///
/// Fault pattern: the table comes back from an older copy, which lacks the holder's last writes and
/// gives their versions out again. Each era has a row of its own, so that a write of an older era,
/// whenever it arrives, meets no holder of the new one. Nobody holds the lease in a new era before
/// the time is over in which a holder of the old one may still act, and fencing numbers of an era
/// are above all of the eras before. Pure. Not thread safe.
class table_lease {
public:
    table_lease(const lease_settings& settings, std::string self, std::uint64_t incarnation);

    /// \brief Whether this instance needs the lease. When it no longer does, it gives it back.
    void want(bool wanted) { wanted_ = wanted; }

    /// \brief How to follow the row without wanting it, so that the time since a holder's last
    /// write is known when the lease is wanted.
    void watch(lease_watch how) { watch_ = how; }

    std::vector<lease_action> tick(instant now);
    /// \brief The table is in this era, as an answer or a peer says. Eras never go back.
    void on_era(std::int64_t era);
    /// \brief The row as the table holds it. An answer that came after its timeout, or of another
    /// era than the lease's, changes nothing, here and below.
    std::vector<lease_action> on_row(std::uint64_t number, const state::record_version& version,
                                     const state::lease_row& row, instant now);
    void on_read_failed(std::uint64_t number);
    /// \param version What the row has now when the result is `written`.
    void on_write(std::uint64_t number, write_result result, const state::record_version& version);

    bool held(instant now) const { return now < until_; }

    /// \brief Fencing number of the lease as it is or was last held.
    std::int64_t fence() const { return fence_; }

private:
    lease_action start(lease_step step, instant now);
    bool is_pending(std::uint64_t number);
    std::vector<lease_action> give_back(instant now);
    lease_action write(const state::record_version& expected_version, const state::lease_row& row,
                       instant now);
    std::int64_t next_fence(const state::lease_row& row) const;
    bool own(const state::lease_row& row) const;

    lease_settings settings_;
    std::string self_;
    std::uint64_t incarnation_;
    bool wanted_ = false;
    lease_watch watch_ = lease_watch::none;
    instant last_read_;
    std::uint64_t last_number_ = 0;
    bool busy_ = false; ///< The read or write `last_number_` is under way.
    instant busy_since_;
    instant unwanted_since_;
    instant next_;
    instant until_;
    std::int64_t era_ = 0;
    std::int64_t fence_ = 0;
    state::record_version own_version_; ///< Of the row while it names this instance; else absent.
    state::record_version seen_version_;
    instant seen_at_; ///< When `seen_version_` was first read.
    state::lease_row written_;
    instant written_at_;
};

} // namespace azureyoke::coordination
