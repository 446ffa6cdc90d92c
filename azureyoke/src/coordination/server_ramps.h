#pragma once

#include <map>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/server_pace.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief The beginning or end of a server's ramp.
struct ramp_change {
    std::string server;
    std::string pool;
    bool began = false;
    ramp_cause cause = ramp_cause::added;
    ramp_end end = ramp_end::as_predicted; ///< Meaningful unless `began`.
    duration took{};                       ///< Since the beginning.

    friend bool operator==(const ramp_change&, const ramp_change&) = default;
};

/// \brief The servers that ramp up, as one instance sees them, and the times to the first answer
/// that are usual in their pools.
///
/// Load pattern: servers start one at a time or several together beside warm ones of the same pool;
/// the first answers of the warm ones tell what to expect of the others. Pure. Not thread safe.
class server_ramps {
public:
    /// \param instance name of this instance, unique in the fleet.
    server_ramps(const pace_settings& settings, std::string instance)
        : settings_(settings), instance_(std::move(instance)) {}

    /// \brief Sets the number of instances that send to the servers. \pre `count` >= 1.
    void set_instances(int count) { instances_ = count; }

    int instances() const { return instances_; }

    /// \brief The server ramps up from `from` on, which may be in the future. \param slots that it
    /// has; 0: unknown.
    void begin(const std::string& server, const std::string& pool, int slots, ramp_cause cause,
               instant from);
    void remove(const std::string& server, instant now);
    /// \brief Ends the ramps of servers that failed, and forgets that they did: this instance had
    /// not reached them.
    void on_path_restored(instant now);

    /// \returns whether no server has ramped up lately.
    bool empty() const { return servers_.empty(); }

    bool ramping(const std::string& server) const;
    /// \returns whether this instance may send a request to the server. True when it does not ramp.
    /// \param report_age mean age of the last reports of all peers.
    bool allows(const std::string& server, const pace_load& own, const pace_load& peers,
                duration report_age, instant now);

    /// \returns whether the server has room at its pace, for an instance that knows all work there.
    bool has_room(const std::string& server, const pace_load& own, const pace_load& peers) const;

    void on_sent(const std::string& server, instant now);
    /// \brief Records a first answer whose time is predicted for the server itself, when warm.
    void on_answer(const std::string& server, duration predicted, duration took, instant now);
    /// \brief Records a first answer. Those of warm servers set the expectation for their pool.
    /// \param nominal_ms time to first token at the nominal speed. \pre `nominal_ms` > 0.
    /// \param slowdown that the server reported for the moment; 1: none.
    void on_first_answer(const std::string& server, const std::string& pool, double nominal_ms,
                         duration took, double slowdown, instant now);
    /// \param in_flight requests of all instances at the server without the one that ended.
    void on_refused(const std::string& server, int in_flight, instant now);
    /// \param in_flight as in `on_refused`.
    void on_failed(const std::string& server, int in_flight, instant now);

    /// \returns what this instance counted, by server that ramps up or did lately, for reports to
    /// the peers.
    std::map<std::string, pace_evidence> evidence(instant now) const;
    /// \brief Adds what a peer counted. Servers that do not ramp up here are ignored. \param
    /// in_flight requests of all instances at the server.
    void on_peer_evidence(const std::string& peer, const std::string& server,
                          const pace_evidence& seen, int in_flight, instant now);

    /// \returns the ramps that began or ended since the last call.
    std::vector<ramp_change> take_changes(instant now);
    /// \returns the window of each server that ramps up, in requests without a first answer.
    std::map<std::string, double> windows() const;

private:
    struct entry {
        std::string pool;
        server_pace pace;
    };

    /// Calls `change` with the pace of a server that ramps up, and records if that ended the ramp.
    template <class Change>
    void update(const std::string& server, instant now, Change change);
    void record_end(const std::string& server, const entry& it, instant now);

    pace_settings settings_;
    std::string instance_;
    int instances_ = 1;
    std::map<std::string, entry> servers_;
    std::map<std::string, double> usual_ratios_; ///< By pool: actual to nominal time.
    std::vector<ramp_change> changes_;
};

} // namespace azureyoke::coordination
