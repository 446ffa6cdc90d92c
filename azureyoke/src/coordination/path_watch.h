#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct path_settings {
    /// Servers that must be unreachable in a row before the path counts as lost, if nothing was
    /// heard from any server meanwhile.
    std::size_t failed_servers = 2;
    /// The same while other connections still bring answers.
    std::size_t failed_servers_if_heard = 4;
    /// Servers that fail at the same moment may have crashed together.
    duration min_failing_time = std::chrono::milliseconds(60);
    duration failure_age = std::chrono::seconds(2); ///< Older failures do not count.
    /// Answers that came in this time show that the connections which are open still work.
    duration heard_age = std::chrono::seconds(1);
    /// Requests that wait for so long, with nothing heard from any server, are a reason to probe.
    duration silence = std::chrono::milliseconds(400);
    duration probe_interval = std::chrono::milliseconds(150);
    /// Probes in a row that must succeed, over `return_time`, before the path is used again.
    int return_probes = 3;
    duration return_time = std::chrono::milliseconds(500);

    friend bool operator==(const path_settings&, const path_settings&) = default;
};

/// \brief Decides whether this instance reaches backend servers over new connections.
///
/// One server that can't be reached may be down. When servers fail one after the other and none can
/// be reached in between, it is the instance's own path. Only an answer shows that a server is
/// reached: something on the way may accept a connection in its place. Fault patterns: connections
/// are reset and new ones refused; connections hang; connections live on while new ones are
/// refused; new connections are accepted and then reset or silent. Pure. Not thread safe.
class path_watch {
public:
    explicit path_watch(const path_settings& settings) : settings_(settings) {}

    /// \brief A server answered over a new connection.
    /// \returns whether the path is usable again from now on.
    bool on_reached(instant now);
    /// \brief A new connection to a server could not be established, or brought no answer;
    /// `servers` is the number of those known.
    /// \returns whether the path is lost from now on.
    bool on_unreachable(const std::string& server, std::size_t servers, instant now);

    /// \brief A part of an answer arrived from a server.
    void on_heard(instant now) { last_heard_ = now; }

    /// \brief The number of requests that wait for a server changed.
    void set_waiting(std::size_t requests, instant now);

    /// \returns whether new connections to servers fail.
    bool lost() const { return lost_since_.has_value(); }

    /// \returns the time since which new connections fail. \pre `lost()`
    instant lost_since() const { return *lost_since_; }

    /// \returns whether connections that are open already still work, as far as known.
    bool open_connections_work(instant now) const {
        return last_heard_ && now - *last_heard_ <= settings_.heard_age;
    }

    /// \returns whether a server should be probed now.
    bool probe_due(instant now) const;

    void on_probe(instant now) { last_probe_ = now; }

private:
    void drop_old_failures(instant now);

    path_settings settings_;
    std::map<std::string, instant> failed_; ///< Since a server was last reached.
    std::optional<instant> lost_since_;
    std::optional<instant> last_heard_;
    std::optional<instant> waiting_since_;
    std::optional<instant> last_probe_;
    instant first_return_;
    int returns_ = 0; ///< Servers reached in a row since the path was lost.
};

} // namespace azureyoke::coordination
