#pragma once

#include <functional>
#include <optional>
#include <string>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::app {

/// \brief The software versions that streams began on. Not thread safe.
class stream_registry {
public:
    struct answer {
        std::optional<std::string> software; ///< Absent when the stream may not go on.
        std::string why;                     ///< The reason for that.
        bool may_be_found_later = false;

        friend bool operator==(const answer&, const answer&) = default;
    };

    using handler = std::function<void(const answer&)>;

    virtual ~stream_registry() = default;
    /// \returns whether the software versions in the list of servers are those of now. They may not
    /// be after this process was stopped for a while, since a server can start again under its id.
    virtual bool versions_are_current() const = 0;
    /// \brief The stream of the request `stream` got its first event from a server of this version;
    /// its caller may take it up again for `remaining`.
    virtual void on_begun(const std::string& stream, const std::string& pool,
                          const std::string& software, coordination::duration remaining) = 0;
    /// \brief Events of the stream may come from another version than `on_begun` named: nobody
    /// takes it up.
    virtual void on_uncertain(const std::string& stream, const std::string& pool) = 0;
    /// \brief The stream came to its end: its caller does not take it up.
    virtual void on_complete(const std::string& stream) = 0;
    /// \brief Finds the version that a stream began on. `stream` may be empty, when the caller does
    /// not name the request. `done` is called exactly once, possibly before this returns.
    virtual void find(const std::string& stream, const std::string& pool, handler done) = 0;
};

} // namespace azureyoke::app
