#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

struct permit_settings {
    /// Permits that may be issued at once: so many, and those of `burst_s` seconds of the rate.
    double burst_permits = 2;
    double burst_s = 0.5;
    /// Longest time after which an instance asks again: a limit may have changed meanwhile.
    duration max_wait = std::chrono::seconds(5);
    /// A bucket that was not used for this long is dropped.
    duration retention = std::chrono::minutes(1);

    friend bool operator==(const permit_settings&, const permit_settings&) = default;
};

struct permit_decision {
    bool granted = false;
    duration wait{}; ///< When to ask again after a denial.

    friend bool operator==(const permit_decision&, const permit_decision&) = default;
};

/// \brief Issues permits for single requests to backend servers that limit their rate.
///
/// Load pattern: hundreds of instances whose callers together ask for many times the rate, unevenly
/// spread, at rates so low that an even part of them would be one request in minutes. One instance
/// issues all permits of a server, so that each is used where the demand is, and the instances
/// together keep the limit exactly. Denied instances are told to ask again one after the other at
/// the rate of the limit, so that the asking does not grow with their number.
///
/// Fault pattern: instances that do not see each other choose different issuers. An issuer starts
/// without permits and applies only the part of the rate that corresponds to the instances that it
/// sees. Pure. Not thread safe.
class permit_issuer {
public:
    explicit permit_issuer(const permit_settings& settings) : settings_(settings) {}

    /// \brief Decides on one request of `instance` to `server`, whose limit is `per_second`.
    /// \pre `per_second` > 0, 0 < `part` <= 1.
    permit_decision issue(const std::string& server, const std::string& instance, double per_second,
                          double part, instant now);
    /// \returns the instances that were denied and have not yet asked again; they are forgotten.
    std::vector<std::string> take_waiting(const std::string& server, instant now);
    /// \brief Drops the buckets of servers for which no permit was asked for long.
    void drop_unused(instant now);

private:
    struct bucket {
        double level = 0;
        instant filled_at;
        std::map<std::string, instant> visits; ///< When each denied instance will ask again.
        std::set<std::pair<instant, std::string>> visits_by_time;
    };

    static void end_visit(bucket& it, const std::string& instance);
    static void end_past_visits(bucket& it, instant now);

    permit_settings settings_;
    std::map<std::string, bucket> buckets_;
};

/// \returns the instance that issues the permits of `server`: the same for the same `instances` in
/// any order, and unchanged for most servers when one instance comes or goes.
/// \pre `instances` is not empty.
std::string choose_issuer(const std::vector<std::string>& instances, std::string_view server);

} // namespace azureyoke::coordination
