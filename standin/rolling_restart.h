#pragma once

#include <memory>
#include <vector>

#include "standin/fleet.h"

namespace azureyoke::standin {

/// \brief Replaces every instance of a fleet, one after the other, beside a load on the same loop.
///
/// Plays the balancer too: an instance that was told to end is taken out of `targets` a moment
/// later, and comes back once it says that it is ready.
class rolling_restart {
public:
    /// \brief Starts at once. `targets` holds the callers' address of every instance.
    rolling_restart(fleet& it, std::vector<transport::address>& targets);

    bool done() const { return next_instance_ == fleet_.instances().size(); }

    /// \brief True when an instance ended with an exit code other than 0.
    bool failed() const { return failed_; }

private:
    enum class stage { idle, leaving, ending, starting };

    void tick();
    void begin_drain();
    void restart_after_exit();
    void check_ready();

    fleet& fleet_;
    std::vector<transport::address>& targets_;
    std::size_t next_instance_ = 0;
    stage stage_ = stage::idle;
    transport::instant stage_since_;
    bool failed_ = false;
    bool ready_request_open_ = false;
    std::unique_ptr<transport::timer> ticker_;
};

} // namespace azureyoke::standin
