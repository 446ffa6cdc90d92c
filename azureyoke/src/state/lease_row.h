#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azureyoke::state {

/// \brief The table row of a lease.
struct lease_row {
    std::string holder; ///< Empty when the lease was released.
    std::uint64_t incarnation = 0;
    std::int64_t fencing_token = 0; ///< Increases with each new holder.

    friend bool operator==(const lease_row&, const lease_row&) = default;
};

std::string to_text(const lease_row& row);
/// \returns std::nullopt when the text is not a valid row.
std::optional<lease_row> parse_lease_row(std::string_view text);

} // namespace azureyoke::state
