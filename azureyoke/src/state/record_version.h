#pragma once

#include <compare>
#include <cstdint>

namespace azureyoke::state {

/// Higher eras are rejected as invalid, because no store is restored this often.
constexpr std::int64_t max_era = 1'000'000'000;

/// \brief Version of a record in a store that may be restored from an older copy of itself.
///
/// A restore resets the numbers to those of the copy, and the store assigns them again. Numbers are
/// therefore comparable only within one era; the era increases with each restore. A store that is
/// never restored stays in era 0.
struct record_version {
    std::int64_t era = 0;
    std::int64_t number = 0; ///< 0 when the record does not exist.

    bool absent() const { return number == 0; }

    friend auto operator<=>(const record_version&, const record_version&) = default;
};

} // namespace azureyoke::state
