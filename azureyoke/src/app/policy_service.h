#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/peer_directory.h"
#include "azureyoke/src/app/policy_changes.h"
#include "azureyoke/src/coordination/policy_catch_up.h"

namespace azureyoke::app {

/// \brief Keeps the policy of an instance up to date from the registry and from peers, and passes
/// it on to peers. Not thread safe.
///
/// The registry sends the whole policy with each change. A peer that has the new version sends
/// what changed, which takes a small part of that time on a narrow link. Whatever comes first is
/// put in force.
class policy_service {
public:
    /// \brief Called after a newer policy has come into force.
    using policy_handler = std::function<void(const policy_copy&)>;

    policy_service(transport::event_loop& loop, forward_state& state, peer_directory& peers,
                   fleet_registry& registry, transport::backend_pool& backends,
                   const event_log& log, log_rate_limiter& log_limiter, metrics& measures,
                   std::uint64_t seed, policy_handler on_policy);

    /// \brief The registry sent a policy.
    void on_registry_policy(const policy_copy& copy);
    /// \brief A peer reported the version of its policy.
    void on_peer(std::int64_t version);
    /// \brief Forgets a newer version when no responsive peer has it any more.
    void tick();

    /// \returns the policy or its changes for a peer; nothing when `path` is not one of these
    /// pages. `open_answers` is the number of answers to peers and operators under way, this one
    /// included.
    std::optional<transport::http_response> page(std::string_view path, std::size_t open_answers);

private:
    struct transfer {
        std::string peer;
        coordination::policy_content content = coordination::policy_content::changes;
        std::int64_t own_version = 0;
    };

    std::int64_t own_version() const;
    void schedule();
    void request();
    void on_answer(const transfer& it, const transport::result<transport::http_response>& answer);
    coordination::policy_answer
    take_answer(const transfer& it, const transport::http_response& answer, std::string& why);
    void take(const policy_copy& copy, const std::string& source, std::size_t bytes);

    transport::event_loop& loop_;
    forward_state& state_;
    peer_directory& peers_;
    fleet_registry& registry_;
    transport::backend_pool& backends_;
    const event_log& log_;
    log_rate_limiter& log_limiter_;
    metrics& metrics_;
    policy_handler on_policy_;
    coordination::policy_catch_up catch_up_;
    policy_history history_;
    std::unique_ptr<transport::timer> timer_;
};

} // namespace azureyoke::app
