#include "azureyoke/src/app/forward_pages.h"

#include <cmath>

#include <nlohmann/json.hpp>

#include "azureyoke/src/app/ramp_service.h"
#include "azureyoke/src/app/trace_page.h"
#include "azureyoke/src/state/to_json_text.h"

namespace azureyoke::app {

using nlohmann::ordered_json;
using transport::http_response;

namespace internal {
namespace {

const transport::http_fields json_fields = {{"Content-Type", "application/json"}};

ordered_json limits_of(forward_state& state, transport::instant now) {
    ordered_json list = ordered_json::object();
    for (auto& [name, it] : state.limits) {
        list[name] = {{"rate", it.rate()},
                      {"burst", it.burst()},
                      {"available", it.available(now)},
                      {"usable_part", it.usable_part()},
                      {"spent_here", it.spent()}};
    }
    return list;
}

double rounded(double value) {
    constexpr double steps = 100;
    return std::round(value * steps) / steps;
}

ordered_json servers_of(const forward_state& state, permit_service& permits,
                        transport::instant now) {
    ordered_json list = ordered_json::object();
    auto windows = state.router.ramp_windows();
    for (const auto& [id, it] : state.directory.all()) {
        auto& row = list[id];
        row["pool"] = it.pool;
        row["address"] = it.address;
        row["leaving"] = it.leaving;
        row["in_flight"] = state.router.in_flight(id);
        if (windows.contains(id))
            row["ramp_window"] = windows.at(id);
        if (auto limit = state.server_limits.limit_of(id)) {
            row["requests_per_second"] = *limit;
            row["permit_issuer"] = permits.issuer_of(id);
        }
        if (state.overload_control(it.pool, now)) {
            auto belief = state.router.speeds().belief(it.pool, id, now);
            row["time_ratio"] = rounded(belief.hardware);
            row["slowdown"] = rounded(belief.slowdown);
            row["told_slowdown"] = rounded(belief.told_slowdown);
            row["slowdown_trust"] = rounded(belief.slowdown_trust);
        }
        for (const auto& [model, version] : it.models)
            row["weights"][model] = state.router.weights_of(state.directory, id, model);
    }
    return list;
}

ordered_json rollouts_of(const software_rollout_service& software) {
    ordered_json list = ordered_json::object();
    for (const auto& it : software.views())
        list[it.service] = {{"to", it.to},        {"state", it.state},   {"step", it.phase},
                            {"share", it.share},  {"reason", it.reason}, {"evidence", it.evidence},
                            {"paused", it.paused}};
    return list;
}

ordered_json suspected_parts_of(const coordination::part_suspicions& suspicions,
                                transport::instant now) {
    ordered_json list = ordered_json::object();
    for (const auto& part : suspicions.suspected()) {
        auto known = suspicions.evidence(part);
        auto wait = suspicions.next_trial(part, now) - now;
        list[part] = {{"crashes", known.crashes.size()},
                      {"failed_trials", known.failed_trials},
                      {"next_trial_ms", wait / std::chrono::milliseconds(1)}};
    }
    return list;
}

ordered_json overload_of(const coordination::admission_control& admission, transport::instant now) {
    ordered_json list = ordered_json::object();
    for (const auto& [pool, refused] : admission.refusals())
        list[pool] = {{"occupancy", admission.occupancy(pool)},
                      {"usual_occupancy", admission.usual_occupancy(pool)},
                      {"admitted", admission.admitted_of_all(pool, now)},
                      {"refused", refused}};
    return list;
}

} // namespace
} // namespace internal

std::string render_page(const ordered_json& page) {
    return state::to_json_text(page) + "\n";
}

http_response forward_pages::page(std::string_view path) const {
    constexpr std::string_view explain_path = "/explain/";
    if (auto page = sources_.policies.page(path, sources_.open_answers()))
        return std::move(*page);
    if (path == "/metrics")
        return {200,
                {{"Content-Type", "text/plain; version=0.0.4"}},
                sources_.metrics.render() + ramp_gauge(sources_.state)};
    if (path == "/status")
        return {200, internal::json_fields, status()};
    if (path.starts_with(explain_path))
        return trace_page(sources_.history, std::string(path.substr(explain_path.size())));
    return {404, {}, "no page has this path\n"};
}

std::string forward_pages::status() const {
    auto now = sources_.loop.now();
    auto& state = sources_.state;
    ordered_json page;
    page["instance"] = sources_.settings.instance;
    page["data_centre"] = sources_.settings.data_centre;
    page["ready"] = sources_.ready();
    page["draining"] = sources_.draining();
    page["policy"] = state.policy.policy ? state.policy.policy->version() : 0;
    page["policy_may_be_old"] = state.policy_may_be_old;
    page["newer_policy_exists"] = state.newer_policy_exists;
    page["registry_reachable"] = sources_.registry_reachable();
    page["registry_era"] = sources_.registry_era();
    page["reaches_servers"] = !sources_.paths.lost();
    page["instances"] = sources_.peers.live(now);
    page["holds_weights_lease"] = sources_.weights.holds_lease();
    auto holder = sources_.peers.lease_holder(now);
    if (sources_.weights.holds_lease())
        holder = sources_.settings.instance;
    page["gives_orders"] = holder ? ordered_json(*holder) : ordered_json();
    page["weights"] = ordered_json::object();
    for (const auto& [model, it] : state.desired_weights)
        page["weights"][model] = it.newest();
    page["backend_servers"] = internal::servers_of(state, sources_.permits, now);
    page["suspected_parts"] = internal::suspected_parts_of(sources_.parts.suspicions(), now);
    page["overload"] = internal::overload_of(state.admission, now);
    page["rollouts"] = internal::rollouts_of(sources_.software);
    page["limits"] = internal::limits_of(state, now);
    return render_page(page);
}

} // namespace azureyoke::app
