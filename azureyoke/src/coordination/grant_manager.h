#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/coordination/write_result.h"
#include "azureyoke/src/state/grant_row.h"

namespace azureyoke::coordination {

struct grant_settings {
    duration lease_duration = std::chrono::seconds(6);
    /// Clocks may run at unequal speed.
    duration clock_drift_margin = std::chrono::milliseconds(600);
    duration read_interval = std::chrono::seconds(2); ///< Between reads of the row.
    duration read_interval_without_part = std::chrono::milliseconds(250);
    /// Between requests to the lessor to renew the lease.
    duration ping_interval = std::chrono::seconds(1);
    duration answer_timeout = std::chrono::seconds(5);

    friend bool operator==(const grant_settings&, const grant_settings&) = default;
};

enum class grant_step { read_row, write_row, ping_lessor };

/// \brief A table or peer request that the driver must carry out.
struct grant_action {
    grant_step step = grant_step::read_row;
    std::uint64_t number = 0;          ///< For a write: passed back with its answer.
    std::int64_t expected_version = 0; ///< For a write.
    state::grant_row row;              ///< For a write.
    std::string lessor;                ///< For a ping.

    friend bool operator==(const grant_action&, const grant_action&) = default;
};

/// \brief Manages one instance's grant: its part of the data centre's share, held under a lease.
///
/// The table row names for each grant an owner and a lessor, the only instance that may reclaim the
/// grant while either of them runs. Each proof that the grant was not reclaimed, by a read of the
/// row or by the lessor, extends the lease to `lease_duration` after the request for the proof was
/// sent. A reclaimed part is spent only `lease_duration` + `clock_drift_margin` after the write
/// that reclaimed it: by then the lease has expired by the old owner's clock, even when that owner
/// was paused or partitioned. Fault pattern: during an outage of the platform owners and lessors
/// renew each other's leases, and no grant is reassigned. A grant without a lessor, such as that of
/// the only instance of a data centre, has a lease without end: it is reclaimed only when the
/// platform reports that its owner has ended. Pure. Not thread safe.
class grant_manager {
public:
    grant_manager(const grant_settings& settings, std::string self, std::uint64_t incarnation);

    /// \brief Sets the live instances of the own data centre; the own name is ignored.
    void set_live_instances(std::set<std::string> names);

    /// \brief Sets the instances that have ended: the platform listed them before and has not for
    /// long enough.
    void set_ended(std::set<std::string> names) { ended_ = std::move(names); }

    /// \brief Starts to return the part of this instance, which is leaving, to the row.
    void leave() { leaving_ = true; }

    std::vector<grant_action> tick(instant now);
    /// \brief Handles a row whose read was sent at `sent`.
    std::vector<grant_action> on_row(std::int64_t version, const state::grant_row& row,
                                     instant sent, instant now);
    void on_read_failed();
    /// \brief Handles the answer to write `number`. An answer after the timeout is ignored: the
    /// next read of the row shows whether the write was applied.
    void on_write(std::uint64_t number, write_result result, std::int64_t version, instant now);

    /// \brief Extends the lease: lessor `from` confirmed the grant in answer to a ping sent at
    /// `sent`.
    void on_lease_renewed(const std::string& from, instant sent);
    /// \returns whether this instance, as lessor, renews the lease on the grant of `owner`.
    bool renew_lease_of(const std::string& owner, std::uint64_t incarnation, instant now);

    /// \returns the millionths of the data centre's share that may be spent while the lease is
    /// valid.
    std::int64_t part() const { return part_; }

    instant lease_end() const { return lease_end_; }

    /// \returns whether the row no longer has a part of this instance after `leave`.
    bool has_left() const { return has_left_; }

private:
    struct lessee {
        std::uint64_t incarnation = 0;
        instant confirmed; ///< Last renewal, or when the row first named this instance as lessor.
        bool reclaiming = false;
    };

    state::grant_row plan_row(const state::grant_row& row, instant now);
    void plan_own(state::grant_row& row, instant now);
    void plan_reclaims(state::grant_row& row, instant now);
    void plan_return(state::grant_row& row);
    std::string choose_lessor(const state::grant_row& row) const;
    void update_lessees(const state::grant_row& row, instant now);
    void extend_lease(const state::share_grant& own, instant sent);
    void adopt_own_grant(const state::grant_row& row, instant now);
    bool may_reclaim(const state::share_grant& grant, instant now) const;

    grant_settings settings_;
    std::string self_;
    std::uint64_t incarnation_;
    std::set<std::string> live_;
    std::set<std::string> ended_;
    std::map<std::string, lessee> lessees_;
    bool leaving_ = false;
    bool has_left_ = false;
    bool request_pending_ = false; ///< A read or write is unanswered.
    std::uint64_t last_write_number_ = 0;
    bool write_pending_ = false; ///< The write `last_write_number_` is unanswered.
    instant request_sent_;
    instant next_read_;
    instant next_ping_;
    std::int64_t part_ = 0;
    std::string lessor_;
    instant lease_end_;
    /// Time from which the own pending part may be spent.
    std::optional<instant> pending_usable_from_;
    std::int64_t version_ = 0;
    state::grant_row written_row_;
};

} // namespace azureyoke::coordination
