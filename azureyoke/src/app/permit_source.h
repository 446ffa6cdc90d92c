#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::app {

/// \brief Permits to send requests to backend servers that limit their rate. Not thread safe.
class permit_source {
public:
    using handler = std::function<void(bool granted)>;

    virtual ~permit_source() = default;

    /// \brief Applies a server's answer to a request of `sent_at`. `per_second` is infinite when
    /// the answer names no limit, and `started_ms` the start of the server's run.
    virtual void on_answer(const std::string& server, std::int64_t started_ms, double per_second,
                           coordination::instant sent_at) = 0;
    /// \returns whether a request to the server needs a permit.
    virtual bool required(const std::string& server) const = 0;
    /// \brief Asks for a permit to send one request now. `done` is called exactly once, possibly
    /// before this returns. After a denial the router leaves the server out for a while.
    virtual void acquire(const std::string& server, handler done) = 0;
    /// \returns when a caller should return that was refused because the servers of `pool` are at
    /// their limits for `earliest`. `latest` is the longest time that it can wait.
    virtual coordination::duration book_return(const std::string& pool,
                                               coordination::duration earliest,
                                               coordination::duration latest) = 0;
};

} // namespace azureyoke::app
