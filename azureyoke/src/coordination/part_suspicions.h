#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/coordination/answer_progress.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief How long requests are kept back.
struct suspicion_block {
    duration first;           ///< Time without requests after the first failed trial.
    int factor = 1;           ///< Each further failed trial multiplies it.
    duration longest;         ///< Bound on that time.
    duration crash_retention; ///< A crash is forgotten after this time unless a trial failed.

    friend bool operator==(const suspicion_block&, const suspicion_block&) = default;
};

struct suspicion_settings {
    /// A part is suspected after so many crashes without an answer in between.
    std::size_t crashes_to_suspect = 2;
    /// Crashes closer than this may have one cause outside of the requests, and count once.
    duration same_cause = std::chrono::milliseconds(100);
    /// A trial without a result is over after this time.
    duration trial_timeout = std::chrono::seconds(5);
    suspicion_block part = {std::chrono::seconds(5), 3, std::chrono::minutes(30),
                            std::chrono::minutes(5)};
    /// Of a single request that comes again: nobody else waits for it, and an answer to another
    /// request does not clear it.
    suspicion_block request = {std::chrono::minutes(1), 30, std::chrono::hours(24),
                               std::chrono::hours(1)};
    /// An answer is remembered for this long, so that old evidence from peers has no effect.
    duration answer_retention = std::chrono::seconds(10);
    std::size_t max_parts = 1024;

    friend bool operator==(const suspicion_settings&, const suspicion_settings&) = default;
};

/// Names that begin so stand for a single request, which may come again, in place of a part.
constexpr std::string_view request_name_prefix = "request/";

/// \brief The crash of a server while it held a request.
struct crash_mark {
    std::uint64_t id = 0; ///< The same at each instance, different for each run of a server.
    instant at;
    answer_progress reached{}; ///< Of the answer to that request.

    friend bool operator==(const crash_mark&, const crash_mark&) = default;
};

/// By the step of their progress, the last answers that refuted crashes.
using answer_times = std::array<instant, answer_progress::steps>;

/// \brief What is known about a part, less what answers have refuted.
struct part_evidence {
    std::vector<crash_mark> crashes; ///< In the order of their times.
    answer_times answered_at{};
    int failed_trials = 0;
    crash_mark trial_crash; ///< That of the last failed trial.

    friend bool operator==(const part_evidence&, const part_evidence&) = default;
};

/// \brief Whether a request may be sent, by the parts of its prompt.
struct part_assessment {
    enum class verdict {
        sound,
        trial, ///< Only as the trial of `part`.
        blocked
    };

    verdict result = verdict::sound;
    std::string part; ///< The part that the verdict is about.
    instant until;    ///< End of a block.

    friend bool operator==(const part_assessment&, const part_assessment&) = default;
};

/// \brief Finds the prompt parts whose requests crash backend servers, and single requests that do
/// so each time they come. Below, such a request is a part that only it has.
///
/// Load pattern: one in some hundred requests carries a part that crashes each server that begins
/// its answer. The requests come at all instances, no two alike, and share their other parts with
/// sound requests. Every part of a request that was lost in a crash is charged with it. A part with
/// two charges is suspected, and its requests wait for a trial: a single request of the whole fleet
/// that is sent on. If it is answered, the part is cleared. If it crashes its server, the part is
/// blocked for a time that multiplies with each failed trial.
///
/// A crash also breaks off the answers to sound requests, at any point, while a part crashes its
/// servers at much the same point of each answer. So a charge says how far the answer had got, and
/// is refuted by a later answer to any request with the part that gets clearly further, or to its
/// end.
///
/// A request with several suspected parts is a trial of one: the part with the most charges, or the
/// last of them in the prompt, since later parts are shared by fewer requests. A failed trial
/// explains the crashes that its part was charged with: other parts are no longer charged with
/// them.
///
/// Evidence of several instances is merged by the identity of the crash. Pure. Not thread safe.
class part_suspicions {
public:
    explicit part_suspicions(const suspicion_settings& settings) : settings_(settings) {}

    /// \brief A request with these parts was lost in a crash. Nothing is charged when its answer
    /// had got as far as a complete one.
    void on_crash(const std::vector<std::string>& parts, const crash_mark& crash);
    /// \brief The answer to a request with these parts has got so far.
    void on_answer(const std::vector<std::string>& parts, answer_progress reached, instant now);
    /// \brief The request that was the trial of `part` crashed its server.
    /// \pre `on_crash` was called for the crash and the part.
    void on_trial_failed(const std::string& part, const crash_mark& crash);
    part_assessment assess(const std::vector<std::string>& parts, instant now) const;
    /// \brief Decides for the fleet whether a request may be the trial of `part` now.
    /// \returns whether it may; also true when the part is not suspected.
    bool try_start_trial(const std::string& part, instant now);
    /// \returns when the next trial may begin, if not now.
    instant next_trial(const std::string& part, instant now) const;
    bool is_suspected(const std::string& part) const;
    std::vector<std::string> suspected() const;

    /// \brief Applies what a peer knows.
    void merge(const std::string& part, const part_evidence& reported, instant now);
    /// \returns the parts, at most `max`, about which something new is known since the last call;
    /// those with the most crashes first.
    std::vector<std::string> take_changed(std::size_t max);
    /// \returns the parts, at most `max`, that peers should know; those with the most crashes
    /// first.
    std::vector<std::string> active(std::size_t max) const;
    /// \returns what is known about a part; nothing when there are no charges.
    part_evidence evidence(const std::string& part) const;
    /// \brief Drops what is too old.
    void expire(instant now);

    bool empty() const { return records_.empty(); }

private:
    struct record {
        part_evidence known;
        bool shared = false; ///< Peers may know about its crashes.
        instant trial_until; ///< A trial that this instance granted is running.
    };

    /// What counts of the evidence about a part.
    struct weighed {
        std::size_t charges = 0;
        int failed_trials = 0;

        friend bool operator==(const weighed&, const weighed&) = default;
    };

    weighed weigh(const std::string& part, const record& it) const;
    bool is_suspected(const weighed& it) const;
    instant blocked_until(const std::string& part, const record& it) const;
    /// \returns whether the crash is one that a failed trial of another part explains.
    bool is_explained(const std::string& part, const record& it, std::uint64_t crash) const;
    /// \returns whether an answer that had got so far at `at` refutes anything.
    static bool apply_answer(record& it, answer_progress reached, instant at);
    static bool add_crash(record& it, const crash_mark& mark);
    bool add_failed_trials(const std::string& part, int failed, const crash_mark& crash);
    void update_blocked(const std::string& part);
    void end_trial_if_cleared(const std::string& part);
    static bool has_charges(const record& it);
    void forget(const std::string& part);
    const suspicion_block& block_of(const std::string& part) const;
    bool too_old(const std::string& part, const record& it, instant now) const;
    std::vector<std::string> by_charges(std::vector<std::string> parts, std::size_t max) const;
    void make_room();

    suspicion_settings settings_;
    std::map<std::string, record> records_;
    std::set<std::string> changed_;
    std::set<std::string> blocked_; ///< The parts with failed trials.
};

} // namespace azureyoke::coordination
