#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "azureyoke/src/coordination/faded_sum.h"
#include "azureyoke/src/coordination/fair_shares.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct admission_settings {
    /// Requests at the servers of a pool, over their slots, up to which every request is admitted.
    /// Below 1, since some servers have a queue while others have free slots: a prompt goes to
    /// where its parts are cached, and reports are old.
    double usual_occupancy = 0.85;
    /// The occupancy above stays within these bounds, whatever the answers show; the upper one is
    /// higher where calls are short against their targets.
    double min_occupancy = 0.65;
    double max_occupancy = 1.1;
    /// The usual occupancy falls while a greater share of first answers is late, and rises while a
    /// smaller one is: by `correction` times the difference in a step, within `max_step`.
    double late_share = 0.125;
    double correction = 0.15;
    double max_step = 0.03;
    /// Late answers at an occupancy that is lower than the usual one by more than this have another
    /// cause than load, such as cold caches.
    double load_margin = 0.1;
    duration step_period = std::chrono::milliseconds(100);
    double min_evidence = 5; ///< First answers, faded, that a step needs.
    duration evidence_fading = std::chrono::milliseconds(500);
    duration demand_fading = std::chrono::seconds(2); ///< Of counted requests and refusals.
    /// A rank without a request for this long counts as absent.
    duration rank_timeout = std::chrono::seconds(2);
    /// Under overload a rank is admitted at least at this fraction of the rate of the next more
    /// urgent one, so that it does not starve.
    double least_fraction_of_next_rank = 0.5;
    /// Fraction of requests that is admitted however high the occupancy seems, so that answers can
    /// show that it is not.
    double least_fraction = 0.03;
    duration peer_timeout = std::chrono::milliseconds(1500); ///< Validity of a peer's figures.
    /// A peer is forgotten when it was not heard for this long, so that the peers of the past take
    /// neither memory nor time.
    duration peer_retention = std::chrono::seconds(10);
    /// All requests are admitted while the occupancy is lower than the usual one by this.
    double free_margin = 0.15;
    /// Time in which the occupancy is to come to the usual one. With less than about three times
    /// the age of peers' reports (up to 500 ms) admission would swing.
    duration approach_time = std::chrono::seconds(1);
    duration rate_fading = std::chrono::milliseconds(600); ///< Of the rates of asked and ended.
    duration min_return = std::chrono::milliseconds(100);  ///< Least Retry-After.
    duration max_return = std::chrono::seconds(10);
    duration occupancy_average = std::chrono::milliseconds(100);
    std::size_t reported_workspaces = 24; ///< In a report to the peers, so that it stays small.
    duration room_period = std::chrono::milliseconds(20); ///< Between figures of the occupancy.

    friend bool operator==(const admission_settings&, const admission_settings&) = default;
};

/// \brief What an instance believes of the load of a pool's servers.
struct pool_load {
    int slots = 0;     ///< Of all usable servers.
    int in_flight = 0; ///< Requests of all instances there, running or waiting.
    int instances = 1; ///< That send to them.
    /// Of these, that are not heard. They may send nothing any more, or only be out of reach.
    int unresponsive = 0;

    friend bool operator==(const pool_load&, const pool_load&) = default;
};

/// \brief What one instance found out about a pool since its start, for reports to the peers.
struct admission_figures {
    std::uint64_t asked = 0;
    std::uint64_t ended = 0;   ///< Calls, however they ended.
    std::uint64_t answers = 0; ///< First answers, and requests that servers did not run.
    std::uint64_t late = 0;    ///< Of these, late or not run.
    double usual_occupancy = 0;
    std::map<std::string, double> asked_tokens; ///< By workspace, of those that asked for most.

    friend bool operator==(const admission_figures&, const admission_figures&) = default;
};

/// \brief A request that is to be sent for the first time.
struct admission_query {
    std::string pool;
    int rank = 0;            ///< 0 is the most urgent.
    double target_ms = 0;    ///< Target of the time to first token; 0: none.
    double server_load = 0;  ///< Requests over slots at the server that it would be sent to.
    std::string workspace;   ///< Empty on a keyless route.
    double tokens = 1;       ///< Size of the request, prompt and completion. \pre > 0
    double left_s = 0;       ///< Time that the caller has left. \pre >= 0
    std::int64_t number = 0; ///< Spreads decisions and returns.

    friend bool operator==(const admission_query&, const admission_query&) = default;
};

enum class admission_reason {
    admitted,
    demand, ///< The pool has no room for the share of requests that this one belongs to.
    wait    ///< Its best servers would begin to answer after the target.
};

struct admission_verdict {
    admission_reason reason = admission_reason::admitted;
    duration return_after{}; ///< Time until the caller should come again, if refused.
    bool elsewhere = false;  ///< Admitted for the other server, not for that of the query.

    bool admitted() const { return reason == admission_reason::admitted; }

    friend bool operator==(const admission_verdict&, const admission_verdict&) = default;
};

/// \brief Decides which requests are sent when the servers of a pool cannot serve all in time.
///
/// Load: demand rises to twice what the servers can do for some seconds. Sent on, all requests
/// would wait longer than their callers do, and none would be served on time. Instead the fraction
/// of requests that is admitted falls as the occupancy of the pool rises: less urgent ranks first,
/// to a least fraction, then all. The occupancy follows from the work that all instances report
/// and from the load that servers tell in answers, so that all instances come to about the same
/// fractions without a leader. Answers correct the occupancy at which this begins: it falls while
/// first answers are late. Below the least occupancy nothing is refused. Pure. Not thread safe.
class admission_control {
public:
    explicit admission_control(const admission_settings& settings = {}) : settings_(settings) {}

    /// \returns whether `on_pool_load` should be called before the next decision.
    bool needs_load(const std::string& pool, instant now) const;
    void on_pool_load(const std::string& pool, const pool_load& load, instant now);

    /// \returns requests over slots at the best server but that of the query; nothing if there is
    /// none.
    using load_elsewhere = std::function<std::optional<double>()>;

    /// \brief `other` is called only when the wait at the server of the query would be too long:
    /// a server that is chosen for its cache may have a queue while others have room.
    admission_verdict decide(const admission_query& query, instant now,
                             const load_elsewhere& other = nullptr);

    /// \brief The first token of an admitted request came after `took_ms`. \pre `target_ms` > 0
    void on_first_answer(const std::string& pool, double took_ms, double target_ms, instant now);
    /// \brief A call ended `took` after it was sent.
    void on_ended(const std::string& pool, duration took, instant now);
    /// \brief A server that was believed to have room did not run a request.
    void on_not_run(const std::string& pool, instant now);
    /// \brief A server told its load in an answer. \param requests with the answered one.
    /// \pre `slots` > 0, `requests` >= 0
    void on_server_load(const std::string& pool, int requests, int slots, instant now);

    /// \returns this instance's figures by pool, for reports to the peers.
    std::map<std::string, admission_figures> figures(instant now) const;
    /// \brief A peer reported its figures. Repeated and overtaken reports change nothing.
    void on_peer_figures(const std::string& peer, std::uint64_t incarnation,
                         const std::map<std::string, admission_figures>& figures, instant now);

    /// \returns requests over slots of the pool's servers, as decisions take it; 0 if unknown.
    double occupancy(const std::string& pool) const;
    /// \returns the fraction of all requests to the pool that is admitted now.
    double admitted_of_all(const std::string& pool, instant now) const;
    /// \returns the number of peers of the pool that are remembered.
    std::size_t peer_count(const std::string& pool) const;
    /// \returns the refusals since the start, by pool.
    std::map<std::string, std::uint64_t> refusals() const;
    /// \returns the fraction of requests of this rank that is admitted now.
    double admitted_fraction(const std::string& pool, int rank, instant now) const;

    /// \returns the occupancy up to which every request of the pool is admitted.
    double usual_occupancy(const std::string& pool) const;

private:
    struct rank_state {
        faded_sum asked;
        instant last;
        double target_ms = 0;
    };

    struct peer_state {
        std::uint64_t incarnation = 0;
        admission_figures figures;
        instant at;
    };

    struct pool_state {
        pool_load load;
        instant load_at;
        double occupancy = 0; ///< Averaged.
        faded_sum asked;      ///< By all instances.
        faded_sum ended;      ///< Of all instances.
        faded_sum told_load;  ///< Requests over slots as servers told, summed over answers.
        faded_sum told;       ///< Answers that told it.
        faded_sum answers;
        faded_sum late;
        faded_sum admitted;
        faded_sum refused;
        double usual_occupancy = 0;
        instant stepped_at;
        double slot_time_ms = 0; ///< Mean time of a call; 0: not known.
        std::map<int, rank_state> ranks;
        fair_shares shares;
        faded_sum tokens;      ///< Asked for here, times the fraction of all requests.
        faded_sum rank_tokens; ///< The same, times the fraction of their ranks.
        std::uint64_t refusals = 0;
        admission_figures own; ///< Without the occupancy.
        std::map<std::string, peer_state> peers;
        int known_instances = 1; ///< Whose figures are known, this one included.
    };

    const pool_state* find(const std::string& pool) const;
    pool_state& state_of(const std::string& pool);
    /// \returns the occupancy at this moment, not averaged.
    double occupancy_of(const pool_state& it, instant now) const;
    /// \brief Counts the instances whose figures are known and forgets those long gone.
    void update_peers(pool_state& it, instant now) const;
    /// \returns whether the figures of more than half of the instances are not known.
    static bool reports_missing(const pool_state& it);
    /// \returns the fraction of all requests to the pool that is admitted.
    double fraction_of_all(const pool_state& it, instant now) const;
    /// \returns the fraction of all tokens asked for that is admitted.
    double fraction_of_tokens(const pool_state& it, instant now) const;
    /// \returns the fraction of the requests of a rank that is admitted when it is `all` of all.
    double fraction(const pool_state& it, int rank, double all, instant now) const;
    /// Records an answer to this instance.
    void add_answer(pool_state& it, bool late, instant now);
    /// Records answers to any instance and corrects the usual occupancy.
    void add_answers(pool_state& it, double answers, double late, instant now);
    /// \returns the upper bound of the usual occupancy.
    double max_occupancy(const pool_state& it, instant now) const;
    /// \returns the mean of the usual occupancies of all instances.
    double mean_usual_occupancy(const pool_state& it, instant now) const;
    double expected_wait_ms(const pool_state& it, const admission_query& query, instant now) const;
    /// \returns whether the server of the query would begin to answer after the target.
    bool is_late(const pool_state& it, const admission_query& query, instant now) const;
    duration return_after(const pool_state& it, const admission_query& query, instant now) const;

    admission_settings settings_;
    std::map<std::string, pool_state> pools_;
};

} // namespace azureyoke::coordination
