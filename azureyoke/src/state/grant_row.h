#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureyoke::state {

/// \brief One instance's share of its data centre's limits, in millionths.
struct share_grant {
    std::string owner;
    std::uint64_t incarnation = 0;
    std::string lessor;    ///< The only instance that may reclaim the grant; may be empty.
    std::int64_t part = 0; ///< Share in force.
    std::int64_t pending =
        0; ///< Reclaimed share, not to be spent before its previous owner's lease has expired.

    friend bool operator==(const share_grant&, const share_grant&) = default;
};

/// \brief The table row that divides a data centre's share among its instances.
struct grant_row {
    std::vector<share_grant> grants; ///< Sorted by owner, without duplicates.

    friend bool operator==(const grant_row&, const grant_row&) = default;
};

/// \returns the grant of `owner`, or null.
const share_grant* find_grant(const grant_row& row, std::string_view owner);
/// \returns the millionths that no grant holds; negative when the row is invalid.
std::int64_t unallocated_part(const grant_row& row);

std::string to_text(const grant_row& row);
/// \returns std::nullopt when the text is not a valid row or its shares exceed 1'000'000
/// millionths.
std::optional<grant_row> parse_grant_row(std::string_view text);

} // namespace azureyoke::state
