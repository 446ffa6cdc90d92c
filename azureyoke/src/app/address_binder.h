#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/transport/error.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Binds the addresses of an instance one after the other, and waits for one that is in use.
///
/// A process that replaces another may start while the former still drains. It must not end then,
/// since there may be nothing that starts it once more. Not thread safe.
class address_binder {
public:
    /// An attempt to bind one address. It is repeated after a failure.
    using attempt = std::function<transport::result<void>()>;

    address_binder(transport::event_loop& loop, const event_log& log);

    /// \brief Calls `done` once all attempts have succeeded, in their order; possibly before this
    /// returns.
    /// \pre Called once.
    void start(std::vector<attempt> attempts, std::function<void()> done);

    bool bound() const { return bound_; }

private:
    void try_remaining();

    transport::event_loop& loop_;
    const event_log& log_;
    std::vector<attempt> attempts_;
    std::function<void()> done_;
    std::size_t succeeded_ = 0;
    std::string last_error_;
    transport::instant started_at_;
    std::unique_ptr<transport::timer> retry_timer_;
    bool bound_ = false;
};

} // namespace azureyoke::app
