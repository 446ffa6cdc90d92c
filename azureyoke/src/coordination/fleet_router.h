#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "azureyoke/src/coordination/fleet_directory.h"
#include "azureyoke/src/coordination/member_silence.h"
#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/fleet_server.h"

namespace azureyoke::coordination {

struct fleet_router_settings {
    std::string data_centre;
    /// Prompt tokens that a server reads in a millisecond, until its speed is learned.
    double tokens_per_ms = 40;
    /// What a request that runs, or waits, at a server adds to the next one's wait.
    double running_ms = 4;
    double waiting_ms = 60;
    duration report_life = std::chrono::milliseconds(800); ///< A reported load is believed.
    duration first_suspension = std::chrono::milliseconds(400);
    duration longest_suspension = std::chrono::seconds(4);
    duration shed_pause = std::chrono::milliseconds(150); ///< After a refusal for want of room.
    duration cache_life = std::chrono::seconds(60); ///< A part that was sent is thought cached.
    /// A part that was not used for this long may have made room for others.
    duration sure_cache = std::chrono::milliseconds(1500);
    duration change_pause = std::chrono::seconds(3); ///< A server that changes weights is avoided.
    double other_data_centre_ms = 0.6;
    double old_weights_ms = 80; ///< Handicap of a server whose weights are not the newest.
    /// Reading shared parts again also takes room from what other requests share.
    double reread_weight = 4;
    duration saved_life = std::chrono::seconds(20); ///< Between saves of the same parts.
    std::size_t most_cache_entries = 100'000;
    duration peer_silence = member_silence; ///< Then its work is forgotten.
    /// A server that asks to be left alone for longer is tried again after this.
    duration longest_rest = std::chrono::hours(1);

    friend bool operator==(const fleet_router_settings&, const fleet_router_settings&) = default;
};

/// \brief A request as far as its placement depends on it.
struct placement_question {
    std::string pool;
    std::string model;                     ///< Empty for a plain service.
    std::string cache_wall;                ///< Requests with another one share no cache.
    std::vector<state::prompt_part> parts; ///< The last one is the request's own.
    std::vector<std::string> excluded;     ///< Servers that failed it.
    std::int64_t newest_weights = 0;       ///< Worth preferring; 0: none are.
    std::int64_t oldest_weights = 0;       ///< Older ones may serve it no more.
    int most_connections = 0;              ///< Of each server, from all instances; 0: any.
    std::int64_t number = 0;               ///< Spreads requests without parts.

    friend bool operator==(const placement_question&, const placement_question&) = default;
};

struct fleet_choice {
    std::string server;
    std::int64_t new_tokens = 0; ///< Prompt tokens that it will have to read.
    double first_answer_ms = 0;  ///< Estimate.
    std::int64_t weights = 0;    ///< That it has for the request's model; 0: not known.
    bool fetch = false;          ///< It may lack shared parts that are kept elsewhere.
    std::string cache_holder;    ///< Server that keeps them; empty when none is known.
    bool save = false;           ///< The shared parts are worth saving.

    friend bool operator==(const fleet_choice&, const fleet_choice&) = default;
};

/// \brief Work of one instance at one server.
struct server_work {
    int in_flight = 0;
    std::int64_t unread_tokens = 0; ///< Of prompts sent and not yet answered.

    friend bool operator==(const server_work&, const server_work&) = default;
};

/// \brief A prompt that was sent to a server, by the links of its shared prefixes.
struct placed_prompt {
    std::string server;
    std::vector<std::uint64_t> links;

    friend bool operator==(const placed_prompt&, const placed_prompt&) = default;
};

/// \brief How the work of one call ended for its server.
enum class call_end {
    answered,  ///< With success.
    error,     ///< With a failure of the server's own.
    shed,      ///< Refused without being run.
    broken,    ///< No whole answer came.
    unreached, ///< No connection was made.
    cancelled  ///< The caller left.
};

/// \brief Chooses a server for each request from caches, load, speed and failures.
///
/// Load patterns: a prompt that nobody has sent yet has one home in the fleet, found by rendezvous
/// hashing of its parts, so that instances agree before they have told each other; from then on
/// peers tell where its parts are and what waits there. A hot prompt spills to further servers as
/// soon as the wait costs more than reading the parts again. A server that fails or
/// refuses is left out for a time that doubles, a slow one by its learned speed; while all are
/// left out, the one that comes back first is used. A server that asked for rest gets nothing
/// until its rest is over, also when no other is left. Pure. Not thread safe.
class fleet_router {
public:
    explicit fleet_router(const fleet_router_settings& settings);

    /// \returns nothing when no server may be used.
    std::optional<fleet_choice> choose(const fleet_directory& directory,
                                       const placement_question& question, instant now);

    void on_sent(const placement_question& question, const fleet_choice& choice, instant now);
    /// \brief The first part of an answer came.
    void on_first_answer(const fleet_choice& choice, duration took, instant now);
    void on_load(const std::string& server, int running, int waiting, instant now);
    void on_end(const fleet_choice& choice, call_end how, instant now);
    /// \brief The server wants no request from this instance for so many seconds, not below 0.
    void on_rest(const std::string& server, double seconds, instant now);
    /// \returns the time until the first resting server of the pool may be used again; nothing
    /// when none rests.
    std::optional<duration> rest_left(const fleet_directory& directory, const std::string& pool,
                                      instant now) const;
    /// \brief The server was ordered to take these weights and refuses new work until it has.
    void on_change_announced(const std::string& server, const std::string& model,
                             std::int64_t version, instant now);
    /// \brief The server takes new work again, whether it has taken new weights or not.
    void on_change_ended(const std::string& server);
    /// \brief Whether the server was said to take new weights and is not known to have them yet.
    bool changing(const fleet_directory& directory, const std::string& server, instant now) const;
    /// \brief The server has weights of `version`; what it had cached is gone if they are new.
    void on_weights(const std::string& server, const std::string& model, std::int64_t version);
    void forget(const std::string& server);

    /// \brief Own work at each server that has any, to tell the peers.
    std::map<std::string, server_work> own_work() const;

    /// \brief Prompts placed since the last call, to tell the peers.
    std::vector<placed_prompt> take_placed() { return std::exchange(placed_, {}); }

    /// \brief Whether peers know less than they should of this instance's work.
    bool news_for_peers() const { return news_; }

    void on_told() { news_ = false; }

    void on_peer_work(const std::string& peer, const std::map<std::string, server_work>& work,
                      instant now);
    void on_peer_placed(const placed_prompt& placed, instant now);
    /// \brief Drops what peers said that have been silent for long.
    void expire_peers(instant now);

    /// \brief Newest known weights of the server for `model`; 0 when unknown.
    std::int64_t weights_of(const fleet_directory& directory, const std::string& server,
                            const std::string& model) const;
    int in_flight(const std::string& server) const;

private:
    /// A server that was said to take `version` of a model, and does no new work for it until it
    /// has.
    struct weights_change {
        std::string model;
        std::int64_t version = 0;
        instant until; ///< Believed so long.
    };

    struct server_view {
        server_work own;
        server_work peers; ///< Sum over all peers.
        int running = 0;
        int waiting = 0;
        instant reported_at;
        int failures = 0; ///< In a row.
        instant suspended_until;
        duration suspension{};
        weights_change change; ///< The last one announced.
        instant rests_until; ///< It asked for no request before that; kept even if all others fail.
        double slowness = 1; ///< Learned time to the first answer against the estimate.
        double error_share = 0;
        std::map<std::string, std::int64_t> weights;
    };

    struct peer_view {
        std::map<std::string, server_work> work;
        instant heard;
    };

    struct candidate {
        const state::fleet_server* server = nullptr;
        std::int64_t weights = 0;
        std::uint64_t rank = 0; ///< In the order of the request's homes; the highest is first.
        bool usable = true;
        instant usable_from;
        bool keeps = false; ///< All shared parts are thought to be cached there.
        std::int64_t new_tokens = 0;
        double estimate_ms = 0; ///< Until its first answer.
        double cost = 0;        ///< The estimate and what else speaks against it.
    };

    std::vector<candidate> candidates(const fleet_directory& directory,
                                      const placement_question& question, instant now);
    /// What reading shared parts again counts against a server.
    double reread_cost(std::int64_t shared_tokens) const;
    void weigh(candidate& it, const placement_question& question,
               const std::vector<std::uint64_t>& chain, instant now);
    /// Links of the prompt's shared prefixes under the given weights.
    static std::vector<std::uint64_t> chain_of(const placement_question& question,
                                               std::int64_t weights);
    std::int64_t shared_tokens_to_read(const candidate& it, const placement_question& question,
                                       const std::vector<std::uint64_t>& chain, instant now) const;
    /// Whether the part was sent to the server within `life`: `cache_life` when it is thought to be
    /// there, `sure_cache` when it surely is.
    bool sent_within(duration life, const std::string& server, std::uint64_t link,
                     instant now) const;
    void find_cache_source(fleet_choice& choice, const std::vector<candidate>& list,
                           const std::vector<std::uint64_t>& chain, instant now);
    double home_bonus(const placement_question& question) const;
    void add_peer_work(const peer_view& view, int sign);
    void trim(std::unordered_map<std::uint64_t, instant>& entries, duration life,
              instant now) const;

    fleet_router_settings settings_;
    std::unordered_map<std::string, server_view> views_;
    std::map<std::string, peer_view> peers_;
    std::vector<placed_prompt> placed_;
    bool news_ = false;
    std::unordered_map<std::uint64_t, instant> cached_; ///< By server and link of the chain.
    std::unordered_map<std::uint64_t, instant> saved_;  ///< By link of the chain.
};

} // namespace azureyoke::coordination
