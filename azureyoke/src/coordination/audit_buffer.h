#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/audit_entry.h"
#include "azureyoke/src/state/document.h"

namespace azureyoke::coordination {

struct audit_settings {
    std::size_t max_entries = 20'000; ///< Not yet in a batch.
    std::size_t max_batch_size = 500;
    duration max_batch_delay = std::chrono::seconds(2);
    duration retry_delay = std::chrono::seconds(5);

    friend bool operator==(const audit_settings&, const audit_settings&) = default;
};

/// \brief Entries that are stored as one object.
struct audit_batch {
    std::uint64_t number = 0; ///< A retried batch keeps its number.
    std::vector<state::audit_entry> entries;

    friend bool operator==(const audit_batch&, const audit_batch&) = default;
};

/// \brief Bounded buffer of audit entries, which are stored in batches.
///
/// A batch that may have been stored is retried under the same number, so that it is never stored
/// twice. When the buffer is full, the oldest entry is dropped, and the next batch reports the
/// number of dropped entries. Pure. Not thread safe.
class audit_buffer {
public:
    explicit audit_buffer(const audit_settings& settings) : settings_(settings) {}

    void add(state::audit_entry entry, instant now);
    /// \returns the batch to store now; nothing when no batch is due or one is being stored.
    std::optional<audit_batch> next_batch(instant now);
    void on_stored();
    void on_failed(instant now);

    std::uint64_t dropped() const { return dropped_; }

    /// \returns whether nothing is left to store, not even a batch to be retried.
    bool empty() const { return entries_.empty() && !current_; }

private:
    audit_settings settings_;
    std::deque<state::audit_entry> entries_;
    std::optional<audit_batch> current_;
    bool storing_ = false; ///< `current_` is being stored.
    std::uint64_t next_batch_ = 1;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_dropped_ = 0;
    instant batch_wait_start_; ///< Time from which `max_batch_delay` counts.
    instant retry_at_;
};

/// \returns audit entries, without time and instance, for the changes from document version
/// `before`, which is null for a first version, to `after`.
std::vector<state::audit_entry> describe_changes(const state::document* before,
                                                 const state::document& after);

} // namespace azureyoke::coordination
