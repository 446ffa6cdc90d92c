#pragma once

#include <cstdint>
#include <string>

#include "azureyoke/src/coordination/fleet_router.h"

namespace azureyoke::app {

/// \brief What rollouts of software ask of each request and learn from it. Not thread safe.
class software_gate {
public:
    virtual ~software_gate() = default;
    /// \brief Servers were added, removed or announced that they leave.
    virtual void on_fleet_changed() = 0;
    /// \brief Fills `query.left_out` for a request of `route`; `repeat` if it was sent before.
    virtual void leave_out(const std::string& route, bool repeat,
                           coordination::placement_query& query) = 0;
    /// \brief No server was found. \returns whether `query` now leaves out fewer servers.
    virtual bool allow_others(coordination::placement_query& query) = 0;
    /// \returns the number of an attempt that is being sent; 0 when nothing is measured.
    virtual std::uint64_t on_sent(const std::string& route, const std::string& pool,
                                  const coordination::server_choice& choice) = 0;
    virtual void on_first_answer(std::uint64_t attempt) = 0;
    /// \brief The attempt ended; `status` is that of the answer, 0 without one.
    virtual void on_ended(std::uint64_t attempt, coordination::call_outcome outcome,
                          int status) = 0;
};

} // namespace azureyoke::app
