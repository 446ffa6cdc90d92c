#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/load_pace.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct weights_rollout_settings {
    load_pace_settings pace;
    duration look_period = std::chrono::milliseconds(100); ///< Between looks at a changing server.
    duration again = std::chrono::milliseconds(700); ///< Before an unanswered order is sent again.
    /// A change makes room for another when its server did not take the order for this long.
    duration overdue = std::chrono::seconds(4);
    /// As `overdue`, when the server took the order and was silent for this long since.
    duration silence = std::chrono::milliseconds(1500);
    /// A server's report may be so old: it may not know of an order that the server accepted.
    duration report_lag = std::chrono::seconds(1);
    /// Part of its worth that work on replaced weights loses, by the users' rules.
    double replaced_loss = 0.2;

    friend bool operator==(const weights_rollout_settings&,
                           const weights_rollout_settings&) = default;
};

/// \brief A server and what it is known to have.
struct rollout_server {
    std::string id;
    std::string model;
    std::int64_t weights = 0;
    std::int64_t wanted = 0;
    int load = 0; ///< Requests in flight there; among equals the least loaded change first.
    bool changing = false;        ///< Another instance ordered it and saw it load.
    instant replaced_at;          ///< When weights newer than its own were first named.
    std::optional<duration> life; ///< Until then, of its own weights; nothing: for long.

    friend bool operator==(const rollout_server&, const rollout_server&) = default;
};

enum class weights_step {
    order, ///< Order `weights`, on condition that `orders` were accepted before.
    look   ///< Ask the server what it has.
};

struct weights_action {
    weights_step step = weights_step::order;
    std::string server;
    std::string model;
    std::int64_t weights = 0;
    std::int64_t orders = 0;

    friend bool operator==(const weights_action&, const weights_action&) = default;
};

enum class order_outcome {
    accepted,  ///< The server carries it out.
    in_place,  ///< It has these weights already.
    conflict,  ///< Another order is under way, or others were accepted before.
    refused,   ///< It will never be carried out.
    unanswered ///< It may be carried out, now or later.
};

/// \brief Decides which orders the holder of the lease gives so that servers take named weights.
///
/// Load patterns: a fleet under load takes new weights, and the servers that load don't work: as
/// many change at once as `load_pace` allows, those with the oldest weights first. Versions follow
/// each other faster than servers can load them: a server whose weights were soon replaced waits,
/// as the next version may come soon too, until its old weights cost as much as a load or their
/// time is over. An order without an answer may still be carried out, so that each one holds only
/// for the count of orders accepted before it. Pure. Not thread safe.
class weights_rollout {
public:
    explicit weights_rollout(const weights_rollout_settings& settings);

    /// \param allowed Servers with older weights are not used any more so long after new ones are
    /// named.
    std::vector<weights_action> tick(const std::vector<rollout_server>& servers, duration allowed,
                                     instant now);
    void on_order(const std::string& server, order_outcome outcome, instant now);
    /// \brief The server said what it has.
    void on_look(const std::string& server, std::int64_t orders, bool busy, instant now);

    /// \brief The lease was lost: another instance may order now.
    void clear() { changes_.clear(); }

    bool idle() const { return changes_.empty(); }

private:
    struct change {
        std::int64_t orders = -1; ///< Accepted, as the server said itself; -1: not asked yet.
        instant began;
        instant next;
        bool under_way = false; ///< Accepted and not yet seen in place.
        bool asked = false;     ///< An order or a look waits for its answer.
        instant asked_at;
        instant heard;                      ///< Last answer to an order or a look.
        std::optional<instant> loads_since; ///< When the server accepted the order.
        std::int64_t accepted_after = 0;    ///< Orders accepted before that one.
        std::size_t beside = 0;             ///< Most loads under way since, itself included.
        std::int64_t ordered = 0;           ///< Weights of the last order.
    };

    void end_changes(const std::vector<rollout_server>& servers, instant now);
    void begin_changes(const std::vector<const rollout_server*>& behind, std::size_t servers,
                       duration allowed, instant now);
    /// Whether the server is still on its way to new weights, as far as is known.
    bool under_way(const change& it, instant now) const;
    std::size_t loads(instant now) const;
    /// When the server should begin to change, so that all `behind` servers with weights as old as
    /// its own, or older, change in time.
    instant due(const rollout_server& server, std::size_t behind, std::size_t at_once,
                duration allowed) const;

    weights_rollout_settings settings_;
    load_pace pace_;
    std::map<std::string, change> changes_;
};

} // namespace azureyoke::coordination
