#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/record_version.h"

namespace azureyoke::coordination {

/// \brief What an instance does about a table's changes for the others, and they for it.
enum class relay_role {
    none,    ///< Reads for itself alone.
    reader,  ///< Follows the table and tells the others of its changes.
    follower ///< Waits for changes from readers while these are heard.
};

/// \brief Chooses an instance's role among the live instances of its data centre that reach the
/// registry. Instances that know the same others choose the same readers without a message.
/// \pre `own` is one of `names`. Thread safe.
relay_role choose_relay_role(const std::string& own, std::vector<std::string> names, int readers);

/// \brief Decides when an instance that hears a table's changes from its peers reads them itself.
///
/// Load pattern: many instances follow one table of the registry, and each change ends the long
/// poll of all of them. A few readers tell the others of the changes; the others call the registry
/// when they miss something, hear no reader, or have not heard the registry itself for some time.
/// Pure. Not thread safe.
class registry_follower {
public:
    enum class next_call {
        none,  ///< Wait for the peers.
        brief, ///< Read what is missing, without waiting long for a change.
        follow ///< Follow the table with a long poll.
    };

    /// Readers send twice a second, so that a silence of this length is no lost datagram.
    static constexpr duration reader_timeout = std::chrono::milliseconds(1000);
    /// Changes that a reader tells of in several datagrams arrive within this time.
    static constexpr duration missing_timeout = std::chrono::milliseconds(150);
    /// As long as a long poll that ends without a change.
    static constexpr duration confirm_interval = std::chrono::milliseconds(2500);

    /// \brief The registry answered a call of this instance.
    void on_registry_answer(instant now) { answered_at_ = now; }

    /// \brief A reader has the table up to `version`, this instance up to `own`.
    void on_reader(const state::record_version& version, const state::record_version& own,
                   instant now) {
        heard_at_ = now;
        if (version.era != own.era || version <= own)
            return;
        newest_heard_ = std::max(newest_heard_, version);
        if (!ahead_since_)
            ahead_since_ = now;
    }

    /// \brief This instance has the table up to `own` now.
    void on_advanced(const state::record_version& own) {
        if (own >= newest_heard_)
            ahead_since_.reset();
    }

    /// \returns whether changes after `after` and up to `up_to` continue what is known up to `own`.
    static bool continues(const state::record_version& after, const state::record_version& up_to,
                          const state::record_version& own) {
        return after.era == own.era && up_to.era == own.era && after <= own && own < up_to;
    }

    /// \brief The registry answered a call that began at `called_at`: it has no version that a
    /// reader told of before then and that is still missing.
    void on_confirmed(instant called_at) {
        if (ahead_since_ && *ahead_since_ < called_at) {
            ahead_since_.reset();
            newest_heard_ = {};
        }
    }

    next_call next(instant now) const {
        if (!heard_at_ || now - *heard_at_ >= reader_timeout)
            return next_call::follow;
        bool missing = ahead_since_ && now - *ahead_since_ >= missing_timeout;
        bool unconfirmed = now - answered_at_ >= confirm_interval;
        return missing || unconfirmed ? next_call::brief : next_call::none;
    }

private:
    std::optional<instant> heard_at_;
    std::optional<instant> ahead_since_; ///< A reader has been ahead since then.
    state::record_version newest_heard_;
    instant answered_at_;
};

} // namespace azureyoke::coordination
