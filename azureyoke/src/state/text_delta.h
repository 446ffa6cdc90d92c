#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace azureyoke::state {

/// \brief A range of bytes of the old text.
struct text_range {
    std::size_t first = 0;
    std::size_t size = 0;

    friend bool operator==(const text_range&, const text_range&) = default;
};

/// \brief The change from one text to another: ranges of the old text and new bytes, in order.
struct text_delta {
    std::vector<std::variant<text_range, std::string>> pieces;
    std::uint64_t old_digest = 0;
    std::uint64_t new_digest = 0;

    friend bool operator==(const text_delta&, const text_delta&) = default;
};

/// \brief A digest against mismatched texts. It is no protection against forged ones. Thread safe.
std::uint64_t digest_of(std::string_view text);

/// \brief Computes a delta in time proportional to the size of the texts. Its size is proportional
/// to the change when the texts are JSON documents that differ in a few objects. Thread safe.
text_delta make_delta(std::string_view old_text, std::string_view new_text);

/// \returns the new text, or nothing when the delta was made for another old text or is invalid.
/// `max_bytes` bounds the size of the result. Thread safe.
std::optional<std::string> apply_delta(std::string_view old_text, const text_delta& delta,
                                       std::size_t max_bytes);

} // namespace azureyoke::state
