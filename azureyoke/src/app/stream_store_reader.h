#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/app/forward_ports.h"
#include "azureyoke/src/app/metrics.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// Record of the software versions of each pool.
inline constexpr const char* software_versions_record = "software-versions";
/// Each instance has a record of its open streams under this prefix.
inline constexpr const char* streams_prefix = "streams/";

/// \brief Reads the changes of the registry together with the stored versions and streams.
///
/// Requests that come while a read is under way share the next one: each is answered by a read that
/// began after it. Not thread safe.
class stream_store_reader {
public:
    struct content {
        stored_record versions;
        std::vector<stored_record> streams;

        friend bool operator==(const content&, const content&) = default;
    };

    /// Takes what was read, once a read. \returns whether it is usable.
    using content_handler = std::function<bool(const content&)>;
    /// Gets whether the read succeeded, after `content_handler` took what was read.
    using handler = std::function<void(bool)>;

    /// \pre The references outlive this object.
    stream_store_reader(transport::event_loop& loop, server_list_reader& servers,
                        record_store& records, metrics& measures, content_handler on_content);

    /// \brief Calls `done` once, after the listener of the registry has all its changes.
    /// `min_period` is the least time between the starts of two reads.
    void read(transport::duration min_period, handler done);

private:
    struct round;

    void begin_when_due();
    void begin();
    void end(round& finished);

    transport::event_loop& loop_;
    server_list_reader& servers_;
    record_store& records_;
    metrics& measures_;
    content_handler on_content_;
    std::vector<handler> waiting_; ///< For the next read.
    std::shared_ptr<round> round_; ///< The read under way.
    transport::duration min_period_{};
    transport::instant next_begin_;
    std::unique_ptr<transport::timer> begin_timer_;
};

} // namespace azureyoke::app
