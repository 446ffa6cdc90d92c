#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/coordination/write_result.h"
#include "azureyoke/src/state/lease_row.h"

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
    std::uint64_t number = 0;          ///< Handed back with the answer.
    std::int64_t expected_version = 0; ///< For a write.
    state::lease_row row;              ///< For a write.

    friend bool operator==(const lease_action&, const lease_action&) = default;
};

/// \brief Holds, or waits for, a lease that a row of the platform's table stands for.
///
/// The holder may act until `lapse` - `margin` after the sending of its last write that the table
/// confirmed, by its own monotonic clock, so that a pause or a lost answer only shortens its time.
/// Another instance takes the row over once it has seen no write to it for `lapse` + `margin` +
/// `longest_effect`, and raises the fencing number. No clock is compared with another one.
/// Pure. Not thread safe.
class table_lease {
public:
    table_lease(const lease_settings& settings, std::string self, std::uint64_t incarnation);

    /// \brief Whether this instance needs the lease. When it no longer does, it gives it back.
    void want(bool wanted) { wanted_ = wanted; }

    /// \brief How to follow the row without wanting it, so that the time since a holder's last
    /// write is known when the lease is wanted.
    void watch(lease_watch how) { watch_ = how; }

    std::vector<lease_action> tick(instant now);
    /// \brief The row as the table holds it; version 0 when it is absent. An answer that came
    /// after its timeout is ignored, here and below.
    std::vector<lease_action> on_row(std::uint64_t number, std::int64_t version,
                                     const state::lease_row& row, instant now);
    void on_read_failed(std::uint64_t number);
    void on_write(std::uint64_t number, write_result result, std::int64_t version);

    bool held(instant now) const { return now < until_; }

    /// \brief Fencing number of the lease as it is or was last held.
    std::int64_t fence() const { return fence_; }

private:
    lease_action start(lease_step step, instant now);
    bool is_pending(std::uint64_t number);
    std::vector<lease_action> give_back(instant now);
    lease_action write(std::int64_t expected_version, const state::lease_row& row, instant now);
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
    std::int64_t fence_ = 0;
    std::int64_t own_version_ = 0; ///< Of the row while it names this instance; else 0.
    std::int64_t seen_version_ = 0;
    instant seen_at_; ///< When `seen_version_` was first read.
    state::lease_row written_;
    instant written_at_;
};

} // namespace azureyoke::coordination
