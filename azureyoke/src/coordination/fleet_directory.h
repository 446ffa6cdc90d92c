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

    /// What servers said of their leaving is remembered for this long after their entries went:
    /// longer than a server goes on after it has said so.
    duration departure_memory = std::chrono::minutes(10);
    /// Departures that peers are told of are this young; reports of half a second may be lost.
    duration departure_news = std::chrono::seconds(5);

    friend bool operator==(const directory_settings&, const directory_settings&) = default;
};

/// \brief A server said in an answer that it leaves.
struct departure {
    std::string server;
    std::int64_t born_ms = 0; ///< Of its registration when it was asked.

    friend bool operator==(const departure&, const departure&) = default;
};

/// \brief How an instance knows of a departure.
enum class departure_source { answer, peer };

/// \brief The backend servers that may be used, as the registry lists them.
///
/// A server whose entry went away is used no more, except that entries which went while the
/// registry was away stay usable for a short grace after its return. A server that said itself
/// that it leaves is left out although the registry, silent or late, lists it as ready.
///
/// Fault pattern: the registry comes back from an older copy, in which servers that have gone since
/// are listed and servers that came since are missing. The former are told by the number of their
/// registration, which rises while they live; the latter have the grace to register again.
/// Pure. Not thread safe.
class fleet_directory {
public:
    explicit fleet_directory(const directory_settings& settings);

    /// \returns false when the entry is older than what is known and was ignored.
    bool put(const state::fleet_server& entry, instant now);
    /// \brief The entry was removed, or can't be read.
    void remove(const std::string& id, instant now);
    /// \brief The registry's whole list: entries that it lacks are removed.
    void replace_all(const std::vector<state::fleet_server>& entries, instant now);

    /// \brief The server takes no new requests, whatever the registry says, until it is started
    /// anew. It may not be registered yet. \returns whether that is news.
    bool on_departure(const departure& what, departure_source source, instant now);
    /// \brief Departures that servers told this instance lately, to tell the peers.
    std::vector<departure> fresh_departures(instant now) const;

    /// \brief The registry answers again after it did not.
    void on_registry_back(instant now) { back_at_ = now; }

    /// \brief The registry came back from an older copy of itself: registrations in it which are
    /// older than the end or the leaving of their servers, as it was known before, are not
    /// believed.
    void on_registry_copy(instant now);

    /// \brief Drops lapsed entries whose grace is over. \returns their ids.
    std::vector<std::string> expire(instant now);

    /// \returns the entry, also of a server that is leaving, or null.
    const state::fleet_server* find(const std::string& id) const;
    /// \brief Servers of `pool` that may be sent new requests.
    std::vector<const state::fleet_server*> usable(const std::string& pool) const;

    const std::map<std::string, state::fleet_server>& all() const { return servers_; }

    bool empty() const { return servers_.empty(); }

private:
    /// The last registration of a server that leaves or is gone.
    struct last_registration {
        std::int64_t born_ms = 0;
        std::int64_t number = 0;
        instant at; ///< When it was known to leave or to be gone.
    };

    struct told_departure {
        std::int64_t born_ms = 0;
        departure_source source = departure_source::peer;
        instant at;
    };

    bool said_to_leave(const state::fleet_server& entry) const;
    /// Whether the registry's copy is from before the server left.
    bool outdated(const state::fleet_server& entry) const;
    void note_last(const state::fleet_server& entry, instant now);

    directory_settings settings_;
    std::map<std::string, state::fleet_server> servers_;
    std::map<std::string, instant> lapsed_; ///< Usable until then although not listed.
    std::map<std::string, told_departure> departures_;
    std::map<std::string, last_registration> ended_;
    bool from_copy_ = false; ///< The registry's rows may be older than what was told of them.
    std::optional<instant> back_at_;
};

} // namespace azureyoke::coordination
