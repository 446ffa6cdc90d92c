#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct weights_rollout_settings {
    /// Servers that change at once; more than two load the more slowly.
    std::size_t most_changes = 3;
    duration look_period = std::chrono::milliseconds(100); ///< Between looks at a changing server.
    duration again = std::chrono::milliseconds(700); ///< Before an unanswered order is sent again.
    duration overdue =
        std::chrono::seconds(4); ///< A change that takes longer makes room for another.

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
/// A few change at once, those with the oldest weights first, so that the others serve meanwhile; a
/// server that has taken weights which were named over since is ordered again. An order without an
/// answer may still be carried out, so that each one holds only for the count of orders accepted
/// before it. Pure. Not thread safe.
class weights_rollout {
public:
    explicit weights_rollout(const weights_rollout_settings& settings);

    std::vector<weights_action> tick(const std::vector<rollout_server>& servers, instant now);
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
    };

    weights_rollout_settings settings_;
    std::map<std::string, change> changes_;
};

} // namespace azureyoke::coordination
