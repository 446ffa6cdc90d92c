#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief What a backend server said about the requests that it takes from all instances together.
struct rate_statement {
    /// Start of the server's run; a later run knows nothing of the limits of an earlier one.
    std::int64_t started_ms = 0;
    double per_second = 0; ///< 0: any number.
    instant made_at;

    bool limits() const { return per_second > 0; }

    friend bool operator==(const rate_statement&, const rate_statement&) = default;
};

struct server_limit_settings {
    /// A lower limit, also 0, counts as this one, because only an answer can end a limit.
    double min_per_second = 0.1;
    /// A statement that is not repeated is dropped after this time.
    duration retention = std::chrono::minutes(10);

    friend bool operator==(const server_limit_settings&, const server_limit_settings&) = default;
};

/// \brief The request rates that backend servers allow, as this instance knows them from answers
/// and from peers.
///
/// Answers may overtake each other. An answer can raise or end a limit only if its request was sent
/// after the limit was last named; a lower limit applies at once. Pure. Not thread safe.
class server_limits {
public:
    /// How a statement changed the known limit.
    enum class change { none, named, ended };

    explicit server_limits(const server_limit_settings& settings) : settings_(settings) {}

    /// \brief Applies an answer to a request of `sent_at`. `per_second` is infinite when the
    /// answer names no limit. \pre `per_second` >= 0.
    change on_answer(const std::string& server, std::int64_t started_ms, double per_second,
                     instant sent_at, instant now);
    /// \brief Applies a peer's statement if it is newer than the known one.
    change merge(const std::string& server, const rate_statement& reported);
    /// \returns the newest statement about the server; null when there is none.
    const rate_statement* find(const std::string& server) const;
    /// \returns the rate that the server allows; nothing when it names no limit.
    std::optional<double> limit_of(const std::string& server) const;

    /// \returns the newest statements, by server.
    const std::map<std::string, rate_statement>& statements() const { return statements_; }

    /// \brief Drops the statements that were not repeated for long. \returns the servers of those
    /// that named a limit.
    std::vector<std::string> drop_old(instant now);

private:
    change replace(const std::string& server, const rate_statement& next);

    server_limit_settings settings_;
    std::map<std::string, rate_statement> statements_;
};

} // namespace azureyoke::coordination
