// How forward_session takes part in overload control (docs/design/overload.md). The request path is
// in forward_session.cpp.
#include <algorithm>
#include <optional>

#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/app/forward_session.h"
#include "azureyoke/src/coordination/pool_load.h"
#include "azureyoke/src/coordination/retry_after.h"

namespace azureyoke::app {

int forward_session::rank() const {
    return workspace_ != nullptr && workspace_->priority ? *workspace_->priority : route_->priority;
}

std::int64_t forward_session::request_tokens() const {
    std::int64_t tokens = 0;
    for (const auto& it : query_.parts)
        tokens += it.tokens;
    return std::max<std::int64_t>(1, request_info_.tokens.value_or(tokens));
}

double forward_session::load_at(const std::string& id) const {
    const auto& state = services_.state;
    const auto* server = state.directory.find(id);
    if (server == nullptr || server->slots <= 0)
        return 0;
    return static_cast<double>(state.router.requests_at(id, services_.loop.now())) / server->slots;
}

// The server that was chosen has not failed the request, so the exclusion is not kept.
std::optional<coordination::server_choice> forward_session::choose_other_server() {
    auto query = query_;
    query.excluded.push_back(choice_->server);
    query.beyond_pace = true;
    query.unsuspended_only = true;
    auto other =
        services_.state.router.choose(services_.state.directory, query, services_.loop.now());
    if (other && other->estimated_first_answer_ms > first_answer_limit_ms(*route_, remaining_ms()))
        return std::nullopt;
    return other;
}

bool forward_session::choose_quickest_server(double limit_ms) {
    if (!services_.state.overload_control(pool_, services_.loop.now()))
        return false;
    auto query = query_;
    query.beyond_pace = true;
    query.unsuspended_only = true;
    query.quickest = true;
    auto quickest =
        services_.state.router.choose(services_.state.directory, query, services_.loop.now());
    if (!quickest || quickest->estimated_first_answer_ms > limit_ms)
        return false;
    choice_ = quickest;
    return true;
}

bool forward_session::pass_admission() {
    auto& state = services_.state;
    // What was begun goes on: refusing it would waste the work done for it.
    // A request that was admitted once and then met no permit or no address was not refused.
    bool begun = sends_ > 0 || denied_permits_ > 0 || !query_.excluded.empty() ||
                 continues_stream() || origin_ == request_origin::instance;
    if (begun || !state.overload_control(pool_, services_.loop.now()))
        return true;
    auto now = services_.loop.now();
    if (state.admission.needs_load(pool_, now)) {
        auto load =
            coordination::load_of_pool(state.directory, state.router, pool_, state.instances, now);
        load.unresponsive = state.unresponsive_instances;
        state.admission.on_pool_load(pool_, load, now);
    }
    coordination::admission_query query;
    query.pool = pool_;
    query.rank = rank();
    query.target_ms = static_cast<double>(route_->latency_target_ms);
    query.server_load = load_at(choice_->server);
    query.left_s = std::max(0.0, remaining_ms() / 1000);
    query.number = query_.number;
    query.workspace = workspace_ == nullptr ? "" : workspace_->name;
    query.tokens = static_cast<double>(request_tokens());
    std::optional<coordination::server_choice> other;
    auto verdict = state.admission.decide(query, now, [&]() -> std::optional<double> {
        other = choose_other_server();
        return other ? std::optional(load_at(other->server)) : std::nullopt;
    });
    if (verdict.elsewhere)
        choice_ = other;
    believed_room_ = load_at(choice_->server) < 1;
    if (verdict.admitted())
        return true;
    bool by_wait = verdict.reason == coordination::admission_reason::wait;
    services_.measures.count("azureyoke_overload_refusals_total", "reason",
                             by_wait ? "wait" : "demand");
    services_.measures.count("azureyoke_overload_refused_ranks_total", "rank",
                             std::to_string(query.rank));
    last_server_ = choice_->server;
    last_estimate_ms_ = choice_->estimated_first_answer_ms;
    choice_.reset();
    refuse(503,
           by_wait ? "overload: its best servers would answer after the target"
                   : "overload: the servers of pool \"" + pool_ + "\" have no room for rank " +
                         std::to_string(query.rank),
           coordination::to_seconds(verdict.return_after));
    return false;
}

void forward_session::note_first_answer() {
    // A second send follows a failure, which is no sign of load, or a refusal, which was counted.
    if (route_->latency_target_ms <= 0 || sends_ > 1 ||
        !services_.state.overload_control(pool_, services_.loop.now()))
        return;
    auto now = services_.loop.now();
    double waited_ms = coordination::to_seconds(now - exchange_->received()) * 1000;
    // Callers that left before the target tell nothing.
    if (first_answer_seen_ || waited_ms > static_cast<double>(route_->latency_target_ms))
        services_.state.admission.on_first_answer(
            pool_, waited_ms, static_cast<double>(route_->latency_target_ms), now);
}

void forward_session::note_not_run() {
    if (!services_.state.overload_control(pool_, services_.loop.now()))
        return;
    services_.measures.count("azureyoke_not_run_total", "believed",
                             believed_room_ ? "room" : "full");
    services_.state.admission.on_not_run(pool_, services_.loop.now());
}

void forward_session::note_server_load(int requests) {
    const auto* server = services_.state.directory.find(choice_->server);
    if (server != nullptr && server->slots > 0 &&
        services_.state.overload_control(pool_, services_.loop.now()))
        services_.state.admission.on_server_load(pool_, requests, server->slots,
                                                 services_.loop.now());
}

double forward_session::return_after_refusal_s() const {
    if (!services_.state.overload_control(pool_, services_.loop.now()))
        return bounded_retry_after(retry_after_no_server_s);
    // Callers that were refused together would come again together.
    auto wait = coordination::from_seconds(retry_after_no_server_s);
    return bounded_retry_after(
        coordination::to_seconds(coordination::retry_after_delay(wait, query_.number)));
}

} // namespace azureyoke::app
