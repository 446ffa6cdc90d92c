#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/prefix_hashes.h"

namespace azureyoke::coordination {

/// \brief Counts recent uses of each prefix in fixed memory: a count-min sketch whose counts halve
/// once per half-life.
///
/// Never underestimates within a half-life. Source: Cormode and Muthukrishnan, "An improved data
/// stream summary: the count-min sketch and its applications", 2005. Not thread safe.
class popularity_sketch {
public:
    /// \pre `width` is a power of two.
    popularity_sketch(std::size_t width, duration half_life);

    void add(state::piece_hash piece, instant now);
    std::uint32_t count(state::piece_hash piece) const;

private:
    static constexpr std::size_t rows = 4;

    std::size_t cell_index(std::size_t row, state::piece_hash piece) const;
    void decay(instant now);

    std::size_t width_;
    duration half_life_;
    instant decayed_at_;
    std::vector<std::uint32_t> cells_;
};

} // namespace azureyoke::coordination
