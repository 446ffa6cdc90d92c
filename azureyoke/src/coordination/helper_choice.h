#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief An instance that requests may be handed on to.
struct helper_candidate {
    std::string name;
    bool near = false; ///< In the own data centre.

    friend bool operator==(const helper_candidate&, const helper_candidate&) = default;
};

/// \brief Chooses the instance that a request is handed on to.
///
/// The one with the fewest requests under way among those that helped lately and a few drawn at
/// random, so that the cost does not grow with the fleet; a helper far away, or one that did not
/// help yet, counts as if it had a few more. One that could not help is left out for a time that
/// doubles. Fault pattern: a whole data centre is cut off, and each of its instances would ask the
/// others: after two refusals from near, helpers far away are asked first. Pure. Not thread safe.
class helper_choice {
public:
    explicit helper_choice(std::uint32_t seed) : random_(seed) {}

    void set_candidates(std::vector<helper_candidate> list);

    /// \returns the helper; nothing when there is none.
    std::optional<std::string> choose(instant now);

    void on_sent(const std::string& helper) { ++in_flight_[helper]; }

    /// \brief A request that was handed on has ended, whether or not the helper served it.
    void on_ended(const std::string& helper);
    /// \brief The helper began to answer a request.
    void on_served(const std::string& helper);
    /// \brief The helper did not run a request: it can't be reached, or reaches no server itself.
    void on_refused(const std::string& helper, instant now);

private:
    static constexpr duration first_avoid_time = std::chrono::milliseconds(500);
    static constexpr duration longest_avoid_time = std::chrono::seconds(4);
    static constexpr int distance_penalty = 2; ///< In requests under way.
    static constexpr int unknown_penalty = 3;  ///< The same.
    static constexpr std::size_t max_known = 8;
    static constexpr int max_near_refusals = 2;
    static constexpr std::size_t drawn = 8;

    struct refusal {
        duration avoid_time{};
        instant until;
    };

    bool is_near(const std::string& helper) const;
    bool is_avoided(const std::string& helper, instant now) const;
    int load(const helper_candidate& it, bool known) const;

    std::minstd_rand random_;
    std::vector<helper_candidate> candidates_;
    std::vector<helper_candidate> known_; ///< Those that helped lately.
    std::map<std::string, int> in_flight_;
    std::map<std::string, refusal> refusals_; ///< Since the helper last served a request.
    int near_refusals_ = 0;                   ///< Since one that is near last served a request.
};

} // namespace azureyoke::coordination
