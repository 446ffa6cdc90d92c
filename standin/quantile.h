#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace azureyoke::standin {

/// \returns the `q` quantile of `values` (0 <= q <= 1) without interpolation, or 0 without values.
inline double quantile(std::vector<double> values, double q) {
    if (values.empty())
        return 0;
    auto last_index = static_cast<double>(values.size() - 1);
    auto index = static_cast<std::ptrdiff_t>(q * last_index);
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

} // namespace azureyoke::standin
