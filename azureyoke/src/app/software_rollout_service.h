#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/peer_directory.h"
#include "azureyoke/src/app/rollout_status_writer.h"
#include "azureyoke/src/app/software_gate.h"
#include "azureyoke/src/app/software_message.h"
#include "azureyoke/src/coordination/answer_time_model.h"

namespace azureyoke::app {

/// \brief Moves services to other software versions as operators order it: counts the answers of
/// both versions, exchanges the counters with the peers, and tells placement which servers to leave
/// out. See docs/design/software-rollout.md. Not thread safe.
class software_rollout_service : public software_gate, public peer_section {
public:
    /// \brief The peers are told of a final state for the time `retention`.
    software_rollout_service(transport::event_loop& loop, forward_state& state,
                             const peer_directory& peers, rollout_status_store& statuses,
                             const event_log& log, metrics& measures,
                             std::function<bool()> registry_reachable,
                             transport::duration retention = std::chrono::seconds(60));

    /// \brief Takes up an order; an order that is known already changes nothing, and one that makes
    /// no sense is logged.
    void on_order(const rollout_order_row& order);
    /// \brief The registry answered, or a call failed. To be called before the rows of an answer
    /// are passed on.
    void on_registry_reachable(bool reachable);
    /// \brief The registry was restored from an older copy: its status rows may be old.
    void on_registry_restored();
    void on_fleet_changed() override;
    /// \brief To be called every 100 ms.
    void tick();

    void leave_out(const std::string& route, bool repeat,
                   coordination::placement_query& query) override;
    bool allow_others(coordination::placement_query& query) override;
    std::uint64_t on_sent(const std::string& route, const std::string& pool,
                          const coordination::server_choice& choice) override;
    void on_first_answer(std::uint64_t attempt) override;
    void on_ended(std::uint64_t attempt, coordination::call_outcome outcome, int status) override;

    std::string name() const override { return "rollout"; }

    std::vector<std::string> contents(report_scope scope) override;
    bool on_content(const section_sender& sender, std::string_view content) override;

    bool has_news() const override { return has_news_; }

    /// What the status page shows of one rollout.
    struct view {
        std::string service;
        std::string to;
        std::string state;
        std::string phase;
        std::string reason; ///< Of the final state, or what speaks against the version most.
        double share = 0;
        double evidence = 0; ///< Log likelihood ratio for a fault.
        bool paused = false;

        friend bool operator==(const view&, const view&) = default;
    };

    std::vector<view> views() const;

private:
    using server_set = std::shared_ptr<const std::set<std::string>>;

    struct peer_view {
        coordination::software_evidence evidence;
        transport::instant received_at;
    };

    struct rollout {
        state::record_version version; ///< Of the order's row.
        coordination::software_rollout decided;
        bool begin_known = false; ///< When the order was written.
        bool paused = false;
        coordination::software_evidence own;
        std::map<std::pair<std::string, std::uint64_t>, peer_view> peers; ///< By run.
        std::optional<transport::instant> ended_at;
        coordination::software_rollout::phase logged_phase =
            coordination::software_rollout::phase::waiting;
        server_set without_old;               ///< For requests of the new version.
        server_set without_new;               ///< For those of the old one.
        coordination::rollout_servers usable; ///< When the sets were made.
        std::vector<std::string> canaries;    ///< The new servers within the limit.
        int server_limit = 0;        ///< Of new servers, for which the sets were made; 0: none.
        bool passed_over = false;    ///< A new server is not among them since it is unavailable.
        bool servers_changed = true; ///< After the sets were made.
    };

    /// An attempt under way.
    struct attempt {
        std::string pool;
        std::string route;
        std::string server;
        bool to_new = false;
        bool judged = false; ///< Its speed is known, or is not to be judged.
        transport::instant sent;
        double nominal_ms = 0;
        double limit_ms = 0; ///< Slow from then on; 0: not known.
    };

    /// Instances that follow the registry read an order within this time of each other: a feed call
    /// and its repeat.
    static constexpr transport::duration order_spread = std::chrono::milliseconds(3500);

    /// Whether a peer that took the order to be written by `earlier` before the time known here,
    /// and knows that time if `begin_known`, means the same order.
    static bool is_same_order(const rollout& known, transport::duration earlier, bool begin_known);
    /// Whether the final state was reached so long ago that no work is left.
    bool is_over(const rollout& it) const;
    bool is_new_order(const rollout& known, const rollout_order_row& order) const;
    /// Whether this instance hears too few peers, or no registry.
    bool isolated() const;
    void update(const std::string& service, rollout& it);
    /// Finds the servers that may be used, unless they are known.
    void refresh_servers(const std::string& service, rollout& it);
    void update_servers(const std::string& service, rollout& it);
    /// Whether a server that the canary's requests may go to is suspended or refuses work.
    bool canary_unavailable(const rollout& it) const;
    coordination::software_evidence merged(const rollout& it) const;
    /// Adds this instance's attempts that are under way.
    void count_running(const std::string& service, coordination::software_evidence& sum) const;
    void log_changes(const std::string& service, rollout& it);
    void judge_waiting();
    coordination::route_counts& counts_of(rollout& it, const attempt& of);
    void mark_speed(attempt& of, bool is_slow);
    bool warms_up(const rollout& it, const state::fleet_server& server) const;
    software_message message_of(const std::string& service, const rollout& it) const;

    transport::event_loop& loop_;
    forward_state& state_;
    const peer_directory& peers_;
    const event_log& log_;
    metrics& measures_;
    std::function<bool()> registry_reachable_;
    transport::duration retention_;
    rollout_status_writer writer_;
    /// The first answer of the registry after the start or after its last failure.
    std::optional<transport::instant> followed_since_;
    std::map<std::string, rollout> rollouts_; ///< By service.
    std::map<std::pair<std::string, std::string>, coordination::answer_time_model>
        times_; ///< By pool and route, of servers that are not of the new version.
    std::map<std::uint64_t, attempt> attempts_;
    /// First seen, by server and start of its run.
    std::map<std::pair<std::string, std::int64_t>, transport::instant> first_seen_;
    std::map<std::string, state::record_version> refused_; ///< Logged orders, by service.
    std::uint64_t next_attempt_ = 1;
    bool has_news_ = false;
};

} // namespace azureyoke::app
