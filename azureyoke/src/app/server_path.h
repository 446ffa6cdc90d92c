#pragma once

#include <functional>
#include <optional>
#include <string>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/transport/address.h"

namespace azureyoke::app {

/// \brief An instance that takes requests of an instance which reaches no server.
struct request_helper {
    std::string name;
    transport::address address;

    friend bool operator==(const request_helper&, const request_helper&) = default;
};

/// \brief What this instance knows of its own path to the backend servers, and who helps when it is
/// lost. Not thread safe.
class server_path {
public:
    virtual ~server_path() = default;
    virtual void on_sent() = 0;
    virtual void on_ended() = 0;
    /// \brief A part of an answer arrived; `new_connection` when it is the first on its connection.
    virtual void on_heard(bool new_connection) = 0;
    /// \brief No new connection to the server could be established, or it ended without an answer.
    virtual void on_unreachable(const std::string& server) = 0;
    /// \returns whether new connections to servers fail.
    virtual bool lost() const = 0;
    /// \returns whether connections that are open already still work, as far as known.
    virtual bool open_connections_work() const = 0;
    /// \brief Finds out whether this instance reaches a server other than `server`. `done` is
    /// called once, possibly before this returns.
    virtual void check(const std::string& server, std::function<void(bool reached)> done) = 0;
    /// \returns an instance that may reach servers; nothing when none is known.
    virtual std::optional<request_helper> choose_helper() = 0;
    virtual void on_handed_on(const std::string& helper) = 0;
    /// \brief A request that was handed on has ended.
    virtual void on_help_ended(const std::string& helper) = 0;
    /// \brief The helper began to answer a request.
    virtual void on_help_served(const std::string& helper) = 0;
    /// \brief The helper did not run a request.
    virtual void on_help_refused(const std::string& helper) = 0;
};

} // namespace azureyoke::app
