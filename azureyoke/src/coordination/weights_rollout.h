#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/load_concurrency_limiter.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct weights_rollout_settings {
    load_concurrency_settings limiter;
    /// Between observations of a changing server.
    duration observation_period = std::chrono::milliseconds(100);
    /// Before an unanswered or refused order is sent again.
    duration order_retry_delay = std::chrono::milliseconds(700);
    /// A change stops counting towards the limit when its server did not accept an order within
    /// this time.
    duration acceptance_timeout = std::chrono::seconds(4);
    /// Likewise when the server accepted the order and then sent no answer for this long.
    duration response_timeout = std::chrono::milliseconds(1500);
    /// Age that a server's report can reach. Such a report may not include an order that the server
    /// has accepted.
    duration oldest_report = std::chrono::seconds(1);
    /// Fraction of the value of work that is lost on replaced weights, by the users' rules.
    double replaced_work_loss = 0.2;

    friend bool operator==(const weights_rollout_settings&,
                           const weights_rollout_settings&) = default;
};

/// \brief A server and the weights that it is known to have.
struct rollout_server {
    std::string id;
    std::string model;
    std::int64_t weights = 0;
    std::int64_t desired = 0;
    int load = 0; ///< Requests in flight; among equals the least loaded server changes first.
    bool changing = false; ///< Another instance ordered the change and observed the server loading.
    instant replaced_at;   ///< When weights newer than the server's were first named.
    /// How long the server's weights were the newest; nothing: unknown, and no delay applies.
    std::optional<duration> time_as_newest;

    friend bool operator==(const rollout_server&, const rollout_server&) = default;
};

enum class weights_step {
    order,  ///< Order `weights`, provided that the server accepted exactly `orders` before.
    observe ///< Ask the server for its weights and count of orders.
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
    accepted,         ///< The server carries out the order.
    already_in_place, ///< The server has these weights already.
    conflict,         ///< Another order is in progress, or the count of accepted orders differs.
    refused,          ///< The order will never be carried out.
    unanswered        ///< The order may be carried out, now or later.
};

/// \brief Decides which orders the rollout leader sends so that servers load the desired weights.
///
/// Load patterns: a fleet under load changes weights, and servers that are loading serve no
/// requests: at most as many change at the same time as `load_concurrency_limiter` allows, those
/// with the oldest weights first. Versions follow each other faster than servers can load them: a
/// server whose weights were replaced after a short life waits, since the next version may follow
/// after as short a time, until its old weights have cost as much as a load or must no longer be
/// used. An order without an answer may still be carried out; each order is therefore conditional
/// on the count of orders that the server accepted before it. Pure. Not thread safe.
class weights_rollout {
public:
    explicit weights_rollout(const weights_rollout_settings& settings);

    /// \param old_weights_limit Servers with older weights are no longer used once this time has
    /// passed since new weights were named.
    std::vector<weights_action> tick(const std::vector<rollout_server>& servers,
                                     duration old_weights_limit, instant now);
    void on_order(const std::string& server, order_outcome outcome, instant now);
    /// \brief The server reported its count of accepted orders and whether it is busy.
    void on_observation(const std::string& server, std::int64_t orders, bool busy, instant now);

    /// \brief The rollout lease was lost: another instance may send orders now.
    void clear() { changes_.clear(); }

    bool idle() const { return changes_.empty(); }

private:
    struct change {
        std::int64_t orders = -1; ///< Accepted, as the server reported; -1: unknown.
        instant began_at;
        instant next_action_at;
        bool awaiting_result = false; ///< An order was sent; its result is not observed yet.
        bool awaiting_answer = false; ///< An order or an observation is unanswered.
        instant asked_at;
        instant last_answer_at;             ///< Last answer to an order or an observation.
        std::optional<instant> accepted_at; ///< When the server accepted the last order.
        std::int64_t orders_before = 0;     ///< Orders accepted before the last one.
        std::size_t concurrent = 0;         ///< Most concurrent loads since, itself included.
        std::int64_t ordered_weights = 0;   ///< Weights of the last order.
    };

    void end_changes(const std::vector<rollout_server>& servers, instant now);
    void begin_changes(const std::vector<const rollout_server*>& behind, std::size_t servers,
                       duration old_weights_limit, instant now);
    /// \returns whether the change still counts towards the limit: its server is neither overdue
    /// nor unresponsive.
    bool in_progress(const change& changing, instant now) const;
    std::size_t loading_count(instant now) const;
    /// \returns when the server should begin to change, so that all `not_newer` servers, whose
    /// weights are not newer than its own, change in time.
    instant change_due_at(const rollout_server& server, std::size_t not_newer, std::size_t limit,
                          duration old_weights_limit) const;

    weights_rollout_settings settings_;
    load_concurrency_limiter limiter_;
    std::map<std::string, change> changes_;
};

} // namespace azureyoke::coordination
