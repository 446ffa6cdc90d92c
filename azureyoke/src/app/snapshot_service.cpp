#include "azureyoke/src/app/snapshot_service.h"

#include <algorithm>

#include "azureyoke/src/app/wall_clock.h"

namespace azureyoke::app {

namespace internal {
namespace {

/// Backend servers evict cache entries within seconds or minutes, so older snapshots are obsolete.
constexpr auto max_snapshot_age = std::chrono::minutes(10);

} // namespace
} // namespace internal

snapshot_service::snapshot_service(transport::event_loop& loop, protocol::object_service& objects,
                                   coordination::replica_router& router, const event_log& log,
                                   const instance_identity& self, transport::duration period)
    : loop_(loop), objects_(objects), router_(router), log_(log),
      object_name_(snapshot_objects + self.data_centre),
      ticker_(loop.every(period, [this] { save(); })) {}

void snapshot_service::start() {
    objects_.get(object_name_, [this](auto text) {
        initial_read_done_ = true;
        if (text)
            on_stored_snapshot(*text);
    });
}

void snapshot_service::on_stored_snapshot(const std::string& text) {
    auto snapshot = state::parse_router_snapshot(text);
    if (!snapshot) {
        log_.warn(event_id::platform_row_unreadable, {{"row", object_name_}});
        return;
    }
    std::chrono::milliseconds age(std::max<std::int64_t>(wall_clock_ms() - snapshot->stored_ms, 0));
    if (age > internal::max_snapshot_age)
        return;
    unrestored_snapshot_ = std::move(*snapshot);
    snapshot_time_ = loop_.now() - age;
    on_replicas();
}

void snapshot_service::on_replicas() {
    if (!unrestored_snapshot_ || router_.tracker().size() == 0)
        return;
    router_.restore_snapshot(*unrestored_snapshot_, loop_.now() - snapshot_time_, loop_.now());
    log_.write(event_id::memory_recalled,
               {{"replicas", std::to_string(unrestored_snapshot_->replicas.size())}});
    unrestored_snapshot_.reset();
}

void snapshot_service::save() {
    // A new instance must not overwrite the saved snapshot before it has restored it.
    if (!is_writer_ || !initial_read_done_ || save_pending_ || unrestored_snapshot_)
        return;
    auto snapshot = router_.save_snapshot(loop_.now());
    if (snapshot.replicas.empty())
        return;
    save_pending_ = true;
    snapshot.stored_ms = wall_clock_ms();
    objects_.put(object_name_, state::to_text(snapshot),
                 [this](auto /*stored*/) { save_pending_ = false; });
}

} // namespace azureyoke::app
