#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "azureyoke/src/app/forward_settings.h"
#include "azureyoke/src/coordination/part_suspicions.h"
#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/fleet_server.h"
#include "azureyoke/src/state/key_digest.h"
#include "azureyoke/src/state/traffic_policy.h"
#include "azureyoke/src/transport/byte_budget.h"
#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::app {

/// Retry-after time, in seconds, of an instance that has no current policy yet.
constexpr double retry_after_start_s = 0.3;
/// Seconds after which a server that refused a request or failed may be usable again.
constexpr double retry_after_no_server_s = 0.3;
constexpr double min_retry_after_s = 0.05;
/// Time limit of a request when neither its route nor its caller sets one.
constexpr std::int64_t max_request_ms = 600'000;
/// Fraction of a workspace's limit that only streams which are taken up again may use.
constexpr double reserved_limit_fraction = 0.1;
/// A request with less time left is not retried: its answer would come too late.
constexpr double min_send_time_ms = 15;
/// Sends that did not run are allowed in addition to the attempts that a route permits.
constexpr int max_unrun_sends = 2;
/// After so many denied permits a request goes to a server without a limit or is refused.
constexpr int max_denied_permits = 3;
/// Answers up to this size are buffered, so that the request can be retried if the connection
/// is lost before the end.
constexpr std::uint64_t max_buffered_bytes = 64 * 1024;
/// Bytes that may be queued for a slow caller before reading from the server is paused.
constexpr std::size_t max_unwritten_bytes = 256 * 1024;
/// Answers computed on older weights are fully valid for this long after new weights are set.
constexpr coordination::duration new_weights_grace = std::chrono::milliseconds(1200);
/// Percentage of the time limit for new weights after which servers with older ones are not used.
/// With 100, requests that waited at a server started on weights past the limit.
constexpr std::int64_t old_weights_percent = 65;
/// The least urgent value of the field that tells servers the urgency of a request.
constexpr int max_urgency = 9;
/// Callers abandon a stream after a gap of this many times the route's target latency, this many
/// times its gap target, or two seconds, whichever is longest.
constexpr double abandon_after_latency_targets = 4;
constexpr double abandon_after_gap_targets = 8;
constexpr double min_abandon_delay_ms = 2000;
/// The rest of an answer that reports "not run" is read for this long and up to this size, so that
/// the connection can be reused; the request does not wait any longer for it.
constexpr coordination::duration rejection_timeout = std::chrono::milliseconds(100);
constexpr std::size_t max_rejection_bytes = 16 * 1024;

/// Helpers that may refuse a request in turn before this instance tries the servers itself.
constexpr int max_help_refusals = 4;
/// Field of a helper's own refusal, between instances only: the request did not and will not run.
constexpr const char* refused_help_field = "Azureyoke-Not-Run";

/// \returns the bytes that may be queued for a slow caller before reading from
/// the server is paused. Servers cut off an answer that stays unread for
/// seconds, so more is read while less than half of the budget is used.
inline std::size_t max_unread_bytes(const transport::byte_budget& budget) {
    constexpr std::size_t parts = 8; // one caller's share of the budget
    bool has_room = budget.used() <= budget.limit() / 2;
    return has_room ? std::max(max_unwritten_bytes, budget.limit() / parts) : max_unwritten_bytes;
}

/// \returns whether callers read the status as a promise that the request did
/// not run.
inline bool means_not_run(int status) {
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/// \returns how long servers with older weights may still be used after new weights are set.
inline coordination::duration old_weights_grace(const forward_settings& settings) {
    return std::chrono::milliseconds(settings.weights_limit_ms * old_weights_percent / 100);
}

/// \returns the milliseconds without an event after which callers abandon a stream.
inline double max_event_gap_ms(const state::forward_route& route) {
    return std::max({min_abandon_delay_ms,
                     abandon_after_latency_targets * static_cast<double>(route.latency_target_ms),
                     abandon_after_gap_targets * static_cast<double>(route.target_gap_ms)});
}

/// \returns the milliseconds that a request may wait at a server for the start of its answer.
///
/// This is shorter than the time that callers wait: a request that is queued for longer may start
/// when the server's weights are already too old, and it delays the requests queued behind it.
/// With the gap limit (4 s) here, a request could start on old weights 9.2 s after a change whose
/// time limit was 8 s, and one did after 8.1 s.
inline double first_answer_limit_ms(const state::forward_route& route, double left_ms) {
    if (route.rule != state::execution_rule::stream)
        return left_ms;
    double first_answer_ms =
        abandon_after_latency_targets * static_cast<double>(route.latency_target_ms);
    return std::min(left_ms, std::max(min_abandon_delay_ms, first_answer_ms));
}

/// \returns for each pool with resumable streams how long such a stream lasts, at most.
inline std::map<std::string, coordination::duration>
stream_lifetimes(const state::traffic_policy& policy) {
    std::map<std::string, coordination::duration> lifetimes;
    for (const auto& route : policy.routes()) {
        if (route.rule != state::execution_rule::stream || !route.resumable)
            continue;
        auto ms = route.timeout_ms > 0 ? route.timeout_ms : max_request_ms;
        for (const auto& target : route.targets) {
            auto& longest = lifetimes[target.pool];
            longest = std::max(longest, coordination::duration(std::chrono::milliseconds(ms)));
        }
    }
    return lifetimes;
}

/// \returns the name by which a request is known that comes again: the same for the same path,
/// caller and body.
inline std::string name_of_request(const transport::http_request& request, const std::string& host,
                                   const std::string& key) {
    return std::string(coordination::request_name_prefix) +
           state::content_digest(
               {request.method, "\n", host, "\n", request.target, "\n", key, "\n", request.body});
}

/// \returns the names by which the parts of a prompt but the last are guarded against crashes. The
/// last part belongs to the request alone.
inline std::vector<std::string> guarded_parts(const std::string& pool,
                                              const std::vector<state::prompt_part>& parts) {
    constexpr std::size_t max_parts = 32;
    constexpr std::size_t max_name = 128;
    std::vector<std::string> names;
    for (std::size_t i = 0; i + 1 < parts.size() && i < max_parts; ++i)
        names.push_back((pool + "/" + parts[i].id).substr(0, max_name));
    return names;
}

/// \returns the pool for this request, chosen by the weights of the route's targets. The same
/// request id always gives the same pool.
inline std::string select_pool(const state::forward_route& route, const std::string& request_id) {
    double total = 0;
    for (const auto& it : route.targets)
        total += it.weight;
    constexpr std::size_t steps = 1'000'003;
    double point = total * static_cast<double>(std::hash<std::string>()(request_id) % steps) /
                   static_cast<double>(steps);
    for (const auto& it : route.targets) {
        if (point < it.weight)
            return it.pool;
        point -= it.weight;
    }
    return route.targets.empty() ? std::string() : route.targets.back().pool;
}

} // namespace azureyoke::app
