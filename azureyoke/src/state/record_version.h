#pragma once

#include <compare>
#include <cstdint>

namespace azureyoke::state {

/// Eras above this one are not believed: so often no store returns.
constexpr std::int64_t most_era = 1'000'000'000;

/// \brief Version of a record in a store that may come back from an older copy of itself.
///
/// Numbers go back with the copy and are given out again, so that a number says nothing without
/// the era, which rises with each return. A store without such returns has era 0 for ever.
struct record_version {
    std::int64_t era = 0;
    std::int64_t number = 0; ///< 0: there is no such record.

    bool absent() const { return number == 0; }

    friend auto operator<=>(const record_version&, const record_version&) = default;
};

} // namespace azureyoke::state
