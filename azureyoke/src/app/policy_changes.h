#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "azureyoke/src/state/record_version.h"
#include "azureyoke/src/state/text_delta.h"

namespace azureyoke::app {

/// \brief The changes from one version of the policy's text to another.
struct policy_changes {
    std::int64_t from = 0;
    std::int64_t to = 0;
    state::record_version position; ///< Of the newest version in the registry.
    state::text_delta delta;

    friend bool operator==(const policy_changes&, const policy_changes&) = default;
};

/// \returns the changes in CBOR. Thread safe.
std::string to_bytes(const policy_changes& changes);
/// \returns nothing when the bytes are not valid changes. Thread safe.
std::optional<policy_changes> parse_policy_changes(std::string_view bytes);

/// \brief The texts of the last versions of the policy, and the changes between them. Not thread
/// safe.
class policy_history {
public:
    /// \brief Adds a version that is newer than the others.
    void add(std::int64_t version, const state::record_version& position, std::string text);
    /// \returns the newest text; null when there is none.
    const std::string* newest() const;
    /// \returns the changes from `version` to the newest one in CBOR; null when `version` is not
    /// known, or when they are so large that the whole text serves as well.
    const std::string* changes_since(std::int64_t version);

private:
    struct entry {
        std::int64_t version = 0;
        state::record_version position;
        std::string text;
    };

    std::deque<entry> entries_; ///< Oldest first.
    /// To the newest version, by the version that they begin at; empty when they are too large.
    std::map<std::int64_t, std::string> changes_;
};

} // namespace azureyoke::app
