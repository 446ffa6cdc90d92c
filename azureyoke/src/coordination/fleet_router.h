#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "azureyoke/src/coordination/fleet_directory.h"
#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/fleet_server.h"

namespace azureyoke::coordination {

struct fleet_router_settings {
    std::string data_centre;
    /// Prompt tokens that a server reads in a millisecond, until its speed is learned.
    double tokens_per_ms = 40;
    /// What a request that runs, or waits, at a server adds to the next one's wait.
    double running_ms = 1.5;
    double waiting_ms = 40;
    duration report_life = std::chrono::milliseconds(800); ///< A reported load is believed.
    duration first_suspension = std::chrono::milliseconds(400);
    duration longest_suspension = std::chrono::seconds(4);
    duration shed_pause = std::chrono::milliseconds(150); ///< After a refusal for want of room.
    duration cache_life = std::chrono::seconds(60); ///< A part that was sent is thought cached.
    duration change_pause = std::chrono::seconds(3); ///< A server that changes weights is avoided.
    double other_data_centre_ms = 0.6;
    double old_weights_ms = 400; ///< Handicap of a server whose weights are not the newest.
    std::size_t most_cache_entries = 100'000;

    friend bool operator==(const fleet_router_settings&, const fleet_router_settings&) = default;
};

/// \brief A request as far as its placement depends on it.
struct placement_question {
    std::string pool;
    std::string model;                     ///< Empty for a plain service.
    std::string cache_wall;                ///< Requests with another one share no cache.
    std::vector<state::prompt_part> parts; ///< The last one is the request's own.
    std::vector<std::string> excluded;     ///< Servers that failed it.
    std::int64_t newest_weights = 0;       ///< 0: not known.
    bool newest_only = false;              ///< Older weights may serve it no more.
    std::int64_t number = 0;               ///< Spreads requests without parts.

    friend bool operator==(const placement_question&, const placement_question&) = default;
};

struct fleet_choice {
    std::string server;
    std::int64_t new_tokens = 0;  ///< Prompt tokens that it will have to read.
    double first_answer_ms = 0;   ///< Estimate.
    std::string cache_holder;     ///< Another server that keeps the parts which this one lacks.

    friend bool operator==(const fleet_choice&, const fleet_choice&) = default;
};

/// \brief How the work of one call ended for its server.
enum class call_end {
    answered, ///< With success.
    error,    ///< With a failure of the server's own.
    shed,     ///< Refused without being run.
    broken,   ///< No whole answer came.
    cancelled ///< The caller left.
};

/// \brief Chooses a server for each request from caches, load, speed and failures.
///
/// Load patterns: shared prompts have one home in the fleet, found by rendezvous hashing of the
/// parts, so that all instances agree without talking; a hot prompt spills to further servers as
/// soon as the wait at its home costs more than reading the parts again. A server that fails or
/// refuses is left out for a time that doubles, a slow one by its learned speed; while all are
/// left out, the one that comes back first is used. Pure. Not thread safe.
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
    /// \brief A peer orders new weights for the server, which will refuse new work for a while.
    void on_change_announced(const std::string& server, instant now);
    /// \brief The server has weights of `version`; what it had cached is gone if they are new.
    void on_weights(const std::string& server, const std::string& model, std::int64_t version);
    void forget(const std::string& server);

    /// \brief Newest known weights of the server for `model`; 0 when unknown.
    std::int64_t weights_of(const fleet_directory& directory, const std::string& server,
                            const std::string& model) const;
    int in_flight(const std::string& server) const;

private:
    struct server_view {
        int in_flight = 0;
        std::int64_t unread_tokens = 0; ///< Sent and not yet answered.
        int running = 0;
        int waiting = 0;
        instant reported_at;
        int failures = 0; ///< In a row.
        instant suspended_until;
        duration suspension{};
        instant changing_until;
        double slowness = 1; ///< Learned time to the first answer against the estimate.
        double error_share = 0;
        std::map<std::string, std::int64_t> weights;
    };

    struct scored {
        const state::fleet_server* server = nullptr;
        std::int64_t new_tokens = 0;
        double cost = 0;
        bool usable = true;
        instant usable_from;
    };

    std::vector<std::uint64_t> chain_of(const placement_question& question) const;
    scored score(const fleet_directory& directory, const state::fleet_server& server,
                 const placement_question& question, const std::vector<std::uint64_t>& chain,
                 bool home, instant now);
    std::int64_t tokens_to_read(const std::string& server, const placement_question& question,
                                const std::vector<std::uint64_t>& chain, bool home,
                                instant now) const;
    bool keeps(const std::string& server, std::uint64_t link, instant now) const;
    std::string holder_of(const std::vector<const state::fleet_server*>& list,
                          const std::vector<std::uint64_t>& chain, const std::string& except,
                          instant now) const;
    void trim_caches(instant now);

    fleet_router_settings settings_;
    std::unordered_map<std::string, server_view> views_;
    std::unordered_map<std::uint64_t, instant> cached_; ///< By server and link of the chain.
};

} // namespace azureyoke::coordination
