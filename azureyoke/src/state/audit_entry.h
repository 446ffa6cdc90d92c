#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureyoke::state {

/// \brief One line of the audit trail. A key is shown only by the first digits of its digest.
struct audit_entry {
    std::int64_t time_ms = 0; ///< Unix time by the writer's clock.
    std::string instance;
    std::string what; ///< Stable name of the event, such as `key_withdrawn`.
    std::string document;
    std::string workspace;
    std::string detail;

    friend bool operator==(const audit_entry&, const audit_entry&) = default;
};

/// \brief Serialises an entry to one JSON object followed by a line feed.
std::string to_line(const audit_entry& entry);
/// \returns std::nullopt when the line is not a valid entry.
std::optional<audit_entry> parse_audit_line(std::string_view line);

} // namespace azureyoke::state
