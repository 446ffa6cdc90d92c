#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief A version of desired weights and the time since operators named it.
struct weights_age {
    std::int64_t version = 0;
    std::int64_t age_ms = 0;

    friend bool operator==(const weights_age&, const weights_age&) = default;
};

/// \brief The versions of one model's weights that operators named, with the times of naming.
///
/// Load pattern: versions are named faster than servers can load them, while instances restart. A
/// restarted instance reads only the newest version from the registry, without its naming time; the
/// ages of this version and of earlier ones come from peers. Pure. Not thread safe.
class desired_weights {
public:
    /// \brief Records when `version` was named. A certain time replaces an estimated one; of two
    /// certain times the earlier is kept, since each is when some instance learned of the version.
    /// \returns whether the version is the newest so far.
    bool record_naming(std::int64_t version, instant since, bool certain);

    /// \returns the newest version; 0 when no version was named.
    std::int64_t newest() const {
        return naming_times_.empty() ? 0 : naming_times_.rbegin()->first;
    }

    /// \returns the newest version that was named at least `age` ago; 0 when there is none.
    std::int64_t newest_named_for(duration age, instant now) const;
    /// \returns when the first version newer than `version` was named; nothing when there is none.
    std::optional<instant> replaced_at(std::int64_t version) const;
    /// \returns for how long `version` was the newest; nothing unless both times are certain.
    std::optional<duration> time_as_newest(std::int64_t version) const;

    /// \returns the versions that a restarted peer needs: those younger than `limit` and the newest
    /// of the older ones, oldest first. Versions with estimated times are left out.
    std::vector<weights_age> recent_ages(duration limit, instant now) const;
    /// \brief Drops versions that no longer affect `newest_named_for` for ages up to `limit`.
    void drop_obsolete(duration limit, instant now);

    friend bool operator==(const desired_weights&, const desired_weights&) = default;

private:
    struct naming_time {
        instant at;
        bool certain = false; ///< The time is known, not estimated.

        friend bool operator==(const naming_time&, const naming_time&) = default;
    };

    std::map<std::int64_t, naming_time> naming_times_;
};

} // namespace azureyoke::coordination
