#pragma once

#include <memory>
#include <vector>

#include "standin/fleet.h"

namespace azureyoke::standin {

/// \brief Restarts the instances of a fleet one by one while a load runs on the same event loop.
///
/// Also simulates the load balancer: an instance that received SIGTERM is removed from `targets`
/// after a short delay and is added again when its readiness check succeeds.
class rolling_restart {
public:
    /// \brief Starts immediately. `targets` holds the callers' address of each instance.
    rolling_restart(fleet& it, std::vector<transport::address>& targets);

    bool done() const { return next_instance_ == fleet_.instances().size(); }

    /// \returns true when an instance ended with an exit code other than 0.
    bool failed() const { return failed_; }

private:
    enum class restart_stage { idle, leaving, ending, starting };

    void tick();
    void begin_drain();
    void restart_after_exit();
    void check_ready();

    fleet& fleet_;
    std::vector<transport::address>& targets_;
    std::size_t next_instance_ = 0;
    restart_stage stage_ = restart_stage::idle;
    transport::instant stage_since_;
    bool failed_ = false;
    bool ready_request_open_ = false;
    std::unique_ptr<transport::timer> ticker_;
};

} // namespace azureyoke::standin
