#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "azureyoke/src/coordination/software_evidence.h"
#include "azureyoke/src/coordination/software_judge.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief The operators' order to move a service to servers of another software version.
struct rollout_order {
    std::string service;
    std::string to; ///< The software version.
    instant begun;  ///< When the order was written.
    duration length{};

    instant deadline() const { return begun + length; }

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

enum class rollout_state { in_progress, completed, reverted };

/// \brief Settings of the decision. The defaults follow from the bounds of hard-load.md, part 1.
struct software_rollout_settings {
    double exposure_share = 0.1; ///< Of all requests, that a bad version may get.
    double exposure_slack = 50;  ///< Requests that it may get in addition.
    double canary_share = 0.25;  ///< Of the allowed exposure, for the canary.
    double canary_slack = 60;    ///< Requests added to that part.
    double most_canary = 0.5;    ///< Of the allowed exposure, at most for the canary.
    double switch_share = 0.3;   ///< Of the allowed exposure, until `completed`.
    duration evidence_delay = std::chrono::milliseconds(700); ///< Until all have seen an answer.
    duration rise = std::chrono::milliseconds(200);           ///< Of the share, up to 1.
    duration review = std::chrono::milliseconds(900);         ///< After the load step.
    double write_part = 0.08; ///< Of the order's length, kept for the write of `completed`.
    duration least_write = std::chrono::milliseconds(700);
    /// For the write when it waits for evidence on a doubtful version.
    duration doubtful_write = std::chrono::milliseconds(400);
    duration longest_write = std::chrono::milliseconds(1500);
    double threshold = 12; ///< Log likelihood ratio at which a version is bad.
    double doubt = 2.0;    ///< Log likelihood ratio at which more evidence is gathered.

    friend bool operator==(const software_rollout_settings&,
                           const software_rollout_settings&) = default;
};

/// \brief The servers of the service that may be used now.
struct rollout_servers {
    int old_side = 0;
    int new_side = 0;

    friend bool operator==(const rollout_servers&, const rollout_servers&) = default;
};

/// \brief Decides how a rollout of a service's software goes on, from the answers of both versions.
///
/// Load that it answers: 70 to 2,000 requests/s of a service, orders of 8 to 30 s, evidence that
/// arrives half a second late; versions that fail or are slow at once, later, under load or on one
/// route. All instances derive the same from the same evidence. The plan is in
/// docs/design/software-rollout.md. Pure. Not thread safe.
class software_rollout {
public:
    enum class phase { waiting, canary, load_step, review, switched, ended };

    /// \brief The share of new requests for the new version, and the servers that may get them.
    struct placement_share {
        double share = 0;   ///< From 0 to 1, over all routes.
        int servers = 0;    ///< Of the new version; 0: all.
        bool whole = false; ///< No new request goes to an old server.

        friend bool operator==(const placement_share&, const placement_share&) = default;
    };

    software_rollout(rollout_order order, const software_rollout_settings& settings = {});

    /// \brief Takes the merged evidence of all instances. To be called every 100 ms. While this
    /// instance is `isolated` from its peers or the registry, only a bad verdict can be reached.
    void update(const software_evidence& merged, const rollout_servers& servers, bool isolated,
                instant now);
    /// \brief Another instance came to this verdict for the same order, or the registry has it.
    void adopt(rollout_state verdict, const std::string& why);

    /// \brief The registry's final state of this order differs from the one reached here.
    void overrule(rollout_state verdict, const std::string& why);

    /// \brief The order is known to have been written at this time.
    void set_begun(instant begun) { order_.begun = begun; }

    /// \returns the share over all routes now. Zero after `reverted`, 1 after `completed`.
    placement_share current(instant now) const;
    /// \returns the share of the requests of one route: rare routes get more of it.
    double share_of(const std::string& route, instant now) const;

    rollout_state state() const { return state_; }

    /// \returns why the state was reached; empty while it is in progress.
    const std::string& reason() const { return reason_; }

    const rollout_order& order() const { return order_; }

    phase current_phase() const { return phase_; }

    /// \returns the largest log likelihood ratio for a fault, and where it was found.
    double evidence() const { return judge_.evidence(); }

    const std::string& suspicion() const { return judge_.suspicion(); }

private:
    struct plan {
        instant load_from;
        instant load_until;
        instant switch_at;
        instant latest_switch;
        instant complete_by;
        duration switch_time{};
        double canary_rate = 0; ///< Requests a second for the new version.
        double load_share = 0;
        int load_servers = 1;
        duration load_time{};
        instant last_complete; ///< For a doubtful version.
        double most_share = 0; ///< Of the canary.
    };

    /// \returns the evidence above which a version is not completed when no time is left.
    double last_doubt() const;
    /// \returns whether the version is not completed when no time is left.
    bool is_last_doubt() const;
    void make_plan(const rollout_servers& servers, instant now);
    void measure_rates(instant now);
    void advance(const software_evidence& merged, instant now);
    /// \returns whether answers that are judged now were sent in a load step.
    bool judges_load(instant now) const;
    /// \returns whether the load step is to be repeated now.
    bool load_again(instant now) const;
    void end(rollout_state state, const std::string& why);
    double allowed_exposure(instant now) const;

    rollout_order order_;
    software_rollout_settings settings_;
    rollout_state state_ = rollout_state::in_progress;
    std::string reason_;
    phase phase_ = phase::waiting;
    plan plan_;
    int new_servers_ = 0;
    std::optional<instant> first_update_;
    std::optional<instant> canary_since_;
    std::optional<instant> switched_at_;
    software_judge judge_;
    double rate_ = 0; ///< Requests a second to the service.
    double sent_ = 0; ///< Requests to the service, as far as reported.
    double sent_new_ = 0;
    int load_steps_ = 0; ///< Begun.
    bool load_step_unclear_ =
        false; ///< An incident of both versions hides what the load step shows.
    std::map<std::string, double> route_rates_; ///< Requests a second.
};

} // namespace azureyoke::coordination
