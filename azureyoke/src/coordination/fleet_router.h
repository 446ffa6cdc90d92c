#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "azureyoke/src/coordination/fleet_directory.h"
#include "azureyoke/src/coordination/latency_model.h"
#include "azureyoke/src/coordination/member_unresponsive_timeout.h"
#include "azureyoke/src/coordination/server_ramps.h"
#include "azureyoke/src/coordination/server_speed.h"
#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/fleet_server.h"

namespace azureyoke::coordination {

struct fleet_router_settings {
    std::string instance; ///< Unique in the fleet.
    std::string data_centre;
    /// Nominal prompt processing speed in tokens per millisecond. The learned latency ratio of a
    /// server scales the estimates that are made with it.
    double tokens_per_ms = 40;
    /// Milliseconds that each running or queued request adds to the wait of the next request.
    double running_request_ms = 4;
    double queued_request_ms = 60;
    duration load_report_ttl = std::chrono::milliseconds(800); ///< Validity of a load report.
    duration first_suspension = std::chrono::milliseconds(400);
    duration longest_suspension = std::chrono::seconds(4);
    duration shed_suspension = std::chrono::milliseconds(150); ///< After a load-shedding refusal.
    duration likely_cached_ttl = std::chrono::seconds(60);     ///< A sent part is presumed cached.
    /// Other prompts may have evicted a part that was not sent for this long, so it is fetched. A
    /// fetch costs little when the part is still cached.
    duration certainly_cached_ttl = std::chrono::milliseconds(1500);
    duration weights_change_timeout = std::chrono::seconds(3); ///< Validity of an announced change.
    double remote_penalty_ms = 0.6;
    double old_weights_penalty_ms = 80; ///< For a server whose weights are not the newest.
    /// Weight of the time to recompute shared parts. It is above 1 because the recomputed parts
    /// also evict cache entries that other requests share.
    double recompute_penalty = 4;
    /// Minimum time between saves of the same parts.
    duration save_interval = std::chrono::seconds(20);
    std::size_t max_cache_entries = 100'000;
    /// A peer's work is dropped this long after its last report.
    duration peer_timeout = member_unresponsive_timeout;
    /// Upper bound of a backoff that a server requests with Retry-After.
    duration longest_backoff = std::chrono::hours(1);
    pace_settings pace;

    friend bool operator==(const fleet_router_settings&, const fleet_router_settings&) = default;
};

/// \brief The properties of a request that its placement depends on.
struct placement_query {
    std::string pool;
    std::string model;                     ///< Empty for a plain service.
    std::string software;                  ///< The only software version to use; empty: any.
    std::string cache_salt;                ///< Requests with different salts share no cache.
    std::vector<state::prompt_part> parts; ///< The last part is not shared with other requests.
    std::vector<std::string> excluded;     ///< Servers that already failed this request.
    std::int64_t newest_weights = 0;       ///< Preferred version; 0: no preference.
    std::int64_t oldest_weights = 0;       ///< Servers with older weights may not serve it.
    bool unlimited_only = false;           ///< Leaves out servers that limit their rate.
    int max_connections = 0;               ///< Per server, over all instances; 0: no limit.
    std::int64_t number = 0;               ///< Spreads requests without parts.
    /// Estimates follow the servers' speeds and slowdowns as `server_speed` knows them.
    bool uneven = false;
    double target_ms = 0;   ///< Time up to which the first answer is on time; 0: not known.
    std::int64_t bytes = 0; ///< Size of the request's body.
    /// Servers that ramp up are less preferred beyond their pace.
    bool paced = false;
    bool beyond_pace = false; ///< Chooses as if no server ramped up.
    /// Leaves out servers that are suspended or load new weights, even if there is no other one.
    bool unsuspended_only = false;
    /// Chooses by the estimated time to first token alone, without the costs of placement.
    bool quickest = false;
    /// Servers that a rollout leaves out for now; null: none.
    std::shared_ptr<const std::set<std::string>> left_out;

    friend bool operator==(const placement_query&, const placement_query&) = default;
};

struct server_choice {
    std::string server;
    std::int64_t uncached_tokens = 0;     ///< Prompt tokens that the server must process.
    double estimated_first_answer_ms = 0; ///< Estimated time to first token.
    std::int64_t weights = 0; ///< The server's version for the request's model; 0: unknown.
    bool fetch = false;       ///< The server may lack shared parts that can be fetched.
    std::string cache_source; ///< Server that has these parts cached; empty: unknown.
    bool save = false;        ///< The shared parts are worth saving.
    double nominal_first_answer_ms = 0; ///< Time to first token at the nominal speed.
    std::string pool = {};
    bool uneven = false; ///< As in the query: the answer teaches `server_speed`.
    int slots = 0;       ///< Of the server.
    bool paced = false;  ///< As in the query.

    friend bool operator==(const server_choice&, const server_choice&) = default;
};

/// \brief Load that one instance puts on one server.
struct server_work {
    int in_flight = 0;
    std::int64_t unprocessed_tokens = 0; ///< In prompts without a first token yet.

    friend bool operator==(const server_work&, const server_work&) = default;
};

/// \brief A prompt that was sent to a server, as the hashes of its shared prefixes.
struct placed_prompt {
    std::string server;
    std::vector<std::uint64_t> prefix_hashes;

    friend bool operator==(const placed_prompt&, const placed_prompt&) = default;
};

/// \brief The outcome of one call, as seen from its server.
enum class call_outcome {
    answered,    ///< A successful answer.
    error,       ///< The server answered with an error of its own.
    shed,        ///< Refused by load shedding; the request was not run.
    incomplete,  ///< The answer is incomplete or missing.
    unreachable, ///< No connection was established.
    cancelled    ///< The caller disconnected.
};

/// \brief Chooses a server for each request by cache contents, load, speed and failures.
///
/// Load patterns: a prompt that no instance has sent yet has one preferred server, found by
/// rendezvous hashing of its parts, so that instances agree before they have exchanged messages.
/// From then on peers report where its parts were sent and how much work waits there. A hot prompt
/// spills to further servers as soon as waiting costs more than recomputing the parts. A server
/// that is unreachable or repeatedly breaks off answers is suspended for a time that doubles; a
/// server that sheds load is suspended for a short fixed time; a slow server costs more by its
/// learned latency ratio. When all servers are suspended, the server whose suspension ends first is
/// used. A server in backoff (after Retry-After) gets no request until the backoff ends, even when
/// no other server is left; the same holds for a server whose request rate is used up. For paced
/// queries a server that ramps up is used beyond its pace only when no other server has room, and
/// freely when more than half of the pool ramps up. Pure. Not thread safe.
class fleet_router {
public:
    explicit fleet_router(const fleet_router_settings& settings);

    /// \returns the server choice; nothing when no server may be used.
    std::optional<server_choice> choose(const fleet_directory& directory,
                                        const placement_query& query, instant now);

    void on_sent(const placement_query& query, const server_choice& choice, instant now);
    /// \brief Records that the first part of an answer arrived `took` after the request was sent.
    void on_first_answer(const server_choice& choice, duration took, instant now);
    void on_load_report(const std::string& server, int running, int waiting, instant now);
    /// \param answered whether `on_first_answer` was called for this call. Calls that were shed or
    /// did not reach the server have none, whatever it says.
    void on_call_outcome(const server_choice& choice, call_outcome outcome, instant now,
                         bool answered = true);
    /// \brief Starts or extends the backoff of a server that asked this instance to send no request
    /// for `seconds`. \pre `seconds` >= 0.
    void on_backoff(const std::string& server, double seconds, instant now);
    /// \returns the time until the first backoff in the pool ends; nothing when no server is in
    /// backoff.
    std::optional<duration> backoff_remaining(const fleet_directory& directory,
                                              const std::string& pool, instant now) const;
    /// \brief The server named a limit on its request rate.
    void on_limit_named(const std::string& server);
    /// \brief The server's request rate is used up: it gets no request of this instance until then.
    void on_limit_reached(const std::string& server, instant until);
    /// \brief The server may get requests again, because its limit rose.
    void on_limit_raised(const std::string& server);
    /// \brief The server has no limit any more.
    void on_limit_ended(const std::string& server);
    /// \returns the time until the first server of the pool that is at its limit may get a request;
    /// nothing when no server is at its limit.
    std::optional<duration> limit_remaining(const fleet_directory& directory,
                                            const std::string& pool, instant now) const;
    /// \brief The server was ordered to load these weights and refuses new work until they are
    /// loaded.
    void on_weights_change_announced(const std::string& server, const std::string& model,
                                     std::int64_t version, instant now);
    /// \brief The server accepts new work again, with or without the new weights.
    /// \returns whether a change was announced before.
    bool on_weights_change_ended(const std::string& server);
    /// \returns whether an announced change of weights is still valid and not known to be done.
    bool changing_weights(const fleet_directory& directory, const std::string& server,
                          instant now) const;
    /// \returns whether the server is suspended, in backoff, at its rate limit or changing weights.
    bool unavailable(const fleet_directory& directory, const std::string& server,
                     instant now) const;
    /// \brief The server has weights of `version`. If the version is new, the server's cache
    /// entries no longer match, since prefix hashes depend on the weights.
    void on_weights(const std::string& server, const std::string& model, std::int64_t version);
    void reset_server(const std::string& server);
    /// \brief The server ramps up from now on if there are others in its pool to be used meanwhile.
    void on_server_started(const fleet_directory& directory, const state::fleet_server& entry,
                           ramp_cause cause, instant now);
    void on_server_removed(const std::string& server, instant now);

    /// \brief Sets the number of instances that send to the servers. \pre `count` >= 1.
    void set_instances(int count) { ramps_.set_instances(count); }

    /// \returns what this instance counted at servers that ramp up, for reports to the peers.
    std::map<std::string, pace_evidence> pace_counts(instant now) const {
        return ramps_.evidence(now);
    }

    void on_peer_pace(const std::string& peer, const std::map<std::string, pace_evidence>& counts,
                      instant now);

    /// \returns the ramps that began or ended since the last call.
    std::vector<ramp_change> take_ramp_changes(instant now) { return ramps_.take_changes(now); }

    /// \returns the window of each server that ramps up, in requests without a first answer.
    std::map<std::string, double> ramp_windows() const { return ramps_.windows(); }

    /// \brief This instance reaches the servers again: failures while it did not were its own.
    void on_path_restored(instant now);

    /// \returns this instance's work at each server that has any, for reports to the peers.
    std::map<std::string, server_work> own_work() const;

    /// \returns the prompts placed since the last call, for reports to the peers.
    std::vector<placed_prompt> take_placed() { return std::exchange(placed_, {}); }

    /// \returns whether this instance's work changed since the last report to the peers.
    bool has_unreported_work() const { return has_unreported_work_; }

    void on_work_reported() { has_unreported_work_ = false; }

    void on_peer_work(const std::string& peer, const std::map<std::string, server_work>& work,
                      instant now);
    void on_peer_placed(const placed_prompt& placed, instant now);
    /// \brief Drops the work of peers from which no message arrived within the timeout.
    void expire_peers(instant now);

    /// \returns what is known of the servers' speeds and slowdowns, from here and from peers.
    server_speed& speeds() { return speeds_; }

    const server_speed& speeds() const { return speeds_; }

    /// \returns the newest known weights of the server for `model`; 0 when unknown.
    std::int64_t weights_of(const fleet_directory& directory, const std::string& server,
                            const std::string& model) const;
    int in_flight(const std::string& server) const;
    /// \returns the requests of all instances at the server, as far as this one knows.
    int requests_at(const std::string& server, instant now) const;

private:
    static constexpr double min_estimate_ms = 5;

    /// An announced change of weights: the server accepts no work for `model` until it has
    /// `version`.
    struct weights_change {
        std::string model;
        std::int64_t version = 0;
        instant until; ///< The announcement is valid until then.
    };

    struct server_view {
        server_work own;
        server_work peers;        ///< Sum over all peers.
        int unanswered = 0;       ///< Own requests in flight without a first answer.
        int peers_unanswered = 0; ///< Those of peers, at most.
        int running = 0;
        int waiting = 0;
        instant reported_at;
        int failures = 0; ///< Consecutive.
        instant suspended_until;
        duration suspension{};
        weights_change change; ///< The last announced change.
        instant backoff_until; ///< Respected even if all other servers fail.
        bool limits_rate = false;
        instant limited_until;    ///< As `backoff_until`, for the server's request rate.
        double latency_ratio = 1; ///< Learned ratio of actual to nominal time to first token.
        latency_model latency;
        double error_share = 0;
        std::map<std::string, std::int64_t> weights;
    };

    struct peer_view {
        std::map<std::string, server_work> work;
        instant received_at;
    };

    struct candidate {
        const state::fleet_server* server = nullptr;
        std::int64_t weights = 0;
        std::uint64_t preference = 0; ///< Rendezvous score; the highest is preferred.
        bool usable = true;
        instant usable_from;
        bool has_shared_prefix = false; ///< All shared parts are presumed cached there.
        bool held_back = false;         ///< Beyond its pace.
        std::int64_t uncached_tokens = 0;
        double nominal_ms = 0;  ///< Time to first token at the nominal speed.
        double estimate_ms = 0; ///< The same as learned from the server's answers.
        double cost = 0;        ///< Time to first token with all penalties.
    };

    std::vector<candidate> candidates(const fleet_directory& directory,
                                      const placement_query& query, instant now);
    /// \returns the time until the first of these ends in the pool; nothing when none is running.
    std::optional<duration> least_remaining(const fleet_directory& directory,
                                            const std::string& pool, instant server_view::*until,
                                            instant now) const;
    /// \returns the penalty in milliseconds for recomputing `shared_tokens`.
    double recompute_cost(std::int64_t shared_tokens) const;
    void estimate_cost(candidate& option, const placement_query& query,
                       const std::vector<std::uint64_t>& hashes, instant now);
    /// \returns the hashes of the prompt's shared prefixes under the given weights.
    static std::vector<std::uint64_t> prefix_hashes_of(const placement_query& query,
                                                       std::int64_t weights);
    std::int64_t uncached_shared_tokens(const candidate& option, const placement_query& query,
                                        const std::vector<std::uint64_t>& hashes,
                                        instant now) const;
    /// \returns whether the prefix was sent to the server within `life`: `likely_cached_ttl` tells
    /// whether it is presumed cached there, `certainly_cached_ttl` whether it is taken for certain.
    bool sent_within(duration life, const std::string& server, std::uint64_t hash,
                     instant now) const;
    void find_cache_source(server_choice& choice, const std::vector<candidate>& list,
                           const std::vector<std::uint64_t>& hashes, instant now);
    pace_load own_load(const std::string& server) const;
    pace_load peer_load(const state::fleet_server& server) const;
    /// \returns the slowdown that the server told with an answer, as far as its earlier figures
    /// showed in its answers; 1 when it told none since `sent`.
    double trusted_slowdown(const server_choice& choice, instant sent, instant now) const;
    /// \returns the mean age of the last reports of all peers; one that was not heard counts with
    /// the longest time between two reports.
    duration report_age(instant now) const;
    /// \brief Marks the servers that ramp up and are beyond their pace, as far as others have room.
    void hold_back_ramping(std::vector<candidate>& list, instant now);
    double preferred_server_bonus(const placement_query& query) const;
    void add_peer_work(const peer_view& view, int sign);
    void evict_expired(std::unordered_map<std::uint64_t, instant>& entries, duration life,
                       instant now) const;

    fleet_router_settings settings_;
    server_speed speeds_{server_speed_settings()};
    std::unordered_map<std::string, server_view> views_;
    std::map<std::string, peer_view> peers_;
    duration reports_received_{}; ///< Sum of `received_at` over `peers_`.
    server_ramps ramps_;
    std::vector<placed_prompt> placed_;
    bool has_unreported_work_ = false;
    std::unordered_map<std::uint64_t, instant> cached_; ///< Last sent, by server and prefix hash.
    std::unordered_map<std::uint64_t, instant> saved_;  ///< Last saved, by prefix hash.
};

} // namespace azureyoke::coordination
