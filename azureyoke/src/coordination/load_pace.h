#pragma once

#include <cstddef>
#include <optional>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct load_pace_settings {
    /// Share of the servers that load at once before anything was learned, and at least so many.
    double first_share = 0.0625;
    std::size_t least_first = 2;
    /// Share of the servers that the others can do without.
    double most_share = 0.25;
    /// A load is slowed by others when it takes so many times as long as the shortest one, and
    /// longer than that by what the servers' reports lag behind.
    double slowed = 1.25;
    duration report_lag = std::chrono::milliseconds(300);
    duration first_load = std::chrono::seconds(2); ///< Taken for a load's time before one ended.

    friend bool operator==(const load_pace_settings&, const load_pace_settings&) = default;
};

/// \brief How many servers load weights at once.
///
/// Load pattern: servers load from one place, which carries a number of loads that nobody tells at
/// full speed and shares its speed beyond it. More loads at once then end no sooner and keep more
/// servers from their work. The number rises while loads take their shortest time and falls to what
/// was carried as soon as they lengthen. Pure. Not thread safe.
class load_pace {
public:
    explicit load_pace(const load_pace_settings& settings) : settings_(settings) {}

    /// \returns how many of `servers` may load at once. \pre `servers` > 0.
    std::size_t at_once(std::size_t servers) const;

    /// \brief A load ended. `beside`: most loads under way at a time meanwhile, itself included.
    void on_load(duration took, std::size_t beside, std::size_t servers);

    /// \returns the shortest time that a load took, a guess before the first.
    duration load_time() const { return shortest_.value_or(settings_.first_load); }

private:
    load_pace_settings settings_;
    std::optional<duration> shortest_;
    std::optional<std::size_t> learned_;
    std::size_t in_time_ = 0; ///< Loads since `learned_` changed.
    bool slowed_once_ = false;
};

} // namespace azureyoke::coordination
