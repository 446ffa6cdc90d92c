#include "azureyoke/src/coordination/server_limits.h"

#include <algorithm>
#include <cmath>

namespace azureyoke::coordination {

server_limits::change server_limits::on_answer(const std::string& server, std::int64_t started_ms,
                                               double per_second, instant sent_at, instant now) {
    rate_statement next{started_ms, 0, now};
    if (std::isfinite(per_second))
        next.per_second = std::max(per_second, settings_.min_per_second);
    const auto* known = find(server);
    if (known == nullptr && !next.limits())
        return change::none;
    if (known != nullptr && known->started_ms > started_ms)
        return change::none; // an answer of an earlier run
    bool same_run = known != nullptr && known->started_ms == started_ms;
    bool loosens =
        same_run && known->limits() && (!next.limits() || next.per_second > known->per_second);
    if (loosens && sent_at < known->made_at)
        return change::none;
    return replace(server, next);
}

server_limits::change server_limits::merge(const std::string& server,
                                           const rate_statement& reported) {
    const auto* known = find(server);
    if (known == nullptr && !reported.limits())
        return change::none;
    if (known != nullptr &&
        (reported.started_ms < known->started_ms ||
         (reported.started_ms == known->started_ms && reported.made_at <= known->made_at)))
        return change::none;
    return replace(server, reported);
}

server_limits::change server_limits::replace(const std::string& server,
                                             const rate_statement& next) {
    auto& known = statements_[server];
    bool was_limited = known.limits();
    known = next;
    if (was_limited == next.limits())
        return change::none;
    return next.limits() ? change::named : change::ended;
}

const rate_statement* server_limits::find(const std::string& server) const {
    auto found = statements_.find(server);
    return found == statements_.end() ? nullptr : &found->second;
}

std::optional<double> server_limits::limit_of(const std::string& server) const {
    const auto* known = find(server);
    return known == nullptr || !known->limits() ? std::nullopt : std::optional(known->per_second);
}

std::vector<std::string> server_limits::drop_old(instant now) {
    std::vector<std::string> limited;
    for (auto it = statements_.begin(); it != statements_.end();) {
        if (now - it->second.made_at <= settings_.retention) {
            ++it;
            continue;
        }
        if (it->second.limits())
            limited.push_back(it->first);
        it = statements_.erase(it);
    }
    return limited;
}

} // namespace azureyoke::coordination
