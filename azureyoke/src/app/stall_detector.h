#pragma once

#include <memory>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Logs each time that the event loop runs a periodic timer more than `max_delay` late. Not
/// thread safe.
class stall_detector {
public:
    stall_detector(transport::event_loop& loop, const event_log& log)
        : loop_(loop), log_(log), due_(loop.now() + period),
          ticker_(loop.every(period, [this] { tick(); })) {}

private:
    static constexpr transport::duration period = std::chrono::milliseconds(50);
    static constexpr transport::duration max_delay = std::chrono::milliseconds(200);

    void tick() {
        auto delay = loop_.now() - due_;
        due_ = loop_.now() + period;
        if (delay <= max_delay)
            return;
        auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
        log_.warn(event_id::loop_stalled, {{"took_ms", std::to_string(ms)}});
    }

    transport::event_loop& loop_;
    const event_log& log_;
    transport::instant due_;
    std::unique_ptr<transport::timer> ticker_;
};

} // namespace azureyoke::app
