#pragma once

#include <memory>
#include <string>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/share_service.h"
#include "azureyoke/src/coordination/audit_buffer.h"
#include "azureyoke/src/protocol/table_service.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Prefix of the objects that hold the audit trail.
constexpr const char* audit_objects = "audit/";

/// \brief Writes the audit trail of one instance to the object store. Not thread safe.
class audit_service {
public:
    audit_service(transport::event_loop& loop, protocol::object_service& objects,
                  const event_log& log, const instance_identity& self);

    /// \brief Adds an entry and sets its time and instance.
    void add(state::audit_entry entry);
    void add(const std::string& action, const std::string& detail);

    /// \returns whether all entries are stored.
    bool stored() const { return buffer_.empty(); }

private:
    void flush();

    transport::event_loop& loop_;
    protocol::object_service& objects_;
    const event_log& log_;
    instance_identity self_;
    coordination::audit_buffer buffer_;
    std::uint64_t dropped_logged_ = 0;
    std::unique_ptr<transport::timer> ticker_;
};

} // namespace azureyoke::app
