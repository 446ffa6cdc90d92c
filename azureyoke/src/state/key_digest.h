#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace azureyoke::state {

/// \brief SHA-256 digest of a caller's key. The key itself is never stored.
struct key_digest {
    std::array<std::uint8_t, 32> bytes{};

    friend auto operator<=>(const key_digest&, const key_digest&) = default;
};

/// \brief Computes the digest of `secret`. Thread safe.
key_digest compute_digest(std::string_view secret);

/// \brief Parses `sha256:` followed by 64 hexadecimal digits.
/// \returns std::nullopt when the text has another form.
std::optional<key_digest> parse_key_digest(std::string_view text);

/// \brief Formats a digest as `sha256:` followed by 64 hexadecimal digits.
std::string to_string(const key_digest& digest);

/// \returns the first eight hexadecimal digits, the only form that logs and audit entries show.
std::string short_digest(const key_digest& digest);

/// \brief Computes the hexadecimal SHA-256 of `text`, used to detect equal documents and requests.
std::string content_digest(std::string_view text);

/// \brief The same for a text that consists of `pieces`, which are not joined
/// in memory.
std::string content_digest(std::initializer_list<std::string_view> pieces);

} // namespace azureyoke::state
