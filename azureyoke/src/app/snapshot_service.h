#pragma once

#include <memory>
#include <optional>
#include <string>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/share_service.h"
#include "azureyoke/src/coordination/replica_router.h"
#include "azureyoke/src/protocol/table_service.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Prefix of the objects that hold the router snapshots, one for each data centre.
constexpr const char* snapshot_objects = "memory/";

/// \brief Saves router snapshots to the object store and restores the last one at start.
///
/// Instances that all restart at once then need not measure speeds and cache contents again. One
/// instance of each data centre saves for all of them. Not thread safe.
class snapshot_service {
public:
    snapshot_service(transport::event_loop& loop, protocol::object_service& objects,
                     coordination::replica_router& router, const event_log& log,
                     const instance_identity& self, transport::duration period);

    /// \brief Reads the last saved snapshot. Call once.
    void start();
    /// \brief Restores the snapshot that was read, if the router has replicas by now.
    void on_replicas();

    /// \brief Sets whether this instance saves the snapshots of its data centre.
    void set_writer(bool writes) { is_writer_ = writes; }

private:
    void save();
    void on_stored_snapshot(const std::string& text);

    transport::event_loop& loop_;
    protocol::object_service& objects_;
    coordination::replica_router& router_;
    const event_log& log_;
    std::string object_name_;
    bool is_writer_ = false;
    bool initial_read_done_ = false; ///< Whether the read at start has completed.
    bool save_pending_ = false;
    std::optional<state::router_snapshot> unrestored_snapshot_;
    /// The time to which the ages in `unrestored_snapshot_` refer.
    transport::instant snapshot_time_;
    std::unique_ptr<transport::timer> ticker_;
};

} // namespace azureyoke::app
