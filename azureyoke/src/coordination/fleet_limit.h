#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "azureyoke/src/coordination/member_unresponsive_timeout.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct fleet_limit_settings {
    /// A member without a report for this long is unresponsive: its spending is unknown.
    duration unresponsive_timeout = member_unresponsive_timeout;
    /// A member that spends reports every 100 ms. After three missed reports a network partition is
    /// possible, and the member's part of the rate is withheld until its next report.
    duration report_timeout = std::chrono::milliseconds(300);
    /// Fraction of the burst. An instance that spent more since its last report reports at once.
    double report_fraction = 0.04;
    /// Fraction of the burst that all members together may spend without a report. Divided by the
    /// number of members, it is an upper bound of `report_fraction`, since unreported spending adds
    /// up.
    double fleet_report_fraction = 0.16;
    /// Sliding window of the limit: any window may spend at most rate x window + burst. With 0 the
    /// limit is a token bucket of one burst that refills at the rate.
    duration window{};
    /// Fraction of the burst, below 1, that is added to the refill evenly over the window. Without
    /// it, a bucket that was emptied once would admit only the rate, which is less than the window
    /// allows. The remaining burst is the bucket's capacity for simultaneous requests.
    double spread_fraction = 0.5;
    /// Fraction of the capacity that only work which was begun before may use.
    double reserved_fraction = 0;

    friend bool operator==(const fleet_limit_settings&, const fleet_limit_settings&) = default;
};

enum class charge_kind {
    new_work,
    begun_work ///< Goes on with what was charged before, such as a stream that broke off.
};

/// \brief Token bucket of one workspace that is replicated on all instances.
///
/// Load pattern: a hot workspace whose callers are spread unevenly over the instances and ask for
/// more than their rate, in bursts or for a long time. Each instance debits its own spending from
/// its replica at once and the spending of peers when they report it. Reports carry monotonic
/// counters, so that the next report makes up for a lost one. Fault pattern: a network partition.
/// The even part of the rate of an unresponsive member is withheld, so that all sides of a
/// partition together stay within the limit; after a short gap the part is restored with the
/// member's next report. A bucket starts empty, since a restarted instance does not know the
/// spending before its start. When most instances end at once, all callers come to the few that are
/// left, with the streams that broke off: a part of each bucket is reserved for these, since
/// callers lose more with them than with requests that have not begun. Pure. Not thread safe.
class fleet_limit {
public:
    fleet_limit(const fleet_limit_settings& settings, double rate, double burst, instant now);

    /// \brief Changes the limit. The level is cut to the new capacity and never raised.
    void set(double rate, double burst, instant now);
    /// \brief Sets the number of members, this instance included, and of unresponsive ones.
    void set_members(int members, int unresponsive, instant now);
    /// \brief Debits `cost` when the bucket covers it. A cost above the capacity needs a full
    /// bucket, whose level then falls below 0.
    /// \returns whether `cost` was debited.
    bool try_acquire(double cost, instant now, charge_kind kind = charge_kind::new_work);
    /// \brief Credits unused tokens, up to the capacity.
    void refund(double cost);
    /// \brief Debits what `peer` spent since its last report. `total` is the peer's counter since
    /// its start. The first report of a peer, and the first after it was unresponsive, only sets
    /// the base.
    void on_peer_spent(const std::string& peer, std::uint64_t incarnation, double total,
                       instant now);
    /// \returns the seconds until `cost` can be spent, assuming that nothing else is spent.
    double seconds_until(double cost, instant now, charge_kind kind = charge_kind::new_work);

    double rate() const { return rate_; }

    double burst() const { return burst_; }

    /// \returns what work of this kind may use of the bucket's level; below 0 after a request
    /// larger than the capacity, and for new work while the reserve is not full.
    double available(instant now, charge_kind kind = charge_kind::begun_work) {
        refill(now);
        return level_ - reserve(kind);
    }

    /// \brief Fraction of the rate that is not withheld for unresponsive members.
    double usable_part() const { return usable_part_; }

    /// \brief Total spent by this instance since its start, refunds not deducted.
    double spent() const { return spent_; }

    /// \brief Whether unreported spending is large enough to report to peers now.
    bool report_due() const;

    /// \brief Marks all spending so far as reported.
    void on_reported() { reported_ = spent_; }

private:
    struct peer_counter {
        std::uint64_t incarnation = 0;
        double total = 0;
        instant last_report;
        double withheld = 0; ///< Tokens not refilled since `last_report`, restored by a report.
    };

    void refill(instant now);

    /// Capacity + refill rate x window = rate x window + burst, so that no window exceeds the
    /// limit.
    double capacity() const;

    /// \returns the part of the level that work of this kind must leave.
    double reserve(charge_kind kind) const {
        return kind == charge_kind::new_work ? settings_.reserved_fraction * capacity() : 0.0;
    }

    /// \returns the level from which `cost` may be debited.
    double required_level(double cost, charge_kind kind) const;
    double fill_rate() const;

    fleet_limit_settings settings_;
    double rate_;
    double burst_;
    double level_ = 0;
    instant last_refill_;
    double usable_part_ = 1;
    int members_ = 1;
    double spent_ = 0;
    double reported_ = 0; ///< Value of `spent_` in the last report.
    std::map<std::string, peer_counter> peers_;
};

} // namespace azureyoke::coordination
