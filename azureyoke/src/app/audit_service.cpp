#include "azureyoke/src/app/audit_service.h"

#include "azureyoke/src/app/wall_clock.h"

namespace azureyoke::app {

namespace internal {
namespace {

constexpr transport::duration flush_period = std::chrono::milliseconds(200);

} // namespace
} // namespace internal

audit_service::audit_service(transport::event_loop& loop, protocol::object_service& objects,
                             const event_log& log, const instance_identity& self)
    : loop_(loop), objects_(objects), log_(log), self_(self),
      buffer_(coordination::audit_settings{}),
      ticker_(loop.every(internal::flush_period, [this] { flush(); })) {}

void audit_service::add(state::audit_entry entry) {
    entry.time_ms = wall_clock_ms();
    entry.instance = self_.name;
    buffer_.add(std::move(entry), loop_.now());
    if (buffer_.dropped() == dropped_logged_)
        return;
    dropped_logged_ = buffer_.dropped();
    log_.warn(event_id::audit_dropped, {{"dropped", std::to_string(dropped_logged_)}});
}

void audit_service::add(const std::string& action, const std::string& detail) {
    add({0, {}, action, {}, {}, detail});
}

void audit_service::flush() {
    auto batch = buffer_.next_batch(loop_.now());
    if (!batch)
        return;
    std::string body;
    for (const auto& it : batch->entries)
        body += state::to_line(it);
    // The name identifies instance, incarnation and batch: a retry overwrites the same object.
    auto name = audit_objects + self_.name + "-" + std::to_string(self_.incarnation) + "-" +
                std::to_string(batch->number);
    objects_.put(name, body, [this](auto stored) {
        if (stored)
            buffer_.on_stored();
        else
            buffer_.on_failed(loop_.now());
    });
}

} // namespace azureyoke::app
