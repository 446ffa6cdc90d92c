#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct server_speed_settings {
    /// Longest time for which a slowdown that a server told affects estimates. Other tenants of a
    /// machine slow a server for about this long.
    duration slowdown_life = std::chrono::milliseconds(600);
    /// What is known of a server without answers fades with this time constant, so that a server
    /// which is avoided because of it is tried again.
    duration fading_time = std::chrono::minutes(1);
    /// What is known of a pool without answers fades with this time constant. Large prompts are
    /// refused by its estimate after a stall, so that no answer to one could correct it.
    duration pool_fading_time = std::chrono::seconds(10);
    std::size_t max_servers = 10'000; ///< Servers that are unheard of are dropped beyond this.
    std::size_t max_unreported = 256; ///< Observations kept for the next report to the peers.

    friend bool operator==(const server_speed_settings&, const server_speed_settings&) = default;
};

/// \brief Time to first token of one answer, as the instance saw it that sent the request.
struct first_answer_observation {
    std::string pool;
    std::string server;
    double nominal_ms = 0; ///< Estimate at nominal speed, made when the request was sent.
    double took_ms = 0;
    std::optional<double> slowdown; ///< As told with the answer, if it was told.
    instant answered_at;

    friend bool operator==(const first_answer_observation&,
                           const first_answer_observation&) = default;
};

/// \brief A slowdown that a server told: how many times as long as usual its work takes.
struct told_slowdown {
    std::string pool;
    std::string server;
    double slowdown = 1;
    instant told_at;

    friend bool operator==(const told_slowdown&, const told_slowdown&) = default;
};

/// \brief A server whose told slowdowns do not show in its answers any more, or do again.
struct trust_change {
    std::string server;
    bool trusted = false;

    friend bool operator==(const trust_change&, const trust_change&) = default;
};

/// \brief What is believed of one server.
struct speed_belief {
    double hardware = 1;       ///< Time that work takes, relative to the average of the pool.
    double slowdown = 1;       ///< Expected at this moment, by the last told figure and its age.
    double told_slowdown = 1;  ///< The last told figure.
    double slowdown_trust = 1; ///< 0: its figures do not show in its answers. 1: they do.
    double observations = 0;   ///< Number of answers that `hardware` rests on.

    friend bool operator==(const speed_belief&, const speed_belief&) = default;
};

/// \brief Estimates the time to first token of each server from its hardware's speed, its slowdown
/// at the moment and the nominal time of the request there.
///
/// Load pattern: servers of hardware speeds 0.6, 1 and 1.6, of which 15 in 100 are slowed by 2.5
/// for some 600 ms by other tenants of their machines, and instances that each see one answer of a
/// given server in 14 s. Answers and told slowdowns of all instances of the data centre are
/// therefore passed in.
///
/// The estimate is `(fixed + rate * nominal) * hardware`, and the time that the slowdown adds.
/// `fixed` and `rate` are learned per pool and `hardware` per server, from times from which the
/// slowdown told with the answer is taken out. A told slowdown counts fully when it is new and not
/// at all after `slowdown_life`. A request that runs longer than the slowdown lasts feels only a
/// part of it. A figure that does not show in the answers of its server loses its effect, so that a
/// false one costs no more than what is lost without it. Pure. Not thread safe.
class server_speed {
public:
    explicit server_speed(const server_speed_settings& settings) : settings_(settings) {}

    /// \brief Records a told slowdown. One that is older than the last known one of the server is
    /// ignored. \pre `told.slowdown` > 0
    void on_slowdown(const told_slowdown& told, instant now);
    /// \brief Records a slowdown that was told to this instance, to be reported to the peers unless
    /// an observation of the same answer carries it.
    void on_own_slowdown(const told_slowdown& told, instant now);
    /// \brief Records an answer and the slowdown told with it. Times that are not finite or not
    /// above 0 are ignored.
    void observe(const first_answer_observation& seen, instant now);
    /// \brief Records an answer to this instance, which is to be reported to the peers.
    void observe_own(const first_answer_observation& seen, instant now);

    /// \returns the expected milliseconds to the first token. \pre `nominal_ms` > 0
    double estimate_ms(const std::string& pool, const std::string& server, double nominal_ms,
                       instant now) const;
    speed_belief belief(const std::string& pool, const std::string& server, instant now) const;
    /// \returns the last slowdown that the server told since `since`; nothing when it told none.
    std::optional<double> told_since(const std::string& server, instant since) const;

    /// \brief The server restarted or is gone: nothing of what was learned holds.
    void forget(const std::string& server) { servers_.erase(server); }

    /// \returns the answers to this instance since the last call, oldest first.
    std::vector<first_answer_observation> take_unreported() {
        return std::exchange(unreported_, {});
    }

    /// \returns the slowdowns told to this instance since the last call that no observation
    /// carries: the last one of each server, if it is or was slowed.
    std::vector<told_slowdown> take_unreported_slowdowns();

    /// \returns the changes since the last call, oldest first.
    std::vector<trust_change> take_trust_changes() { return std::exchange(trust_changes_, {}); }

private:
    /// Learned time to first token of a pool's average server, and how slow its servers are.
    struct pool_model {
        double fixed_ms = 0;
        double rate = initial_rate;
        double log_bias = 0;       ///< Mean logarithm of the ratio of actual to expected time.
        double average_excess = 0; ///< Mean of told slowdowns, less 1.
        double observations =
            0;              ///< These numbers fade too, so that answers after a pause count more.
        double told = 0;    ///< Number of told slowdowns.
        instant learned_at; ///< When an answer or a told slowdown last changed the model.

        double expect(double nominal_ms) const { return fixed_ms + rate * nominal_ms; }
    };

    struct server_model {
        double log_hardware = 0;
        double observations = 0;
        instant observed_at;
        double slowdown = 1;
        instant told_at; ///< Default: never.
        /// Sums for the regression of the logarithm of the actual on that of the told slowdown.
        double trust_xx = trust_prior;
        double trust_xy = trust_prior;
        bool distrusted = false;
        instant heard_at;
    };

    /// Actual servers are about twice as fast as the nominal speed; answers correct this at once.
    static constexpr double initial_rate = 0.5;
    /// Weight of the assumption that a server tells the truth, in squared logarithms: as much as
    /// four answers during a slowdown of 2.5.
    static constexpr double trust_prior = 3.4;

    /// \returns the model with what was learned faded to `now`.
    pool_model faded(const pool_model& pool, instant now) const;
    /// \returns the pool's model, faded to `now` and created if it is not known.
    pool_model& pool_at(const std::string& name, instant now);
    double hardware_of(const server_model& it, instant now) const;
    static double trust_of(const server_model& it);
    /// \returns the milliseconds that slowdowns add to `work_ms` that begin now.
    double extra_ms(const pool_model& pool, const server_model& it, double work_ms,
                    instant now) const;
    /// \returns the milliseconds that a slowdown of which `left` may be left adds to `work_ms`.
    double extra_ms(double slowdown, double work_ms, duration left) const;
    void learn_pool(pool_model& pool, double nominal_ms, double took_ms) const;
    void learn_trust(server_model& it, double felt_log, double actual_log) const;
    void note_trust(const std::string& id, server_model& it);
    server_model& server_at(const std::string& id, instant now);

    server_speed_settings settings_;
    std::unordered_map<std::string, pool_model> pools_;
    std::unordered_map<std::string, server_model> servers_;
    std::vector<first_answer_observation> unreported_;
    std::map<std::string, told_slowdown> unreported_slowdowns_; ///< By server.
    std::vector<trust_change> trust_changes_;
};

} // namespace azureyoke::coordination
