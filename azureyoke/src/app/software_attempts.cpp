// What software_rollout_service learns from the attempts of requests; its decisions are in
// software_rollout_service.cpp.
#include <algorithm>

#include "azureyoke/src/app/software_rollout_service.h"

namespace azureyoke::app {

using coordination::call_outcome;

namespace internal {
namespace {

/// An answer that takes so many times what the old version needs is slow.
constexpr double slow_factor = 2.2;
constexpr double slow_margin_ms = 10;
/// Answers of a server's first seconds are not judged for speed.
constexpr transport::duration least_warm_up = std::chrono::milliseconds(2500);
constexpr transport::duration warm_up_margin = std::chrono::milliseconds(500);
constexpr double longest_warm_up_part = 0.45; ///< Of the order's length.

} // namespace
} // namespace internal

coordination::route_counts& software_rollout_service::counts_of(rollout& it, const attempt& of) {
    return (of.to_new ? it.own.new_side : it.own.old_side).routes[of.route];
}

void software_rollout_service::count_running(const std::string& service,
                                             coordination::software_evidence& sum) const {
    for (const auto& [number, it] : attempts_) {
        if (it.pool == service)
            ++(it.to_new ? sum.new_side : sum.old_side).running;
    }
}

bool software_rollout_service::warms_up(const rollout& it,
                                        const state::fleet_server& server) const {
    auto seen = first_seen_.find({server.id, server.started_ms});
    if (seen == first_seen_.end())
        return true;
    transport::duration announced =
        std::chrono::milliseconds(server.warm_up_ms) + internal::warm_up_margin;
    auto longest = coordination::from_seconds(coordination::to_seconds(it.decided.order().length) *
                                              internal::longest_warm_up_part);
    auto time = std::min(std::max(internal::least_warm_up, announced), longest);
    return loop_.now() - seen->second < time;
}

std::uint64_t software_rollout_service::on_sent(const std::string& route, const std::string& pool,
                                                const coordination::server_choice& choice) {
    attempt made;
    made.pool = pool;
    made.route = route;
    made.server = choice.server;
    made.sent = loop_.now();
    made.nominal_ms = choice.nominal_first_answer_ms;
    const auto* server = state_.directory.find(choice.server);
    auto found = rollouts_.find(pool);
    if (found != rollouts_.end() && server != nullptr) {
        auto& it = found->second;
        made.to_new = server->software == it.decided.order().to;
        const auto& model = times_[{pool, route}];
        made.judged = !model.known() || (made.to_new && warms_up(it, *server));
        if (model.known())
            made.limit_ms =
                internal::slow_factor * model.predict(made.nominal_ms) + internal::slow_margin_ms;
        ++counts_of(it, made).sent;
        has_news_ = has_news_ || !is_over(it);
        measures_.count("azureyoke_software_sends_total", "software",
                        pool + "/" + server->software);
    }
    auto number = next_attempt_++;
    attempts_.emplace(number, std::move(made));
    return number;
}

void software_rollout_service::mark_speed(attempt& of, bool is_slow) {
    of.judged = true;
    auto found = rollouts_.find(of.pool);
    if (found == rollouts_.end())
        return;
    auto& counts = counts_of(found->second, of);
    ++counts.judged;
    counts.slow += is_slow ? 1 : 0;
    has_news_ = has_news_ || !is_over(found->second);
    if (is_slow)
        measures_.count("azureyoke_software_slow_total", "version", of.to_new ? "new" : "old");
}

void software_rollout_service::on_first_answer(std::uint64_t number) {
    auto found = attempts_.find(number);
    if (found == attempts_.end())
        return;
    auto& it = found->second;
    constexpr double ms_per_s = 1000;
    double took_ms = coordination::to_seconds(loop_.now() - it.sent) * ms_per_s;
    if (!it.to_new)
        times_[{it.pool, it.route}].observe(it.nominal_ms, took_ms);
    if (!it.judged && it.limit_ms > 0)
        mark_speed(it, took_ms > it.limit_ms);
    it.judged = true;
}

// A call without an answer is slow as soon as its time has passed: a version that hangs would
// otherwise show only at the callers' deadlines.
void software_rollout_service::judge_waiting() {
    auto now = loop_.now();
    for (auto& [number, it] : attempts_) {
        if (!it.judged && it.limit_ms > 0 &&
            now - it.sent > coordination::from_seconds(it.limit_ms / 1000))
            mark_speed(it, true);
    }
}

void software_rollout_service::on_ended(std::uint64_t number, call_outcome outcome, int status) {
    constexpr int first_rejection = 400;
    constexpr int first_failure = 500;
    auto node = attempts_.extract(number);
    if (node.empty())
        return;
    const auto& of = node.mapped();
    auto found = rollouts_.find(of.pool);
    if (found == rollouts_.end() || of.sent < found->second.decided.order().begun)
        return;
    auto& it = found->second;
    const char* version = of.to_new ? "new" : "old";
    auto& side = of.to_new ? it.own.new_side : it.own.old_side;
    if (outcome == call_outcome::incomplete) {
        ++side.servers[of.server].lost;
        measures_.count("azureyoke_software_lost_total", "version", version);
    } else if (outcome == call_outcome::answered || outcome == call_outcome::error) {
        auto& counts = side.routes[of.route];
        ++counts.ended;
        bool failed = outcome == call_outcome::error || status >= first_failure;
        counts.failed += failed ? 1 : 0;
        counts.rejected += !failed && status >= first_rejection ? 1 : 0;
        if (failed)
            measures_.count("azureyoke_software_failures_total", "version", version);
    }
    has_news_ = has_news_ || !is_over(it);
}

} // namespace azureyoke::app
