#include "azureyoke/src/coordination/popularity_sketch.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <stdexcept>

namespace azureyoke::coordination {

popularity_sketch::popularity_sketch(std::size_t width, duration half_life)
    : width_(width), half_life_(half_life) {
    if (!std::has_single_bit(width))
        throw std::invalid_argument("popularity_sketch: width must be a power of two");
    cells_.resize(rows * width);
}

std::size_t popularity_sketch::cell_index(std::size_t row, state::piece_hash piece) const {
    constexpr std::array<std::uint64_t, rows> multipliers = {
        0x9e3779b97f4a7c15U, 0xc2b2ae3d27d4eb4fU, 0x165667b19e3779f9U, 0x27d4eb2f165667c5U};
    auto mixed = piece * multipliers[row];
    return row * width_ + ((mixed >> 32U) & (width_ - 1));
}

void popularity_sketch::decay(instant now) {
    if (decayed_at_ == instant())
        decayed_at_ = now;
    if (now - decayed_at_ < half_life_)
        return;
    decayed_at_ = now;
    for (auto& it : cells_)
        it /= 2;
}

void popularity_sketch::add(state::piece_hash piece, instant now) {
    decay(now);
    for (std::size_t row = 0; row < rows; ++row)
        ++cells_[cell_index(row, piece)];
}

std::uint32_t popularity_sketch::count(state::piece_hash piece) const {
    auto minimum = std::numeric_limits<std::uint32_t>::max();
    for (std::size_t row = 0; row < rows; ++row)
        minimum = std::min(minimum, cells_[cell_index(row, piece)]);
    return minimum;
}

} // namespace azureyoke::coordination
