// What fleet_router learns from answers, failures and announcements; its choice of a server is in
// fleet_router.cpp.
#include "azureyoke/src/coordination/fleet_router.h"

#include <algorithm>

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Weight of the newest observation in exponential moving averages.
constexpr double learning_rate = 0.15;
constexpr double min_latency_ratio = 0.3;
constexpr double max_latency_ratio = 10;
constexpr int failures_to_suspend = 2;

} // namespace
} // namespace internal

void fleet_router::on_first_answer(const server_choice& choice, duration took, instant now) {
    auto& view = views_[choice.server];
    view.own.unprocessed_tokens =
        std::max<std::int64_t>(0, view.own.unprocessed_tokens - choice.uncached_tokens);
    view.unanswered = std::max(0, view.unanswered - 1);
    has_unreported_work_ = true;
    double took_ms = to_seconds(took) * 1000;
    double nominal_ms = std::max(choice.nominal_first_answer_ms, min_estimate_ms);
    view.latency.observe(nominal_ms, took_ms, now);
    if (choice.paced)
        ramps_.on_first_answer(choice.server, choice.pool, nominal_ms, took,
                               trusted_slowdown(choice, now - took, now), now);
    double ratio = took_ms / nominal_ms;
    ratio = std::clamp(ratio, internal::min_latency_ratio, internal::max_latency_ratio);
    view.latency_ratio += internal::learning_rate * (ratio - view.latency_ratio);
    if (choice.uneven)
        speeds_.observe_own({choice.pool, choice.server, nominal_ms, took_ms,
                             speeds_.told_since(choice.server, now - took), now},
                            now);
}

void fleet_router::on_load_report(const std::string& server, int running, int waiting,
                                  instant now) {
    auto& view = views_[server];
    view.running = running;
    view.waiting = waiting;
    view.reported_at = now;
}

void fleet_router::on_call_outcome(const server_choice& choice, call_outcome outcome, instant now,
                                   bool answered) {
    auto& view = views_[choice.server];
    view.own.in_flight = std::max(0, view.own.in_flight - 1);
    if (view.own.in_flight == 0)
        view.own.unprocessed_tokens = 0;
    if (!answered || outcome == call_outcome::shed || outcome == call_outcome::unreachable)
        view.unanswered = std::max(0, view.unanswered - 1);
    view.unanswered = std::min(view.unanswered, view.own.in_flight);
    bool failed = outcome == call_outcome::error || outcome == call_outcome::incomplete;
    if (outcome == call_outcome::answered || failed)
        view.error_share += internal::learning_rate * ((failed ? 1 : 0) - view.error_share);
    switch (outcome) {
    case call_outcome::answered:
    case call_outcome::error:
        view.failures = 0;
        view.suspension = {};
        break;
    case call_outcome::shed:
        view.suspended_until = std::max(view.suspended_until, now + settings_.shed_suspension);
        ramps_.on_refused(choice.server, view.own.in_flight + view.peers.in_flight, now);
        break;
    case call_outcome::unreachable:
    case call_outcome::incomplete:
        ++view.failures;
        ramps_.on_failed(choice.server, view.own.in_flight + view.peers.in_flight, now);
        if (outcome == call_outcome::unreachable ||
            view.failures >= internal::failures_to_suspend) {
            view.suspension = std::clamp(view.suspension * 2, settings_.first_suspension,
                                         settings_.longest_suspension);
            view.suspended_until = now + view.suspension;
            if (choice.paced)
                ramps_.begin(choice.server, choice.pool, choice.slots, ramp_cause::recovered,
                             view.suspended_until);
        }
        break;
    case call_outcome::cancelled:
        break;
    }
}

void fleet_router::on_backoff(const std::string& server, double seconds, instant now) {
    auto wait = from_seconds(std::min(seconds, to_seconds(settings_.longest_backoff)));
    auto& view = views_[server];
    view.backoff_until = std::max(view.backoff_until, now + wait);
}

std::optional<duration> fleet_router::backoff_remaining(const fleet_directory& directory,
                                                        const std::string& pool,
                                                        instant now) const {
    return least_remaining(directory, pool, &server_view::backoff_until, now);
}

void fleet_router::on_limit_reached(const std::string& server, instant until) {
    views_[server].limited_until = until;
}

void fleet_router::on_limit_raised(const std::string& server) {
    views_[server].limited_until = {};
}

void fleet_router::on_limit_named(const std::string& server) {
    views_[server].limits_rate = true;
}

void fleet_router::on_limit_ended(const std::string& server) {
    auto& view = views_[server];
    view.limits_rate = false;
    view.limited_until = {};
}

std::optional<duration> fleet_router::limit_remaining(const fleet_directory& directory,
                                                      const std::string& pool, instant now) const {
    return least_remaining(directory, pool, &server_view::limited_until, now);
}

std::optional<duration> fleet_router::least_remaining(const fleet_directory& directory,
                                                      const std::string& pool,
                                                      instant server_view::*until,
                                                      instant now) const {
    std::optional<duration> least;
    for (const auto* it : directory.usable(pool)) {
        auto view = views_.find(it->id);
        if (view == views_.end() || view->second.*until <= now)
            continue;
        auto left = view->second.*until - now;
        least = least ? std::min(*least, left) : left;
    }
    return least;
}

void fleet_router::on_weights_change_announced(const std::string& server, const std::string& model,
                                               std::int64_t version, instant now) {
    views_[server].change = {model, version, now + settings_.weights_change_timeout};
}

bool fleet_router::on_weights_change_ended(const std::string& server) {
    return std::exchange(views_[server].change, {}).version != 0;
}

bool fleet_router::changing_weights(const fleet_directory& directory, const std::string& server,
                                    instant now) const {
    auto found = views_.find(server);
    if (found == views_.end())
        return false;
    const auto& change = found->second.change;
    return now < change.until && weights_of(directory, server, change.model) < change.version;
}

bool fleet_router::unavailable(const fleet_directory& directory, const std::string& server,
                               instant now) const {
    auto found = views_.find(server);
    if (found == views_.end())
        return false;
    const auto& view = found->second;
    return now < std::max({view.suspended_until, view.backoff_until, view.limited_until}) ||
           changing_weights(directory, server, now);
}

void fleet_router::on_weights(const std::string& server, const std::string& model,
                              std::int64_t version) {
    auto& view = views_[server];
    auto& known_version = view.weights[model];
    if (version <= known_version)
        return;
    known_version = version;
}

void fleet_router::reset_server(const std::string& server) {
    auto found = views_.find(server);
    speeds_.forget(server);
    if (found == views_.end())
        return;
    server_view reset;
    reset.own = found->second.own; // open calls end later and are subtracted then
    reset.peers = found->second.peers;
    reset.unanswered = found->second.unanswered;
    reset.peers_unanswered = found->second.peers_unanswered;
    reset.limits_rate = found->second.limits_rate; // until an answer of its new run tells
    found->second = reset;
}

void fleet_router::on_path_restored(instant now) {
    ramps_.on_path_restored(now);
    for (auto& [id, it] : views_) {
        it.failures = 0;
        it.suspension = {};
        it.suspended_until = {};
    }
}

int fleet_router::in_flight(const std::string& server) const {
    auto found = views_.find(server);
    return found == views_.end() ? 0 : found->second.own.in_flight;
}

int fleet_router::requests_at(const std::string& server, instant now) const {
    auto found = views_.find(server);
    if (found == views_.end())
        return 0;
    const auto& view = found->second;
    int sent = view.own.in_flight + view.peers.in_flight;
    bool report_valid = now - view.reported_at < settings_.load_report_ttl;
    return std::max(sent, report_valid ? view.running + view.waiting : 0);
}

} // namespace azureyoke::coordination
