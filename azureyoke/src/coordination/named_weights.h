#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief Weights that operators named, and for how long that has been known.
struct weights_age {
    std::int64_t version = 0;
    std::int64_t age_ms = 0;

    friend bool operator==(const weights_age&, const weights_age&) = default;
};

/// \brief The versions of one model's weights that operators named, and since when.
///
/// Load pattern: versions are named faster than servers can take them, while instances restart. A
/// restarted instance reads only the newest version from the registry, without its time; the ages
/// of it and of the ones before come from peers. Pure. Not thread safe.
class named_weights {
public:
    /// \brief A certain time replaces a guessed one, and of two certain ones the earlier holds:
    /// each is when somebody learned of it. \returns whether the version is the newest so far.
    bool learn(std::int64_t version, instant since, bool certain);

    /// \returns the newest version; 0 before the first.
    std::int64_t newest() const { return since_.empty() ? 0 : since_.rbegin()->first; }

    /// \returns the newest version that was known for `age`; 0 when none was.
    std::int64_t known_for(duration age, instant now) const;
    /// \returns when the first version newer than `version` was named; nothing when none was.
    std::optional<instant> replaced_at(std::int64_t version) const;
    /// \returns for how long `version` was the newest; nothing when that is not known for certain.
    std::optional<duration> life(std::int64_t version) const;

    /// \brief What a peer needs that knows nothing of before: the versions younger than `limit`
    /// and the newest of the others, with certain times only, oldest first.
    std::vector<weights_age> ages(duration limit, instant now) const;
    /// \brief Forgets versions that no answer of `known_for` up to `limit` depends on any more.
    void trim(duration limit, instant now);

    friend bool operator==(const named_weights&, const named_weights&) = default;

private:
    struct naming {
        instant at;
        bool certain = false; ///< The time is known, and not guessed.

        friend bool operator==(const naming&, const naming&) = default;
    };

    std::map<std::int64_t, naming> since_;
};

} // namespace azureyoke::coordination
