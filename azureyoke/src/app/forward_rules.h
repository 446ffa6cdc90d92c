#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>

#include "azureyoke/src/app/forward_settings.h"
#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/traffic_policy.h"

namespace azureyoke::app {

/// Seconds after which a caller may ask an instance again that has just started.
constexpr double retry_when_ready_s = 0.3;
/// Seconds after which a server that refused or failed may be usable again.
constexpr double retry_no_server_s = 0.3;
constexpr double least_retry_s = 0.05;
/// A request whose route and caller name no time ends after this.
constexpr std::int64_t longest_request_ms = 600'000;
/// With less time left a request is not sent again: its answer would come too late.
constexpr double least_time_to_send_ms = 15;
/// Sends that did not run may come on top of those that a route allows.
constexpr int most_unrun_sends = 2;
/// Answers up to this size are collected, so that a broken one can be asked for again.
constexpr std::uint64_t most_held_bytes = 64 * 1024;
/// Bytes that may wait for a slow caller before reading from the server stops.
constexpr std::size_t most_unwritten_bytes = 256 * 1024;
/// Answers made on older weights count in full for this long after new ones are named.
constexpr coordination::duration new_weights_grace = std::chrono::milliseconds(1200);
/// Percent of the time limit for new weights after which servers with older ones are not used.
constexpr std::int64_t old_weights_percent = 65;
/// Callers give a stream up after a gap of this many times its target, or of its longest pause, or
/// after two seconds, whichever is longest.
constexpr double abandoned_targets = 4;
constexpr double abandoned_pauses = 8;
constexpr double least_patience_ms = 2000;
/// What a server says beside `not run` is read for this long and up to this size, so that the
/// connection can be kept; the request does not wait for more.
constexpr coordination::duration rejection_wait = std::chrono::milliseconds(100);
constexpr std::size_t most_rejection_bytes = 16 * 1024;

/// \brief How long after new weights are named servers with older ones may still be used.
inline coordination::duration oldest_allowed(const forward_settings& settings) {
    return std::chrono::milliseconds(settings.weights_limit_ms * old_weights_percent / 100);
}

/// \brief Milliseconds without an event after which callers give a stream up.
inline double longest_gap_ms(const state::forward_route& route) {
    return std::max({least_patience_ms, abandoned_targets * static_cast<double>(route.target_ms),
                     abandoned_pauses * static_cast<double>(route.gap_ms)});
}

/// \brief Milliseconds for which a request may wait at a server for the start of its answer.
///
/// Shorter than the caller's own patience: what waits longer at a server may begin there after its
/// weights are too old, and holds up what comes behind it.
inline double patience_ms(const state::forward_route& route, double left_ms) {
    if (route.rule != state::run_rule::stream)
        return left_ms;
    double patience = abandoned_targets * static_cast<double>(route.target_ms);
    return std::min(left_ms, std::max(least_patience_ms, patience));
}

/// \brief The pool that the route gives this request, by the weights of its targets. The same
/// request always gets the same one.
inline std::string pool_of(const state::forward_route& route, const std::string& request_id) {
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
