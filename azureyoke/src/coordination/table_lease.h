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
    duration lease_duration = std::chrono::seconds(6);
    /// Clocks may run at unequal speed.
    duration clock_drift_margin = std::chrono::milliseconds(600);
    duration period = std::chrono::seconds(1); ///< Between reads or renewals of the row.
    /// Longest time from a holder's decision until the order that it sent takes effect. A successor
    /// waits for this time too, since some servers do not check fencing tokens.
    duration max_effect_delay = std::chrono::seconds(4);
    duration answer_timeout = std::chrono::seconds(5);
    /// Between reads for `lease_watch::infrequent`.
    duration watch_period = std::chrono::seconds(5);

    friend bool operator==(const lease_settings&, const lease_settings&) = default;
};

/// \brief Settings of the rollout leader's lease. They bound the takeover from a dead leader by
/// `lease_duration` + `clock_drift_margin` + `max_effect_delay` + `period` = 4.7 s.
lease_settings leader_lease_settings();

/// \brief How often an instance that does not want the lease reads its row.
enum class lease_watch {
    none,
    infrequent, ///< Every `watch_period`: no instance needs the lease now.
    frequent    ///< Every `period`: an instance needs the lease, and its holder may end.
};

enum class lease_step { read_row, write_row };

/// \brief A table request that the driver must carry out.
struct lease_action {
    lease_step step = lease_step::read_row;
    std::uint64_t number = 0;               ///< Passed back with the answer.
    std::int64_t era = 0;                   ///< Each era of the table has its own row.
    state::record_version expected_version; ///< For a write.
    state::lease_row row;                   ///< For a write.

    friend bool operator==(const lease_action&, const lease_action&) = default;
};

/// \brief Acquires and renews a lease that is stored in a row of the platform's table.
///
/// The holder may act until `lease_duration` - `clock_drift_margin` after it sent its last write
/// that the table confirmed, by its own monotonic clock, so that a pause or a lost answer only
/// shortens this time. Another instance takes over the row when it has seen no write to the row for
/// `lease_duration` + `clock_drift_margin` + `max_effect_delay`, and raises the fencing token.
/// Clocks of different instances are never compared.
///
/// Fault pattern: the table is restored from an older copy, which lacks the holder's last writes
/// and reuses their versions. Each era has its own row, so that a late write of an older era cannot
/// affect a holder of the new era. In a new era no instance holds the lease until a holder of the
/// old era can no longer act, and fencing tokens of an era are above those of all earlier eras.
/// Pure. Not thread safe.
class table_lease {
public:
    table_lease(const lease_settings& settings, std::string self, std::uint64_t incarnation);

    /// \brief Sets whether this instance needs the lease. A lease no longer needed is released.
    void set_wanted(bool wanted) { wanted_ = wanted; }

    /// \brief Sets how often to read the row while the lease is not wanted, so that the time of
    /// the holder's last write is known once the lease is wanted.
    void set_watch_mode(lease_watch mode) { watch_ = mode; }

    std::vector<lease_action> tick(instant now);
    /// \brief Sets the era of the table, from an answer or a peer. Lower eras are ignored.
    void on_era(std::int64_t era);
    /// \brief Handles the answer to read `number`. An answer to a read or write is ignored once a
    /// later request was sent or the era has ended. An answer of a newer era only sets the era.
    std::vector<lease_action> on_row(std::uint64_t number, const state::record_version& version,
                                     const state::lease_row& row, instant now);
    void on_read_failed(std::uint64_t number);
    /// \brief Handles the answer to write `number`.
    /// \param version New version of the row when the result is `written`.
    void on_write(std::uint64_t number, write_result result, const state::record_version& version);

    bool held(instant now) const { return now < valid_until_; }

    /// \returns the fencing token under which the lease is or was last held.
    std::int64_t fencing_token() const { return fencing_token_; }

private:
    lease_action make_request(lease_step step, instant now);
    bool finish_request(std::uint64_t number);
    std::vector<lease_action> release(instant now);
    lease_action make_write(const state::record_version& expected_version,
                            const state::lease_row& row, instant now);
    std::int64_t next_fencing_token(const state::lease_row& row) const;
    bool names_self(const state::lease_row& row) const;

    lease_settings settings_;
    std::string self_;
    std::uint64_t incarnation_;
    bool wanted_ = false;
    lease_watch watch_ = lease_watch::none;
    instant last_read_;
    std::uint64_t last_request_number_ = 0;
    bool request_pending_ = false; ///< The read or write `last_request_number_` is unanswered.
    instant request_sent_;
    instant unwanted_since_;
    instant next_step_;
    instant valid_until_;
    std::int64_t era_ = 0;
    std::int64_t fencing_token_ = 0;
    state::record_version own_version_; ///< Row version; absent unless the row names this instance.
    state::record_version seen_version_;
    instant seen_since_; ///< When `seen_version_` was first read.
    state::lease_row written_row_;
    instant write_sent_;
};

} // namespace azureyoke::coordination
