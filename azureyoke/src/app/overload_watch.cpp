#include "azureyoke/src/app/overload_watch.h"

#include <cstdio>

namespace azureyoke::app {

namespace internal {
namespace {

/// An overload has ended when nothing was refused for this long.
constexpr coordination::duration quiet_time = std::chrono::seconds(2);

std::string fraction_text(double value) {
    std::string text(16, '\0');
    auto n = std::snprintf(text.data(), text.size(), "%.2f", value);
    text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return text;
}

} // namespace
} // namespace internal

void overload_watch::tick(coordination::instant now) {
    for (const auto& [pool, refused] : admission_.refusals()) {
        auto& it = pools_[pool];
        if (refused > it.seen) {
            it.last = now;
            if (!it.active) {
                it.active = true;
                it.began = now;
                it.first = it.seen;
                log_.warn(
                    event_id::overload_began,
                    {{"pool", pool},
                     {"occupancy", internal::fraction_text(admission_.occupancy(pool))},
                     {"usual_occupancy", internal::fraction_text(admission_.usual_occupancy(pool))},
                     {"admitted", internal::fraction_text(admission_.admitted_of_all(pool, now))}});
            }
            it.seen = refused;
        }
        if (!it.active || now - it.last < internal::quiet_time)
            continue;
        it.active = false;
        log_.write(
            event_id::overload_ended,
            {{"pool", pool},
             {"refused", std::to_string(refused - it.first)},
             {"lasted_ms", std::to_string((it.last - it.began) / std::chrono::milliseconds(1))}});
    }
}

} // namespace azureyoke::app
