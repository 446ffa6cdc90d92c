#pragma once

#include <functional>
#include <memory>

#include "azureyoke/src/transport/tcp_stream.h"

namespace azureyoke::transport {

enum class connect_result {
    accepted,
    refused,  ///< Nothing listens there.
    no_answer ///< Not known: the host or the way to it may be gone.
};

/// \brief Opens one connection to learn whether a process still listens, and closes it again. Its
/// destructor cancels it. Not thread safe.
class connect_probe : private tcp_stream_sink {
public:
    /// \brief `done` is called once, from the loop; it may destroy the probe.
    connect_probe(event_loop& loop, const address& to, duration timeout,
                  std::function<void(connect_result)> done);

private:
    void on_connected() override { finish(connect_result::accepted); }

    void on_bytes(std::string_view /*bytes*/) override {}

    void on_end(bool /*reset*/) override { finish(connect_result::refused); }

    void finish(connect_result result);

    std::function<void(connect_result)> done_;
    std::unique_ptr<timer> timeout_;
    tcp_stream stream_;
};

} // namespace azureyoke::transport
