#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/fleet_server.h"

namespace azureyoke::coordination {

struct directory_settings {
    /// Registrations that lapsed while the registry was away are believed for this long after its
    /// return; servers need about two seconds to register again.
    duration return_grace = std::chrono::milliseconds(1800);

    friend bool operator==(const directory_settings&, const directory_settings&) = default;
};

/// \brief The backend servers that may be used, as the registry lists them.
///
/// A server whose entry went away is used no more, except that entries which went while the
/// registry was away stay usable for a short grace after its return. Pure. Not thread safe.
class fleet_directory {
public:
    explicit fleet_directory(const directory_settings& settings);

    void put(const state::fleet_server& entry);
    /// \brief The entry was removed, or can't be read.
    void remove(const std::string& id, instant now);
    /// \brief The registry's whole list: entries that it lacks are removed.
    void replace_all(const std::vector<state::fleet_server>& entries, instant now);

    /// \brief The registry answers again after it did not.
    void on_registry_back(instant now) { back_at_ = now; }

    /// \brief Drops lapsed entries whose grace is over. \returns their ids.
    std::vector<std::string> expire(instant now);

    /// \returns the entry, also of a server that is leaving, or null.
    const state::fleet_server* find(const std::string& id) const;
    /// \brief Servers of `pool` that may be sent new requests.
    std::vector<const state::fleet_server*> usable(const std::string& pool) const;

    const std::map<std::string, state::fleet_server>& all() const { return servers_; }

    bool empty() const { return servers_.empty(); }

private:
    directory_settings settings_;
    std::map<std::string, state::fleet_server> servers_;
    std::map<std::string, instant> lapsed_; ///< Usable until then although not listed.
    std::optional<instant> back_at_;
};

} // namespace azureyoke::coordination
