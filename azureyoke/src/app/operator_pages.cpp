#include "azureyoke/src/app/operator_pages.h"

#include "azureyoke/src/app/trace_page.h"
#include "azureyoke/src/state/to_json_text.h"

#include <nlohmann/json.hpp>

namespace azureyoke::app {

using nlohmann::json;

namespace internal {
namespace {

json render_members(const peer_mesh& peers) {
    auto list = json::array();
    for (const auto& it : peers.members())
        list.push_back({{"name", it.name},
                        {"data_centre", it.data_centre},
                        {"suspect", it.status == state::member_status::suspect}});
    return list;
}

json render_rollout(const rollout_service& rollout) {
    auto list = json::array();
    for (const auto& it : rollout.items())
        list.push_back({{"backend_server", it.replica},
                        {"weights", it.desired},
                        {"phase", coordination::name_of(it.phase)},
                        {"held_by", it.held_by}});
    return list;
}

} // namespace
} // namespace internal

std::string ramp_gauge(const coordination::replica_tracker& tracker) {
    return "# TYPE azureyoke_ramping_servers gauge\nazureyoke_ramping_servers " +
           std::to_string(tracker.ramp_windows().size()) + "\n";
}

transport::http_response operator_pages::page(std::string_view path) const {
    constexpr std::string_view explain_path = "/explain/";
    if (path == "/healthz")
        return {200, {}, "ok\n"};
    if (path == "/readyz")
        return {sources_.ready() ? 200 : 503, {}, sources_.ready() ? "ready\n" : "not ready\n"};
    if (path == "/metrics")
        return {200,
                {{"Content-Type", "text/plain; version=0.0.4"}},
                sources_.metrics.render() + ramp_gauge(sources_.router.tracker())};
    if (path == "/status")
        return {200, {{"Content-Type", "application/json"}}, status_json()};
    if (!path.starts_with(explain_path))
        return {404, {}, "no such operator path\n"};
    return trace_page(sources_.history, std::string(path.substr(explain_path.size())));
}

std::string operator_pages::status_json() const {
    json body = {{"instance", sources_.self.name},
                 {"data_centre", sources_.self.data_centre},
                 {"incarnation", sources_.self.incarnation},
                 {"ready", sources_.ready()},
                 {"draining", sources_.draining()},
                 {"platform_reachable", sources_.documents.platform_reachable()},
                 {"share_part_millionths", sources_.shares.part()},
                 {"share_lease_valid", sources_.shares.lease_valid()},
                 {"members", internal::render_members(sources_.peers)},
                 {"documents", documents()},
                 {"replicas", replicas()},
                 {"rollout", internal::render_rollout(sources_.rollout)}};
    return state::to_json_text(body) + "\n";
}

json operator_pages::documents() const {
    auto list = json::array();
    for (const auto& it : sources_.configuration.stamps()) {
        json line = {{"name", it.name}, {"version", it.version}, {"digest", it.digest}};
        if (auto ms = sources_.documents.time_to_force_ms(it.name))
            line["time_to_force_ms"] = *ms;
        list.push_back(line);
    }
    return list;
}

json operator_pages::replicas() const {
    auto list = json::array();
    const auto& tracker = sources_.router.tracker();
    auto now = sources_.loop.now();
    for (std::size_t i = 0; i < tracker.size(); ++i) {
        auto replica = static_cast<coordination::replica_number>(i);
        if (!tracker.present(replica))
            continue;
        auto queue =
            std::chrono::duration_cast<std::chrono::milliseconds>(tracker.backlog(replica, now));
        list.push_back({{"name", tracker.info(replica).name},
                        {"leaving", tracker.info(replica).leaving},
                        {"ejected", tracker.ejected(replica, now)},
                        {"beyond_pace", tracker.beyond_pace(replica)},
                        {"in_flight", tracker.in_flight(replica)},
                        {"queue_ms", queue.count()},
                        {"weights", tracker.weights(replica)},
                        {"draining", tracker.draining(replica, now)},
                        {"prompt_tokens_per_second", tracker.speed(replica)}});
    }
    return list;
}

} // namespace azureyoke::app
