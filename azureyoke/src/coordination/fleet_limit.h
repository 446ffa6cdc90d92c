#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "azureyoke/src/coordination/member_silence.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct fleet_limit_settings {
    duration silence = member_silence; ///< Then a member's spending is unknown.
    /// A member that spends reports every 100 ms. One that was not heard for three times as long
    /// may be cut off: its part of the rate waits for its next report.
    duration doubt = std::chrono::milliseconds(300);
    double report_share = 0.04; ///< Of a burst: spending that peers are told of at once.
    /// Of a burst: what all members together may spend before they tell each other at once.
    double untold_share = 0.16;
    /// Over which a limit is judged: rate x window + burst may be spent in any. 0: a limit is a
    /// bucket of one burst that fills at the rate.
    duration window{};
    /// Part of the burst that is dealt out evenly over the window. A bucket that was emptied once
    /// would let only the rate pass from then on, which is less than the window allows; what is
    /// left of the burst is for requests that come together.
    double dealt_part = 0.5; ///< Below 1.

    friend bool operator==(const fleet_limit_settings&, const fleet_limit_settings&) = default;
};

/// \brief One workspace's limit over all instances: a bucket of which each instance keeps a copy.
///
/// Load pattern: a hot workspace whose callers are spread unevenly over the instances, and want
/// more than their rate for long or in bursts. Each instance takes its own spending from its copy
/// at once and that of its peers as they report it, by counters that only rise, so that a lost
/// report is made good by the next one. While a member is silent its even part of the rate is held
/// back, so that all sides of a cut together stay within the limit; for a short silence it is given
/// back with the member's next report. A bucket starts empty, since a restarted instance does not
/// know what was spent before. Pure. Not thread safe.
class fleet_limit {
public:
    fleet_limit(const fleet_limit_settings& settings, double rate, double burst, instant now);

    /// \brief Changes the limit. What is held shrinks with the burst and never grows at once.
    void set(double rate, double burst, instant now);
    /// \brief Counted members, this instance included, and how many of them are silent.
    void set_members(int all, int silent, instant now);
    /// \returns whether `cost` may be spent, and spends it.
    bool take(double cost, instant now);
    /// \brief Gives back what was not used.
    void refund(double cost);
    /// \brief A peer's counter. A peer's first report, or its first after silence, sets the base.
    void on_peer_spent(const std::string& peer, std::uint64_t incarnation, double total,
                       instant now);
    /// \brief Seconds until `cost` can be spent, if nobody else spends.
    double seconds_until(double cost, instant now);

    double rate() const { return rate_; }

    double burst() const { return burst_; }

    /// \brief What may be spent now; below 0 while a large request is paid off.
    double available(instant now) {
        refill(now);
        return level_;
    }

    /// \brief Part of the rate that is not held back for silent members.
    double usable_part() const { return heard_share_; }

    /// \brief What this instance has spent since its start.
    double spent() const { return spent_; }

    /// \brief Whether peers must be told of the spending now.
    bool report_due() const;

    void on_reported() { reported_ = spent_; }

private:
    struct peer_counter {
        std::uint64_t incarnation = 0;
        double total = 0;
        instant heard;
        double held_back = 0; ///< Of the rate, since it was last heard.
    };

    void refill(instant now);

    /// Most that the bucket holds, and how fast it fills; a window never gets more than it may.
    double depth() const;
    double fill_rate() const;

    fleet_limit_settings settings_;
    double rate_;
    double burst_;
    double level_ = 0;
    instant refilled_;
    double heard_share_ = 1;
    int members_ = 1;
    double spent_ = 0;
    double reported_ = 0;
    std::map<std::string, peer_counter> peers_;
};

} // namespace azureyoke::coordination
