#pragma once

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
/// Requests spread over the helpers by those under way; a helper far away counts as if it had a few
/// more. One that could not help is left out for a while. Pure. Not thread safe.
class helper_choice {
public:
    explicit helper_choice(std::uint32_t seed) : random_(seed) {}

    /// \returns the helper; nothing when there is none.
    std::optional<std::string> choose(const std::vector<helper_candidate>& candidates, instant now);

    void on_sent(const std::string& helper) { ++in_flight_[helper]; }

    /// \brief A request that was handed on has ended, whether or not the helper served it.
    void on_ended(const std::string& helper);

    /// \brief The helper did not run a request: it can't be reached, or reaches no server itself.
    void on_refused(const std::string& helper, instant now) {
        avoided_until_.insert_or_assign(helper, now + avoid_time);
    }

private:
    static constexpr duration avoid_time = std::chrono::seconds(1);
    static constexpr int far_penalty = 2; ///< In requests under way.

    std::minstd_rand random_;
    std::map<std::string, int> in_flight_;
    std::map<std::string, instant> avoided_until_;
};

} // namespace azureyoke::coordination
