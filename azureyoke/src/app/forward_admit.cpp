// Which requests forward_session admits: by route, key and the workspace's limit. The request path
// is in forward_session.cpp.
#include <algorithm>
#include <cmath>

#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/app/forward_session.h"

namespace azureyoke::app {

bool forward_session::admit() {
    if (policy_ == nullptr) {
        refuse(503, "this instance holds no policy yet", retry_after_start_s);
        return false;
    }
    route_ =
        policy_->find_route(request_info_.host, transport::path_of(exchange_->request().target));
    if (route_ == nullptr) {
        if (services_.state.may_lack_entries())
            refuse(503, "no known route matches, and the policy may be old", retry_after_start_s);
        else
            refuse(404, "no route of host \"" + request_info_.host + "\" matches the path");
        return false;
    }
    if (!authenticate())
        return false;
    auto limit_ms = route_->timeout_ms > 0 ? route_->timeout_ms : max_request_ms;
    if (request_info_.deadline_ms)
        limit_ms = std::min(limit_ms, *request_info_.deadline_ms);
    deadline_ = exchange_->received() + std::chrono::milliseconds(limit_ms);
    pool_ = select_pool(*route_, request_info_.request_id);
    query_.pool = pool_;
    const auto* pool = policy_->find_pool(pool_);
    if (pool != nullptr && !pool->models.empty())
        query_.model = request_info_.model; // a pool without models has no weights
    query_.max_connections = pool == nullptr ? 0 : pool->max_connections;
    query_.parts = request_info_.parts;
    guarded_parts_ = guarded_parts(pool_, request_info_.parts);
    guarded_parts_.push_back(
        name_of_request(exchange_->request(), request_info_.host, request_info_.key));
    query_.number = static_cast<std::int64_t>(std::hash<std::string>()(request_info_.request_id));
    return charge_rate_limit();
}

bool forward_session::authenticate() {
    if (route_->allows_no_key)
        return true;
    workspace_ = policy_->find_workspace(request_info_.key);
    if (workspace_ != nullptr)
        return true;
    if (services_.state.may_lack_entries())
        refuse(503, "the key is not known, and the policy may be old", retry_after_start_s);
    else
        refuse(401, "the key belongs to no workspace");
    return false;
}

bool forward_session::charge_rate_limit() {
    auto* limit = workspace_ == nullptr ? nullptr : services_.state.find_limit(workspace_->name);
    if (limit == nullptr || origin_ == request_origin::instance)
        return true;
    auto now = services_.loop.now();
    double cost = 1;
    if (workspace_->limit_in_tokens)
        cost = static_cast<double>(request_info_.tokens.value_or(workspace_->default_tokens));
    auto kind = request_info_.last_event.empty() ? coordination::charge_kind::new_work
                                                 : coordination::charge_kind::begun_work;
    if (limit->try_acquire(cost, now, kind)) {
        charged_ = cost;
        return true;
    }
    auto wait = std::max(limit->seconds_until(cost, now, kind), min_retry_after_s);
    auto text = [](double value) { return std::to_string(std::lround(value)); };
    refuse(429,
           "workspace \"" + workspace_->name + "\" has used its rate and burst: " + text(cost) +
               " asked, " + text(std::max(0.0, limit->available(now, kind))) + " left of " +
               text(limit->burst()) + " at " + text(limit->rate()) + " a second",
           bounded_retry_after(wait));
    return false;
}

} // namespace azureyoke::app
