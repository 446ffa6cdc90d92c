#include "azureyoke/src/app/software_rollout_service.h"

#include <algorithm>
#include <cmath>

#include "azureyoke/src/coordination/member_unresponsive_timeout.h"

namespace azureyoke::app {

using coordination::rollout_state;

namespace internal {
namespace {

/// Streams of a reverted version may be taken up at its servers for this long; then these leave.
constexpr transport::duration take_up_time = std::chrono::seconds(3);
/// An instance that has followed the registry for this long knows when an order is written that it
/// finds in the whole table.
constexpr transport::duration following_time = std::chrono::seconds(5);

/// Services whose refused order is remembered, so that it is logged once.
constexpr std::size_t most_refused = 1000;

/// Rank of an instance that does not reach the registry.
constexpr std::ptrdiff_t out_of_reach = 1'000'000;

std::string text_of(double value) {
    constexpr double hundredth = 100;
    auto text = std::to_string(std::round(value * hundredth) / hundredth);
    constexpr std::size_t decimals = 3;
    return text.substr(0, text.find('.') + decimals);
}

const char* name_of_phase(coordination::software_rollout::phase phase) {
    using phases = coordination::software_rollout::phase;
    switch (phase) {
    case phases::waiting:
        return "waiting";
    case phases::canary:
        return "canary";
    case phases::load_step:
        return "load_step";
    case phases::review:
        return "review";
    case phases::switched:
        return "switched";
    case phases::ended:
        break;
    }
    return "ended";
}

/// \returns a number from 0 to 1 that is the same for all attempts of a request.
double position_of(std::int64_t number) {
    constexpr std::uint64_t mixer = 0x9e3779b97f4a7c15;
    constexpr double range = 1 << 30;
    constexpr int shift = 34;
    return static_cast<double>((static_cast<std::uint64_t>(number) * mixer) >> shift) / range;
}

} // namespace
} // namespace internal

software_rollout_service::software_rollout_service(
    transport::event_loop& loop, forward_state& state, const peer_directory& peers,
    rollout_status_store& statuses, const event_log& log, metrics& measures,
    std::function<bool()> registry_reachable, transport::duration retention)
    : loop_(loop), state_(state), peers_(peers), log_(log), measures_(measures),
      registry_reachable_(std::move(registry_reachable)), retention_(retention),
      writer_(loop, statuses, log, [this](const auto& service, const auto& found) {
          auto known = rollouts_.find(service);
          if (known != rollouts_.end())
              known->second.decided.overrule(found.state, "the registry's row");
      }) {}

bool software_rollout_service::is_new_order(const rollout& known,
                                            const rollout_order_row& order) const {
    const auto& current = known.decided.order();
    bool same = current.to == order.to && current.length == order.length;
    if (order.version.era != known.version.era) {
        // An older copy of the registry may have this order or an earlier one.
        return order.just_written || (!same && order.version.number > known.version.number);
    }
    return order.version > known.version;
}

void software_rollout_service::on_order(const rollout_order_row& order) {
    auto refuse = [&](const std::string& why) {
        auto logged = refused_.find(order.service);
        if (logged != refused_.end() && logged->second == order.version)
            return; // the row was read again
        if (logged == refused_.end() && refused_.size() >= internal::most_refused)
            refused_.erase(refused_.begin());
        refused_.insert_or_assign(order.service, order.version);
        log_.warn(event_id::rollout_order_refused,
                  {{"service", order.service}, {"software", order.to}, {"why", why}});
    };
    const auto& policy = state_.policy.policy;
    bool known_pool = policy == nullptr || policy->find_pool(order.service) != nullptr ||
                      !state_.directory.usable(order.service).empty();
    if (!known_pool)
        return refuse("the service is not known");
    if (order.to.empty() || order.length <= coordination::duration())
        return refuse("the order names no version or no time");
    auto found = rollouts_.find(order.service);
    if (found != rollouts_.end() && !is_new_order(found->second, order))
        return;
    auto now = loop_.now();
    // The first changes after a failure may have been written at any time during it.
    auto needed = order.just_written ? order_spread : internal::following_time;
    bool begin_known = followed_since_ && now - *followed_since_ >= needed;
    rollout made{order.version,
                 coordination::software_rollout({order.service, order.to, now, order.length}),
                 begin_known,
                 false,
                 {},
                 {},
                 {},
                 {},
                 nullptr,
                 nullptr,
                 {},
                 {}};
    rollouts_.insert_or_assign(order.service, std::move(made));
    writer_.want(order.service, order.to, rollout_state::in_progress, !begin_known, order.version);
    update_servers(order.service, rollouts_.at(order.service));
    log_.write(event_id::rollout_ordered,
               {{"service", order.service},
                {"software", order.to},
                {"seconds", internal::text_of(coordination::to_seconds(order.length))},
                {"time_known", begin_known ? "yes" : "no"}});
}

void software_rollout_service::on_registry_reachable(bool reachable) {
    if (!reachable)
        followed_since_.reset();
    else if (!followed_since_)
        followed_since_ = loop_.now();
}

void software_rollout_service::on_registry_restored() {
    writer_.forget();
}

bool software_rollout_service::isolated() const {
    auto members = peers_.count(loop_.now());
    auto others = members.all - 1;
    bool hears_few = (others - members.unresponsive) * 2 < others;
    return hears_few || !registry_reachable_();
}

coordination::software_evidence software_rollout_service::merged(const rollout& it) const {
    auto sum = it.own;
    const auto& service = it.decided.order().service;
    count_running(service, sum);
    for (const auto& [run, peer] : it.peers) {
        auto seen = peer.evidence;
        if (loop_.now() - peer.received_at > coordination::member_unresponsive_timeout)
            seen.old_side.running = seen.new_side.running = 0;
        sum += seen;
    }
    return sum;
}

bool software_rollout_service::canary_unavailable(const rollout& it) const {
    return std::any_of(it.canaries.begin(), it.canaries.end(), [&](const auto& id) {
        return state_.router.unavailable(state_.directory, id, loop_.now());
    });
}

void software_rollout_service::refresh_servers(const std::string& service, rollout& it) {
    bool other_limit = it.decided.current(loop_.now()).servers != it.server_limit;
    if (it.servers_changed || other_limit || it.passed_over || canary_unavailable(it))
        update_servers(service, it);
}

void software_rollout_service::update_servers(const std::string& service, rollout& it) {
    auto without_old = std::make_shared<std::set<std::string>>();
    auto without_new = std::make_shared<std::set<std::string>>();
    auto now = loop_.now();
    auto most = it.decided.current(now).servers;
    it.usable = {};
    it.canaries.clear();
    it.passed_over = false;
    it.servers_changed = false;
    it.server_limit = most;
    for (const auto& [id, server] : state_.directory.all()) {
        if (server.pool != service)
            continue;
        first_seen_.try_emplace({id, server.started_ms}, now);
        bool is_old = server.software != it.decided.order().to;
        if (!server.leaving)
            ++(is_old ? it.usable.old_side : it.usable.new_side);
        if (is_old) {
            without_old->insert(id);
            continue;
        }
        without_new->insert(id);
        bool has_room = most == 0 || static_cast<int>(it.canaries.size()) < most;
        bool unavailable = most > 0 && state_.router.unavailable(state_.directory, id, now);
        it.passed_over = it.passed_over || (unavailable && has_room && !server.leaving);
        if (server.leaving || unavailable || !has_room)
            without_old->insert(id);
        else if (most > 0)
            it.canaries.push_back(id);
    }
    it.without_old = std::move(without_old);
    it.without_new = std::move(without_new);
}

void software_rollout_service::on_fleet_changed() {
    for (auto& [service, it] : rollouts_)
        it.servers_changed = true;
    std::erase_if(first_seen_, [&](const auto& entry) {
        return state_.directory.find(entry.first.first) == nullptr;
    });
}

void software_rollout_service::tick() {
    if (rollouts_.empty())
        return;
    judge_waiting();
    for (auto& [service, it] : rollouts_) {
        refresh_servers(service, it);
        if (is_over(it))
            it.peers.clear();
        else
            update(service, it);
    }
    writer_.tick(registry_reachable_() ? peers_.rank(loop_.now()) : internal::out_of_reach);
}

void software_rollout_service::update(const std::string& service, rollout& it) {
    auto now = loop_.now();
    bool unsure = !it.begin_known && !writer_.is_known(service);
    bool paused = it.decided.state() == rollout_state::in_progress && (isolated() || unsure);
    if (paused != it.paused) {
        it.paused = paused;
        log_.write(paused ? event_id::rollout_paused : event_id::rollout_resumed,
                   {{"service", service}, {"software", it.decided.order().to}});
    }
    it.decided.update(merged(it), it.usable, paused, now);
    if (it.decided.state() != rollout_state::in_progress && !it.ended_at) {
        it.ended_at = now;
        has_news_ = true;
    }
    log_changes(service, it);
    refresh_servers(service, it);
    writer_.want(service, it.decided.order().to, it.decided.state(), !it.begin_known, it.version);
}

void software_rollout_service::log_changes(const std::string& service, rollout& it) {
    auto phase = it.decided.current_phase();
    if (phase == it.logged_phase)
        return;
    it.logged_phase = phase;
    auto sum = merged(it);
    auto before = coordination::total_of(sum.old_side);
    auto after = coordination::total_of(sum.new_side);
    std::vector<log_field> fields = {
        {"service", service},
        {"software", it.decided.order().to},
        {"step", internal::name_of_phase(phase)},
        {"share", internal::text_of(it.decided.current(loop_.now()).share)},
        {"reason", it.decided.reason()},
        {"evidence", internal::text_of(it.decided.evidence())},
        {"suspicion", it.decided.suspicion()},
        {"new_sent", std::to_string(after.sent)},
        {"new_failed", std::to_string(after.failed)},
        {"new_rejected", std::to_string(after.rejected)},
        {"new_slow", std::to_string(after.slow)},
        {"old_sent", std::to_string(before.sent)},
        {"old_failed", std::to_string(before.failed)},
        {"old_rejected", std::to_string(before.rejected)},
        {"old_slow", std::to_string(before.slow)}};
    switch (it.decided.state()) {
    case rollout_state::completed:
        log_.write(event_id::rollout_completed, fields);
        break;
    case rollout_state::reverted:
        log_.warn(event_id::rollout_reverted, fields);
        break;
    case rollout_state::in_progress:
        log_.write(event_id::rollout_step, fields);
        break;
    }
}

void software_rollout_service::leave_out(const std::string& route, bool repeat,
                                         coordination::placement_query& query) {
    query.left_out = nullptr;
    auto found = rollouts_.find(query.pool);
    if (found == rollouts_.end())
        return;
    auto& it = found->second;
    refresh_servers(query.pool, it);
    auto now = loop_.now();
    auto current = it.decided.current(now);
    if (!query.software.empty()) { // a stream goes on at the version that began it
        bool over = it.decided.state() == rollout_state::reverted && it.ended_at &&
                    now - *it.ended_at > internal::take_up_time;
        query.left_out = over ? it.without_new : nullptr;
        return;
    }
    bool to_new = current.whole;
    if (!to_new && !it.paused && !repeat)
        to_new = internal::position_of(query.number) < it.decided.share_of(route, now);
    if (it.paused)
        to_new = false;
    query.left_out = to_new ? it.without_old : it.without_new;
}

bool software_rollout_service::allow_others(coordination::placement_query& query) {
    auto found = rollouts_.find(query.pool);
    if (found == rollouts_.end() || query.left_out == nullptr)
        return false;
    const auto& it = found->second;
    if (it.decided.state() == rollout_state::reverted)
        return false;
    if (query.left_out == it.without_old) {
        query.left_out = it.without_new;
        return true;
    }
    // Without any old server the new ones are better than none.
    if (it.usable.old_side > 0 || !query.software.empty())
        return false;
    query.left_out = nullptr;
    return true;
}

std::vector<software_rollout_service::view> software_rollout_service::views() const {
    std::vector<view> list;
    for (const auto& [service, it] : rollouts_) {
        const auto& decided = it.decided;
        bool open = decided.state() == rollout_state::in_progress;
        list.push_back({service, decided.order().to, name_of(decided.state()),
                        internal::name_of_phase(decided.current_phase()),
                        open ? decided.suspicion() : decided.reason(),
                        it.paused ? 0 : decided.current(loop_.now()).share, decided.evidence(),
                        it.paused});
    }
    return list;
}

} // namespace azureyoke::app
