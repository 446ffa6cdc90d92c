#pragma once

#include <cstddef>
#include <optional>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct load_concurrency_settings {
    /// Share of the servers that may load at the same time before anything is learned, and the
    /// least number of servers for the initial and the largest limit.
    double initial_share = 0.0625;
    std::size_t min_initial = 2;
    /// Largest share of the servers that may load at the same time: the others carry their
    /// requests.
    double max_share = 0.25;
    /// A load counts as slowed by concurrent loads when it takes more than `slowed_ratio` times as
    /// long as the shortest one, and exceeds it by more than the lag of the servers' reports.
    double slowed_ratio = 1.25;
    duration report_lag = std::chrono::milliseconds(300);
    duration initial_load_time = std::chrono::seconds(2); ///< Assumed until the first load ends.

    friend bool operator==(const load_concurrency_settings&,
                           const load_concurrency_settings&) = default;
};

/// \brief Limits how many servers load weights at the same time.
///
/// Load pattern: servers load from one source. The source serves an unknown number of concurrent
/// loads at full speed and divides its bandwidth among more. Loads beyond that number end no sooner
/// and keep more servers out of service. The limit rises while loads take their shortest time, and
/// falls to the sustained concurrency as soon as loads lengthen. Pure. Not thread safe.
class load_concurrency_limiter {
public:
    explicit load_concurrency_limiter(const load_concurrency_settings& settings)
        : settings_(settings) {}

    /// \returns how many of `servers` may load at the same time. \pre `servers` > 0.
    std::size_t limit(std::size_t servers) const;

    /// \brief Records a finished load. `concurrent` is the largest number of loads that ran at the
    /// same time during it, itself included.
    void on_load_finished(duration took, std::size_t concurrent, std::size_t servers);

    /// \returns the shortest time that a load took; `initial_load_time` before the first.
    duration shortest_load() const { return shortest_.value_or(settings_.initial_load_time); }

private:
    load_concurrency_settings settings_;
    std::optional<duration> shortest_;
    std::optional<std::size_t> learned_limit_;
    std::size_t unslowed_loads_ = 0; ///< Loads since `learned_limit_` changed.
    bool slowed_before_ = false;
};

} // namespace azureyoke::coordination
