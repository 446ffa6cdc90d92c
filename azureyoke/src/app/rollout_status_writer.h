#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/rollout_status_store.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Brings the status rows of rollouts to the state that was reached.
///
/// Every instance knows the state; the one of rank 0 writes it at once, the next ones look after a
/// delay whether it was written, and write it otherwise. A row whose state could have come from an
/// earlier order of the same version is told apart by the caller. Not thread safe.
class rollout_status_writer {
public:
    /// \brief Called when the row shows a final state of the version while another one is wanted.
    using found_handler = std::function<void(const std::string& service, const rollout_status&)>;

    rollout_status_writer(transport::event_loop& loop, rollout_status_store& store,
                          const event_log& log, found_handler found);

    /// \brief Sets the state that the row shall show. `earlier_rows_count` if a final state of this
    /// version in the row belongs to this order. `ordered` is the version of the order's row:
    /// within its era it tells which final states are newer than the order, and these are not
    /// overwritten with `in_progress`.
    void want(const std::string& service, const std::string& to, coordination::rollout_state state,
              bool earlier_rows_count, const state::record_version& ordered);
    /// \brief All rows may have changed.
    void forget();
    /// \brief Reads and writes what is due; `rank` is that of this instance among those that reach
    /// the registry. To be called every 100 ms.
    void tick(std::ptrdiff_t rank);
    /// \returns whether the row was read or written since `want` was called first.
    bool is_known(const std::string& service) const;

private:
    struct row {
        std::string to;
        coordination::rollout_state state = coordination::rollout_state::in_progress;
        bool earlier_rows_count = false;
        state::record_version ordered; ///< Of the order's row.
        bool settled = false;          ///< The row shows the wanted state.
        bool known = false;
        bool busy = false;
        std::uint64_t change = 0; ///< Answers to calls before the last change are ignored.
        transport::instant wanted_at;
        transport::instant next_try;
    };

    /// Whether a final state that was found is that of the order.
    static bool belongs_to_order(const row& it, const rollout_status& found);
    bool is_my_turn(const row& it) const;
    void read(const std::string& service, std::uint64_t change);
    void on_read(const std::string& service, std::uint64_t change,
                 const std::optional<rollout_status>& found);
    void write(const std::string& service, std::uint64_t change, const rollout_status& found);
    row* find(const std::string& service, std::uint64_t change);

    transport::event_loop& loop_;
    rollout_status_store& store_;
    const event_log& log_;
    found_handler found_;
    std::ptrdiff_t rank_ = 0;         ///< In the last call of `tick`.
    std::map<std::string, row> rows_; ///< By service.
};

} // namespace azureyoke::app
