#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "azureyoke/src/coordination/sequential_test.h"
#include "azureyoke/src/coordination/software_evidence.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief Compares the answers of a new software version with those of the old one, by route and
/// over the same time.
///
/// Load that it answers: as software_rollout. Incidents that hit both versions, business errors of
/// the old version, crashes of single servers and bursts of slow answers are not counted against
/// the new one. Pure. Not thread safe.
class software_judge {
public:
    /// Counters at one moment, for shares and rates over recent time.
    struct moment {
        instant at;
        side_counts old_side;
        side_counts new_side;
    };

    /// \brief Takes the merged counters. To be called every 100 ms. Unless `at_once`, the newest
    /// answers of the new version are judged with a later update. The answers of servers
    /// `under_load` are also judged by themselves, over all such times, since the others would
    /// dilute them.
    void update(const software_evidence& merged, bool at_once, bool under_load, instant now);

    /// \returns the largest log likelihood ratio for a fault.
    double evidence() const { return evidence_; }

    /// \returns the part of it from servers under load only.
    double loaded_evidence() const { return loaded_evidence_; }

    /// \returns the kind and route of the fault that `evidence` is for.
    const std::string& suspicion() const { return suspicion_; }

    /// \returns whether the old version has far more failed or slow answers than usual.
    bool incident() const;

    /// \returns the number of judged answers of the new version.
    double judged_requests() const { return static_cast<double>(total_of(judged_).ended); }

    /// \returns the counters of the last seconds, oldest first; empty before the first update.
    const std::deque<moment>& moments() const { return moments_; }

private:
    using excesses = std::array<double, sequential_test::alternatives>;

    static constexpr excesses more_failures = {0.08, 0.30, 0.85};
    static constexpr excesses more_rejections = {0.15, 0.30, 0.85};
    static constexpr excesses more_slowness = {0.30, 0.60, 0.85};
    /// With more than 0.45, one crash would be enough to revert a version at the last moment.
    static constexpr excesses more_losses = {0.08, 0.30, 0.45};

    struct route_tests {
        sequential_test failures{more_failures};
        sequential_test rejections{more_rejections};
        sequential_test slowness{more_slowness};
    };

    /// What the new version did since the last update, and the hits that the old one would have.
    struct expected_change {
        route_counts counts;
        double failed = 0;
        double rejected = 0;
        double slow = 0;
    };

    using counter = std::int64_t route_counts::*;

    enum class counter_index { failed, rejected, slow };
    static counter_index index_of(counter hits);

    /// Answers of the old version of one kind. An incident does not count for the time after it,
    /// unless it lasts.
    struct usual_counts {
        double hits = 0;
        double all = 0;
        double unusual_hits = 0; ///< During incidents.
        double unusual_all = 0;
        int unusual_updates = 0;
        bool unusual = false; ///< Now.
    };

    struct observed {
        double hits = 0;
        double all = 0;
    };

    using usual_key = std::pair<std::string, counter_index>; ///< By route; empty: of all routes.

    void judge_route(const std::string& route, const route_counts& change, bool under_load);
    void judge_all(bool under_load);
    /// Adds a change with these references to the tests, and notes their evidence. \returns it.
    double add(route_tests& tests, const expected_change& change, const std::string& where);
    void judge_losses(const side_counts& before, instant now);
    /// \returns the old version's highest share over recent times, of all routes if `route` is
    /// empty; 0 when too little is known.
    double recent_share(const std::string& route, counter hits, counter all) const;
    /// \returns the weight of each answer when so many were judged since the last update.
    static double slow_weight(double judged);
    /// \returns the losses since the last update; those of one crash count once.
    static double new_losses(const side_counts& side, std::map<std::string, std::int64_t>& counted,
                             std::map<std::string, instant>& last, instant now);
    /// \returns an upper estimate of the old version's share of `hits` among `all`.
    double reference(const std::string& route, counter hits, counter all, double least) const;
    /// Adds what the old version answered since the last update, by kind of answer.
    void add_usual();
    /// \returns the hits among the answers that the old version usually gives.
    observed usual_of(const std::string& route, counter hits) const;
    /// \returns whether the old version has far more `hits` than usual over the last second, on the
    /// route (of all routes together if it is empty).
    bool is_unusual(const std::string& route, counter hits, counter all) const;
    void note_evidence(double value, const std::string& what);

    side_counts judged_; ///< Of the new version, as last judged.
    std::deque<moment> moments_;
    std::map<usual_key, usual_counts> usual_;
    std::map<std::string, route_tests> tests_;        ///< By route.
    route_tests all_;                                 ///< Of all routes together.
    std::map<std::string, route_tests> loaded_tests_; ///< Of servers under load.
    route_tests loaded_all_;
    expected_change all_change_;
    sequential_test losses_{more_losses};
    std::map<std::string, std::int64_t> counted_new_; ///< Lost calls by server.
    std::map<std::string, instant> last_loss_new_;
    std::map<std::string, std::int64_t> counted_old_;
    std::map<std::string, instant> last_loss_old_;
    double old_losses_ = 0;
    bool at_once_ = false; ///< In the last update.
    double evidence_ = 0;
    double loaded_evidence_ = 0;
    std::string suspicion_;
};

} // namespace azureyoke::coordination
