#include "azureyoke/src/app/rollout_status_writer.h"

#include <utility>

namespace azureyoke::app {

using coordination::rollout_state;
using coordination::write_result;

namespace internal {
namespace {

/// The next instance looks so much later whether the one before it has written.
constexpr transport::duration rank_delay = std::chrono::milliseconds(500);
/// Instances of higher ranks leave the row to those before them: a rank falls when one is gone.
constexpr std::ptrdiff_t most_ranks = 3;
constexpr transport::duration retry_delay = std::chrono::milliseconds(200);

} // namespace
} // namespace internal

rollout_status_writer::rollout_status_writer(transport::event_loop& loop,
                                             rollout_status_store& store, const event_log& log,
                                             found_handler found)
    : loop_(loop), store_(store), log_(log), found_(std::move(found)) {}

void rollout_status_writer::want(const std::string& service, const std::string& to,
                                 rollout_state state, bool earlier_rows_count,
                                 const state::record_version& ordered) {
    auto& it = rows_[service];
    if (it.to == to && it.state == state && it.ordered == ordered)
        return;
    bool same_order =
        it.to == to && it.ordered == ordered && it.state == rollout_state::in_progress;
    row changed;
    changed.to = to;
    changed.state = state;
    changed.ordered = ordered;
    changed.earlier_rows_count =
        same_order ? it.earlier_rows_count || it.settled : earlier_rows_count;
    changed.known = same_order && it.known;
    changed.change = it.change + 1;
    changed.wanted_at = loop_.now();
    it = changed;
}

void rollout_status_writer::forget() {
    for (auto& [service, it] : rows_) {
        it.settled = false;
        it.busy = false;
        it.earlier_rows_count = false; // the state reached is final, whatever the copy says
        it.wanted_at = loop_.now();
        ++it.change;
    }
}

bool rollout_status_writer::is_known(const std::string& service) const {
    auto found = rows_.find(service);
    return found != rows_.end() && found->second.known;
}

bool rollout_status_writer::belongs_to_order(const row& it, const rollout_status& found) {
    // The store counts the versions of all its tables together within an era.
    if (it.state == rollout_state::in_progress && found.version.era == it.ordered.era)
        return found.version > it.ordered;
    return it.earlier_rows_count;
}

bool rollout_status_writer::is_my_turn(const row& it) const {
    return rank_ < internal::most_ranks &&
           loop_.now() - it.wanted_at >= internal::rank_delay * rank_;
}

void rollout_status_writer::tick(std::ptrdiff_t rank) {
    auto now = loop_.now();
    rank_ = rank;
    for (auto& [service, it] : rows_) {
        bool must_know = it.earlier_rows_count && !it.known;
        if (it.settled || it.busy || now < it.next_try || !(must_know || is_my_turn(it)))
            continue;
        it.busy = true;
        read(service, it.change);
    }
}

rollout_status_writer::row* rollout_status_writer::find(const std::string& service,
                                                        std::uint64_t change) {
    auto found = rows_.find(service);
    return found == rows_.end() || found->second.change != change ? nullptr : &found->second;
}

void rollout_status_writer::read(const std::string& service, std::uint64_t change) {
    store_.read(service,
                [this, service, change](const auto& found) { on_read(service, change, found); });
}

void rollout_status_writer::on_read(const std::string& service, std::uint64_t change,
                                    const std::optional<rollout_status>& found) {
    auto* it = find(service, change);
    if (it == nullptr)
        return;
    it->busy = false;
    it->next_try = loop_.now() + internal::retry_delay;
    if (!found)
        return;
    it->known = true;
    bool same = found->to == it->to && found->state == it->state;
    bool is_final = found->to == it->to && found->state != rollout_state::in_progress;
    if (same) {
        it->settled = true;
    } else if (is_final && belongs_to_order(*it, *found)) {
        it->settled = true;
        found_(service, *found);
    } else if (is_my_turn(*it)) { // otherwise the row was read to know it
        it->busy = true;
        write(service, change, *found);
    }
}

void rollout_status_writer::write(const std::string& service, std::uint64_t change,
                                  const rollout_status& found) {
    const auto& wanted = rows_[service];
    rollout_status status{wanted.to, wanted.state, found.version};
    store_.write(service, status, [this, service, change, status](write_result result) {
        if (result == write_result::written)
            log_.write(
                event_id::rollout_status_written,
                {{"service", service}, {"software", status.to}, {"state", name_of(status.state)}});
        auto* it = find(service, change);
        if (it == nullptr)
            return;
        it->busy = false;
        it->settled = result == write_result::written;
        // From now on a final state in the row belongs to this order.
        it->earlier_rows_count = it->earlier_rows_count || it->settled;
        it->next_try = loop_.now() + internal::retry_delay;
    });
}

} // namespace azureyoke::app
