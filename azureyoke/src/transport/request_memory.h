#pragma once

#include <cstddef>
#include <vector>

#include "azureyoke/src/transport/byte_budget.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::transport {

/// \brief A request that has not come whole and holds more than an account's
/// guaranteed bytes.
class incomplete_request {
public:
    virtual ~incomplete_request() = default;
    virtual std::size_t held_bytes() const = 0;
    /// \returns the time at which the request began.
    virtual instant began() const = 0;
    /// \brief Refuses the request, whose memory others need, and releases what it
    /// holds. It has not run.
    virtual void end_for_memory() = 0;
};

/// \brief Decides which incomplete requests end when the byte budget of a
/// process is used up. All front servers of a process share one object. Not
/// thread safe.
///
/// Answers the load of many callers that send large bodies and stop before the
/// end, or trickle them. Of the incomplete requests, the one with the largest
/// product of bytes and time held ends first: an upload that has just begun or
/// goes fast is spared, and one that only holds memory is not, however little
/// it still sends.
class request_memory {
public:
    /// \brief `budget` must outlive the object.
    explicit request_memory(byte_budget& budget) : budget_(budget) {}

    byte_budget& budget() const { return budget_; }

    /// \brief Adds a request, unless it is known. `remove` must be called before
    /// its end.
    void add(incomplete_request& request);
    void remove(const incomplete_request& request);

    /// \brief Ends incomplete requests until the budget is not exceeded any more.
    /// \returns false if those that come before `wanting` do not hold enough; then
    /// none is ended. `wanting` is never ended.
    bool make_room(const incomplete_request& wanting, instant now);

private:
    byte_budget& budget_;
    std::vector<incomplete_request*> requests_;
};

/// \returns the number of connections of which each may hold its guaranteed
/// bytes within the budget. Thread safe.
inline std::size_t max_connections_for(std::size_t budget_bytes) {
    return budget_bytes / byte_account::guaranteed_bytes;
}

} // namespace azureyoke::transport
