#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/fleet_server.h"

namespace azureyoke::coordination {

struct directory_settings {
    /// Registrations that expired while the registry was unavailable stay usable for this long
    /// after it is available again. Servers need about two seconds to register again.
    duration return_grace = std::chrono::milliseconds(1800);

    /// An announced departure is kept for at least this long, and while the server's entry exists.
    /// This is longer than a server keeps running after its announcement.
    duration departure_retention = std::chrono::minutes(10);
    /// Departures are reported to peers until they are this old, so that the loss of half a second
    /// of reports does no harm.
    duration departure_report_age = std::chrono::seconds(5);

    friend bool operator==(const directory_settings&, const directory_settings&) = default;
};

/// \brief A server's announcement, in an answer, that it is leaving.
struct departure {
    std::string server;
    std::int64_t started_ms = 0; ///< Start of its run, as known when the request was sent.

    friend bool operator==(const departure&, const departure&) = default;
};

/// \brief Whether a departure was learned from the server's own answer or from a peer.
enum class departure_source { answer, peer };

/// \brief The backend servers that may be used, as the registry lists them.
///
/// A server whose entry was removed is no longer used, except that entries which expired while the
/// registry was unavailable stay usable for a short grace period after its return. A server that
/// announced its own departure is excluded even if the registry, unresponsive or late, still lists
/// it as ready.
///
/// Fault pattern: the registry is restored from an older copy, which lists servers that have since
/// gone and lacks servers that registered since. The former are recognised by the start of their
/// run and the number of the registration, which rises as long as a server runs; the latter
/// register again within the grace period or later, and possibly unchanged. What was written after
/// the first list that followed the restore comes from a server that runs, whatever its number.
/// Pure. Not thread safe.
class fleet_directory {
public:
    explicit fleet_directory(const directory_settings& settings);

    /// \returns false when the entry was ignored because it predates the known end or departure of
    /// its server.
    bool put(const state::fleet_server& entry, instant now);
    /// \brief Handles an entry that was removed from the registry or can't be parsed.
    void remove(const std::string& id, instant now);
    /// \brief Applies the registry's complete list: entries that are not in it are removed.
    void replace_all(const std::vector<state::fleet_server>& entries, instant now);

    /// \brief Excludes the server from new requests, regardless of the registry, until it restarts.
    /// The server need not be registered yet. \returns whether the departure was unknown before.
    bool on_departure(const departure& reported, departure_source source, instant now);
    /// \returns recent departures that servers announced to this instance, for reports to the
    /// peers.
    std::vector<departure> recent_departures(instant now) const;

    /// \brief The registry answers again after it was unavailable.
    void on_registry_recovered(instant now) { registry_back_at_ = now; }

    /// \brief The registry was restored from an older copy: registrations in it that predate the
    /// known end or departure of their servers are ignored.
    void on_registry_restored(instant now);

    /// \brief Drops expired entries whose grace period is over. \returns their ids.
    std::vector<std::string> expire(instant now);

    /// \returns the entry, also for a server that is leaving; null when there is none.
    const state::fleet_server* find(const std::string& id) const;
    /// \returns the servers of `pool` that may be sent new requests.
    std::vector<const state::fleet_server*> usable(const std::string& pool) const;

    const std::map<std::string, state::fleet_server>& all() const { return servers_; }

    bool empty() const { return servers_.empty(); }

private:
    /// The last registration of a server that is leaving or gone.
    struct last_registration {
        std::int64_t started_ms = 0;
        std::int64_t number = 0;
        instant at; ///< When the server became known as leaving or gone.
    };

    struct known_departure {
        std::int64_t started_ms = 0;
        departure_source source = departure_source::peer;
        instant at;
    };

    bool departure_announced(const state::fleet_server& entry) const;
    /// \returns whether the entry was written after the registry was restored, as far as known.
    bool written_since_restore(const state::fleet_server& entry) const;
    /// \returns whether the entry comes from a restored copy and predates the server's departure.
    bool outdated(const state::fleet_server& entry) const;
    void record_last_registration(const state::fleet_server& entry, instant now);

    directory_settings settings_;
    std::map<std::string, state::fleet_server> servers_;
    /// End of the grace period of entries that the registry no longer lists.
    std::map<std::string, instant> grace_until_;
    std::map<std::string, known_departure> departures_;
    std::map<std::string, last_registration> last_registrations_;
    bool restored_from_copy_ = false; ///< Registry rows may be older than what is known here.
    /// The newest entry of the first list after the restore; absent before that list.
    std::optional<state::record_version> first_list_version_;
    std::optional<instant> registry_back_at_;
};

} // namespace azureyoke::coordination
