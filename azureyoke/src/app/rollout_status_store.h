#pragma once

#include <functional>
#include <optional>
#include <string>

#include "azureyoke/src/coordination/software_rollout.h"
#include "azureyoke/src/coordination/write_result.h"
#include "azureyoke/src/state/record_version.h"

namespace azureyoke::app {

/// \brief State of a service's rollout as the registry has it.
struct rollout_status {
    std::string to; ///< The software version; empty when there is no status.
    coordination::rollout_state state = coordination::rollout_state::in_progress;
    state::record_version version; ///< Of the row; absent when there is none.

    friend bool operator==(const rollout_status&, const rollout_status&) = default;
};

/// \brief The operators' view of rollouts: one row for each service. Not thread safe.
class rollout_status_store {
public:
    using read_handler = std::function<void(const std::optional<rollout_status>&)>;
    using write_handler = std::function<void(coordination::write_result)>;

    virtual ~rollout_status_store() = default;
    /// \brief Calls `done` with nothing when the row could not be read, and with an empty `to` when
    /// there is none or it makes no sense.
    virtual void read(const std::string& service, read_handler done) = 0;
    /// \brief Writes the row if it still has `status.version`.
    virtual void write(const std::string& service, const rollout_status& status,
                       write_handler done) = 0;
};

/// \returns the name of a state on the wire and in log lines.
inline const char* name_of(coordination::rollout_state state) {
    switch (state) {
    case coordination::rollout_state::completed:
        return "completed";
    case coordination::rollout_state::reverted:
        return "reverted";
    case coordination::rollout_state::in_progress:
        break;
    }
    return "in_progress";
}

} // namespace azureyoke::app
