#pragma once

#include <functional>
#include <memory>
#include <string>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::app {

/// \brief A request whose connection this instance has closed.
struct abandoned_run {
    std::string server;
    std::string address; ///< IP:PORT to which the request was sent.
    std::string request_id;
    coordination::instant began; ///< Of its first event; if none came, of its end here.

    friend bool operator==(const abandoned_run&, const abandoned_run&) = default;
};

/// \brief Tells when backend servers have stopped working on requests. Not thread safe.
class run_watcher {
public:
    /// \brief Ends the watch when it is destroyed.
    class watch {
    public:
        virtual ~watch() = default;
    };

    virtual ~run_watcher() = default;
    /// \brief Calls `done` once, from the event loop, when the server no longer works on the
    /// request or cannot be reached. It is not called after the watch was destroyed.
    virtual std::unique_ptr<watch> await_end(const abandoned_run& run,
                                             std::function<void()> done) = 0;
};

} // namespace azureyoke::app
