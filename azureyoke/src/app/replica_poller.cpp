#include "azureyoke/src/app/replica_poller.h"

#include <algorithm>

#include "azureyoke/src/protocol/engine_api.h"

namespace azureyoke::app {

namespace internal {
namespace {

/// With more replicas an instance cannot process the cache events of all of them. The router then
/// learns the cache contents from answers and from notices of the peers.
constexpr std::size_t max_event_feeds = 64;
/// Bounds the load reports requested from all replicas together: polling 317 replicas twice a
/// second took 15% of a core.
constexpr double reports_per_second = 50;
/// While the path is lost, a failed poll counts only if no replica answered in this many rounds.
constexpr int answer_rounds = 2;

} // namespace
} // namespace internal

replica_poller::replica_poller(transport::event_loop& loop, transport::http_client& client,
                               coordination::replica_router& router, const event_log& log,
                               transport::duration period)
    : loop_(loop), client_(client), router_(router), log_(log), period_(period),
      ticker_(loop.every(period, [this] { poll(); })) {}

void replica_poller::apply(const state::configuration& config) {
    std::vector<coordination::replica_info> list;
    std::map<std::string, target> targets;
    for (const auto& doc : config.documents()) {
        for (const auto& it : doc->backend_servers) {
            auto at = transport::parse_address(it.address);
            if (it.kind != state::backend_kind::engine || !at)
                continue;
            list.push_back({it.name, it.data_centre, it.models, it.leaving});
            targets[it.name].at = *at;
        }
    }
    router_.set_replicas(list);
    targets_ = std::move(targets);
    poll();
}

void replica_poller::log_ramps() {
    for (const auto& it : router_.take_ramp_changes(loop_.now())) {
        std::vector<log_field> fields = {{"backend_server", it.server},
                                         {"cause", coordination::name_of(it.cause)}};
        if (!it.began) {
            fields.push_back({"why", coordination::name_of(it.end)});
            fields.push_back({"took_ms", std::to_string(it.took / std::chrono::milliseconds(1))});
        }
        log_.write(it.began ? event_id::replica_ramp_began : event_id::replica_ramp_ended, fields);
    }
}

void replica_poller::poll() {
    log_ramps();
    auto max_polled =
        static_cast<std::size_t>(internal::reports_per_second * coordination::to_seconds(period_)) +
        1;
    // In a large fleet each poll covers only some replicas, in rotation, which bounds its cost.
    auto at = targets_.upper_bound(last_polled_);
    for (std::size_t n = 0; n < std::min(max_polled, targets_.size()); ++n) {
        if (at == targets_.end())
            at = targets_.begin();
        auto& [name, it] = *at++;
        last_polled_ = name;
        if (!it.report_pending)
            fetch_report(name, it);
        if (!it.events_pending && targets_.size() <= internal::max_event_feeds)
            fetch_events(name, it);
    }
}

void replica_poller::fetch_events(const std::string& name, target& it) {
    it.events_pending = true;
    auto path = "/events?since=" + std::to_string(it.last_event_number);
    client_.fetch(it.at, {"GET", path, {}, {}}, [this, name](auto answer) {
        auto found = targets_.find(name);
        if (found == targets_.end())
            return;
        found->second.events_pending = false;
        if (answer && answer->status == 200)
            on_events(name, answer->body);
    });
}

void replica_poller::on_events(const std::string& name, const std::string& body) {
    auto page = protocol::parse_engine_events(body);
    auto replica = router_.number_of(name);
    if (!page || !replica)
        return;
    auto& it = targets_[name];
    if (it.events_incarnation != page->incarnation) {
        // Each incarnation numbers its events from the start.
        it.last_event_number = 0;
        it.events_incarnation = page->incarnation;
    }
    for (const auto& event : page->events) {
        coordination::cache_event change{event.number, page->incarnation, {}, {}};
        (event.stored ? change.stored : change.removed).push_back(event.piece);
        router_.on_cache_event(*replica, change, loop_.now());
        it.last_event_number = std::max(it.last_event_number, event.number);
    }
}

void replica_poller::watch_path(const std::string& name, bool answered) {
    auto now = loop_.now();
    if (!answered) {
        // A replica that is down fails in each round, also after the path is back.
        if (path_.lost() && now - answered_at_ <= internal::answer_rounds * period_)
            return;
        if (path_.on_unreachable(name, targets_.size(), now))
            log_.warn(event_id::servers_unreachable, {{"last", name}});
        return;
    }
    answered_at_ = now;
    path_.on_heard(now);
    auto lost_since = path_.lost() ? path_.lost_since() : now;
    if (!path_.on_reached(now))
        return;
    router_.on_path_restored(now);
    log_.write(event_id::servers_reached,
               {{"lost_ms", std::to_string((now - lost_since) / std::chrono::milliseconds(1))}});
}

void replica_poller::fetch_report(const std::string& name, target& it) {
    it.report_pending = true;
    client_.fetch(it.at, {"GET", "/load", {}, {}}, [this, name](auto answer) {
        auto found = targets_.find(name);
        if (found == targets_.end())
            return;
        found->second.report_pending = false;
        watch_path(name, answer.has_value());
        auto report = answer && answer->status == 200 ? protocol::parse_engine_report(answer->body)
                                                      : tl::unexpected(protocol::error{});
        if (!report) {
            if (!found->second.unresponsive)
                log_.warn(event_id::replica_report_missing, {{"backend_server", name}});
            found->second.unresponsive = true;
            return;
        }
        found->second.unresponsive = false;
        auto replica = router_.number_of(name);
        if (!replica)
            return;
        bool restarted = router_.on_report(
            *replica,
            {report->incarnation, report->weights, report->queued_tokens, report->running},
            loop_.now());
        if (restarted)
            log_.write(event_id::replica_restarted, {{"backend_server", name}});
    });
}

} // namespace azureyoke::app
