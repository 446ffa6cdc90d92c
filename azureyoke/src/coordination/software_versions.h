#pragma once

#include <map>
#include <set>
#include <string>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// Software versions by pool.
using version_sets = std::map<std::string, std::set<std::string>>;

/// \brief The software versions on which the streams of each pool may have begun.
///
/// A stream whose version nobody remembers may go on only if its pool has had one version for as
/// long as a stream lasts. A version is therefore kept for that time after its last server is gone.
/// What an instance did not see, because it started later, it gets from a stored set; until then
/// its own is not complete. Pure. Not thread safe.
class software_versions {
public:
    /// \brief The pool has servers of these versions from now on, and streams of it last at most
    /// `lifetime`.
    void set_present(const std::string& pool, const std::set<std::string>& present,
                     duration lifetime, instant now);
    /// \brief Adds what earlier instances stored: the own set is complete with it.
    void add_stored(const version_sets& stored, instant now);
    /// \brief Drops the versions on which no stream can still run.
    void expire(instant now);

    bool complete() const { return complete_; }

    /// \returns the versions of the pool; none when it is not known.
    std::set<std::string> of(const std::string& pool) const;
    version_sets all() const;

private:
    struct pool_versions {
        std::set<std::string> present;
        std::map<std::string, instant> last_seen; ///< Of all versions, the present ones included.
        duration lifetime = std::chrono::minutes(10); ///< Until the policy of the pool is known.
    };

    static void mark_present(pool_versions& it, instant now);

    std::map<std::string, pool_versions> pools_;
    bool complete_ = false;
};

} // namespace azureyoke::coordination
