#include "azureyoke/src/transport/connect_probe.h"

#include <utility>

namespace azureyoke::transport {

connect_probe::connect_probe(event_loop& loop, const address& to, duration timeout,
                             std::function<void(connect_result)> done)
    : done_(std::move(done)),
      timeout_(loop.after(timeout, [this] { finish(connect_result::no_answer); })),
      stream_(loop, to, *this) {}

void connect_probe::finish(connect_result result) {
    auto done = std::exchange(done_, nullptr);
    timeout_.reset();
    if (done)
        done(result);
}

} // namespace azureyoke::transport
