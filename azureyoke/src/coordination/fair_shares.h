#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "azureyoke/src/coordination/faded_sum.h"
#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief Divides what is admitted among workspaces by max-min fairness over what each asked for
/// and got in the last seconds, in tokens, at all instances together.
///
/// Load: one workspace sends several times its usual rate while capacity is short. If all requests
/// were admitted with the same probability, it would take from the others in proportion. With
/// max-min shares a workspace that asks for less than an equal part is admitted whole, and the
/// rest is divided equally. Until a rise of demand shows in the reports nothing is refused, and the
/// workspace that asks for most gets most; what each got is therefore counted, and the others catch
/// up. Where nothing is refused, all shares are 1. Pure. Not thread safe.
class fair_shares {
public:
    /// \brief This instance was asked for `tokens` by a workspace. \pre `tokens` > 0
    void on_asked(const std::string& workspace, double tokens, instant now);
    /// \brief This instance admits this fraction of a request of `tokens`, on average.
    void on_admitted(const std::string& workspace, double tokens, double fraction, instant now);
    /// \brief A peer's counters since its start, by workspace. Counters that fall change nothing.
    /// \param all the fraction of all tokens that is admitted now. \pre 0 <= `all` <= 1
    void on_peer(const std::string& peer, std::uint64_t incarnation,
                 const std::map<std::string, double>& totals, double all, instant now);
    /// \brief Forgets the counters of peers that were not heard for `retention`.
    void forget_peers(duration retention, instant now);

    /// \returns the number of peers whose counters are remembered.
    std::size_t peer_count() const { return peers_.size(); }

    /// \returns this instance's counters since its start: of the `n` workspaces that asked for most
    /// lately.
    std::map<std::string, double> totals(std::size_t n, instant now) const;

    /// \returns the fraction of a workspace's requests to admit so that `all` of all are, by
    /// tokens. \pre 0 <= `all` <= 1
    double fraction(const std::string& workspace, double all, instant now) const;

private:
    /// Workspaces above this number are forgotten when they have not asked for a while, or else not
    /// counted.
    static constexpr std::size_t max_workspaces = 1000;
    static constexpr duration fading = std::chrono::seconds(2);
    /// Tokens, faded, below which a workspace counts as silent.
    static constexpr double min_tokens = 1;

    /// A peer's counter that was not told for this long only sets the base again: peers tell them
    /// only under overload, and what was asked in between would seem to come at once.
    static constexpr duration counter_validity = std::chrono::seconds(3);

    struct counter {
        double total = 0;
        instant at; ///< Told last.
    };

    struct peer_counter {
        std::uint64_t incarnation = 0;
        std::map<std::string, counter> totals;
        instant at;
    };

    struct usage {
        faded_sum asked;    ///< At all instances.
        faded_sum admitted; ///< Of these, as far as all instances decide as this one does.
    };

    void add(const std::string& workspace, double tokens, instant now);
    /// \returns the level up to which workspaces are filled so that `all` of all is admitted.
    double level(double all, instant now) const;
    /// \returns the fraction of a workspace's requests to admit so that it comes to the level.
    double fraction_at(double level, const usage& it, instant now) const;

    std::map<std::string, double> own_;
    std::map<std::string, peer_counter> peers_;
    std::map<std::string, usage> usages_; ///< By workspace.
};

} // namespace azureyoke::coordination
