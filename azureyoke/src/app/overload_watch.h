#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/coordination/admission_control.h"

namespace azureyoke::app {

/// \brief Logs when overload control begins to refuse requests of a pool and when it has ended.
/// Not thread safe.
class overload_watch {
public:
    /// Both references must outlive this object.
    overload_watch(const coordination::admission_control& admission, const event_log& log)
        : admission_(admission), log_(log) {}

    /// \brief Call several times a second.
    void tick(coordination::instant now);

private:
    struct pool_watch {
        std::uint64_t seen = 0;  ///< Refusals at the last tick.
        std::uint64_t first = 0; ///< Refusals before the current overload.
        bool active = false;
        coordination::instant began;
        coordination::instant last; ///< When the last refusal was seen.
    };

    const coordination::admission_control& admission_;
    const event_log& log_;
    std::map<std::string, pool_watch> pools_;
};

} // namespace azureyoke::app
