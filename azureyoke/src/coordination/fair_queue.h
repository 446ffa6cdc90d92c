#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct fair_queue_settings {
    std::size_t max_queued_per_workspace = 256;
    duration longest_wait = std::chrono::seconds(20);

    friend bool operator==(const fair_queue_settings&, const fair_queue_settings&) = default;
};

/// \brief A request that waits for a replica.
struct queued_request {
    std::uint64_t number = 0; ///< Identifies the request to the owner of the queue.
    std::string workspace;
    int weight = 1;
    std::int64_t tokens = 0;

    friend bool operator==(const queued_request&, const queued_request&) = default;
};

/// \brief Shares the capacity of replicas between workspaces in proportion to their weights.
///
/// Start-time fair queueing over tokens: a workspace that sends more than its share delays its own
/// requests, not those of others. Source: Goyal, Vin and Cheng, "Start-time Fair
/// Queueing: A Scheduling Algorithm for Integrated Services Packet Switching Networks", 1997.
/// Pure. Not thread safe.
class fair_queue {
public:
    explicit fair_queue(const fair_queue_settings& settings) : settings_(settings) {}

    /// \returns false when the workspace already has `max_queued_per_workspace` requests in the
    /// queue.
    bool push(const queued_request& request, instant now);
    /// \brief Removes the next request. \returns nothing when the queue is empty.
    std::optional<queued_request> pop();
    void erase(std::uint64_t number);
    /// \brief Removes the requests that have waited for `longest_wait`. \returns them.
    std::vector<queued_request> expire(instant now);

    std::size_t size() const { return size_; }

private:
    struct queued_entry {
        queued_request request;
        double start = 0; ///< Virtual start time.
        instant deadline;
    };

    struct flow {
        std::deque<queued_entry> queue;
        double finish = 0; ///< Virtual finish time of the last request.
    };

    std::map<std::string, flow>::iterator next_flow();

    fair_queue_settings settings_;
    std::map<std::string, flow> flows_;
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace azureyoke::coordination
