#include "azureyoke/src/app/forward_state.h"

#include "azureyoke/src/app/forward_rules.h"

namespace azureyoke::app {

namespace internal {
namespace {

coordination::fleet_router_settings router_settings_of(const forward_settings& settings) {
    coordination::fleet_router_settings result;
    result.instance = settings.instance;
    result.data_centre = settings.data_centre;
    return result;
}

coordination::fleet_limit_settings limit_settings_of(const forward_settings& settings) {
    coordination::fleet_limit_settings result;
    result.window = coordination::from_seconds(settings.limit_window_s);
    result.reserved_fraction = reserved_limit_fraction;
    return result;
}

coordination::service_retry_settings retry_settings_of(const forward_settings& settings) {
    coordination::service_retry_settings result;
    result.share = settings.retry_share;
    result.reserve = settings.retry_reserve;
    result.window = std::chrono::milliseconds(settings.retry_window_ms);
    return result;
}

/// A pool whose servers told their slowdown counts as one that tells it for this long. Pools with
/// little traffic get a request at least that often, and a rollout of the servers' software is over
/// in minutes.
constexpr transport::duration slowdown_memory = std::chrono::minutes(1);

} // namespace
} // namespace internal

forward_state::forward_state(const forward_settings& settings)
    : directory({}), router(internal::router_settings_of(settings)), server_limits({}),
      all_pools_controlled_(settings.overload_control()), server_pace_(settings.server_pace),
      limit_settings_(internal::limit_settings_of(settings)),
      retry_settings_(internal::retry_settings_of(settings)) {}

void forward_state::on_weights_change_ended(const std::string& server, transport::instant now) {
    const auto* entry = directory.find(server);
    if (router.on_weights_change_ended(server) && entry != nullptr && paced(entry->pool, now))
        router.on_server_started(directory, *entry, coordination::ramp_cause::weights_loaded, now);
}

bool forward_state::set_policy(const policy_copy& copy, transport::instant now) {
    if (policy.policy != nullptr && copy.policy->version() <= policy.policy->version())
        return false;
    policy = copy;
    std::map<std::string, coordination::fleet_limit> kept;
    for (const auto& it : copy.policy->workspaces()) {
        if (it.rate <= 0)
            continue;
        auto found = limits.find(it.name);
        if (found == limits.end()) {
            auto inserted = kept.emplace(
                it.name, coordination::fleet_limit(limit_settings_, it.rate, it.burst, now));
            inserted.first->second.set_members(instances, unresponsive_instances, now);
            continue;
        }
        found->second.set(it.rate, it.burst, now);
        kept.emplace(it.name, std::move(found->second));
    }
    limits = std::move(kept);
    return true;
}

coordination::service_retry_budget& forward_state::retry_budget(const std::string& pool) {
    return retry_budgets_.try_emplace(pool, retry_settings_).first->second;
}

void forward_state::set_retry_settings(const forward_settings& settings) {
    retry_settings_ = internal::retry_settings_of(settings);
    for (auto& [pool, it] : retry_budgets_)
        it.set(retry_settings_);
}

coordination::fleet_limit* forward_state::find_limit(const std::string& workspace) {
    auto found = limits.find(workspace);
    return found == limits.end() ? nullptr : &found->second;
}

void forward_state::set_members(int all, int unresponsive, transport::instant now) {
    instances = all;
    unresponsive_instances = unresponsive;
    for (auto& [name, it] : limits)
        it.set_members(all, unresponsive, now);
}

void forward_state::on_slowdown_told(const std::string& server, transport::instant now) {
    if (const auto* entry = directory.find(server))
        slowdown_told_at_[entry->pool] = now;
}

bool forward_state::overload_control(const std::string& pool, transport::instant now) const {
    return all_pools_controlled_ || tells_slowdown(pool, now);
}

bool forward_state::tells_slowdown(const std::string& pool, transport::instant now) const {
    auto found = slowdown_told_at_.find(pool);
    return found != slowdown_told_at_.end() && now - found->second < internal::slowdown_memory;
}

const coordination::desired_weights*
forward_state::find_desired_weights(const std::string& model) const {
    auto found = desired_weights.find(model);
    return found == desired_weights.end() ? nullptr : &found->second;
}

} // namespace azureyoke::app
