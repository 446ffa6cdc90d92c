#include "azureyoke/src/app/forward_instance.h"

#include <algorithm>
#include <utility>

#include "azureyoke/src/app/forward_limits.h"
#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/app/machine_memory.h"
#include "azureyoke/src/app/wall_clock.h"

namespace azureyoke::app {

namespace internal {
namespace {

/// Number of requests whose traces are kept for `azureyoke explain`.
constexpr std::size_t max_traces = 2000;
constexpr const char* peers_listener = "peers"; ///< Of instances that hand requests on.
constexpr transport::duration housekeeping_period = std::chrono::milliseconds(100);
/// The policy may be old after neither this instance nor a peer reached the registry for this long.
constexpr transport::duration stale_policy_timeout = std::chrono::milliseconds(1500);

std::uint64_t new_incarnation() {
    return static_cast<std::uint64_t>(wall_clock_ms());
}

} // namespace
} // namespace internal

forward_instance::forward_instance(transport::event_loop& loop, forward_settings settings,
                                   forward_dependencies dependencies)
    : loop_(loop), settings_(std::move(settings)), dependencies_(dependencies),
      descriptors_(divide_descriptors(dependencies_.max_descriptors)),
      incarnation_(internal::new_incarnation()), log_(settings_.instance),
      log_limiter_(static_cast<int>(settings_.log_lines_per_second)),
      history_(internal::max_traces),
      backends_(loop, internal::backend_limits(descriptors_.backends)), state_(settings_),
      speeds_([&loop] { return loop.now(); }, state_, settings_.data_centre, log_),
      peers_(
          loop, settings_, dependencies_.records, log_,
          [this](auto scope) { return report(scope); },
          [this](const auto& it) { on_peer_report(it); },
          [this](std::string_view bytes) {
              return permits_.on_datagram(bytes) || parts_.on_datagram(bytes) ||
                     streams_.on_datagram(bytes);
          }),
      overload_(state_.admission, [&loop] { return loop.now(); }),
      overload_watch_(state_.admission, log_),
      relay_(loop, settings_, dependencies_.registry, peers_, log_),
      policies_(loop, state_, peers_, dependencies_.registry, backends_, log_, log_limiter_,
                metrics_, incarnation_, [this](const auto& it) { on_new_policy(it); }),
      permits_(loop, settings_, state_, peers_, log_, log_limiter_, metrics_),
      parts_(loop, settings_, peers_, log_, log_limiter_, metrics_, paths_),
      streams_(loop, settings_, state_, peers_, dependencies_.registry, dependencies_.records, log_,
               metrics_),
      paths_(loop, settings_, state_, peers_, backends_, dependencies_.dialect, log_, metrics_),
      ramps_(loop, state_, log_, log_limiter_),
      runs_(loop, dependencies_.runs, log_, log_limiter_, metrics_, paths_),
      software_(loop, state_, peers_, dependencies_.statuses, log_, metrics_,
                [this] { return registry_reachable_; }),
      held_bytes_(held_bytes_limit(machine_memory(settings_.memory_mb))),
      request_memory_(held_bytes_), refusals_(loop, log_, log_limiter_, metrics_, held_bytes_),
      services_{settings_, loop_,    backends_,    dependencies_.dialect,
                state_,    log_,     log_limiter_, metrics_,
                history_,  permits_, parts_,       streams_,
                runs_,     paths_,   held_bytes_,  false},
      weights_(loop, settings_, incarnation_, state_, dependencies_.records, dependencies_.orders,
               peers_, log_),
      callers_(
          loop, internal::limits_of(internal::bounded(descriptors_.callers, held_bytes_)),
          [this](const auto& exchange) {
              std::make_shared<forward_session>(services_, exchange)->start();
          },
          refusals_at("callers"), [this](auto what) { on_connection_shortage(what); },
          &request_memory_),
      helped_(
          loop, internal::limits_of(internal::bounded(descriptors_.helped, held_bytes_)),
          [this](const auto& exchange) {
              std::make_shared<forward_session>(services_, exchange, request_origin::instance)
                  ->start();
          },
          refusals_at(internal::peers_listener), nullptr, &request_memory_),
      readiness_(
          loop, internal::page_limits(descriptors_.other_servers),
          [this](const auto& exchange) {
              exchange->reply({ready() ? 200 : 503, {}, ready() ? "ready\n" : "not ready\n"});
          },
          refusals_at("readiness"), nullptr, &request_memory_),
      pages_({settings_, loop_, metrics_, history_, state_, peers_, policies_, permits_, parts_,
              weights_, software_, paths_, [this] { return ready(); }, [this] { return draining_; },
              [this] { return registry_reachable_; }, [this] { return registry_era_; },
              [this] { return operators_.busy_connections(); }}),
      operators_(
          loop, internal::page_limits(descriptors_.other_servers),
          [this](const auto& exchange) {
              exchange->reply(pages_.page(transport::path_of(exchange->request().target)));
          },
          refusals_at("operators"), nullptr, &request_memory_),
      binder_(loop, log_) {
    peers_.add_section(speeds_);
    peers_.add_section(overload_);
    peers_.add_section(ramps_);
    peers_.add_section(software_);
    peers_.add_section(relay_);
}

forward_instance::~forward_instance() = default;

transport::front_server::refusal_renderer forward_instance::refusals_at(const char* listener) {
    return [this, listener = std::string(listener)](transport::front_refusal why) {
        bool may_return = why == transport::front_refusal::no_memory;
        auto fields = dependencies_.dialect.refusal_fields(
            "", may_return ? std::optional(retry_after_no_server_s) : std::nullopt);
        if (listener == internal::peers_listener)
            fields.push_back({refused_help_field, "1"});
        return refusals_.answer(why, listener.c_str(), fields);
    };
}

void forward_instance::on_connection_shortage(transport::connection_shortage what) {
    const char* name = transport::name_of(what);
    metrics_.count("azureyoke_connection_shortages_total", "what", name);
    std::int64_t left_out = 0;
    if (log_limiter_.try_acquire(event_id::connections_short, loop_.now(), left_out))
        log_.warn(event_id::connections_short, {{"what", name},
                                                {"limit", std::to_string(descriptors_.callers)},
                                                {"left_out", std::to_string(left_out)}});
}

void forward_instance::start() {
    // Connections that are idle for a moment count too, so that fewer requests than connections
    // fit.
    services_.max_helped = descriptors_.helped * 3 / 4;
    services_.software = &software_;
    auto listen = [](transport::front_server& server, const transport::address& at) {
        return [&server, at] { return server.listen(at).map([](const auto& /*bound*/) {}); };
    };
    // Callers come last: they must not reach an instance that waits for another address.
    binder_.start({listen(readiness_, settings_.readiness), listen(operators_, settings_.operators),
                   [this] { return peers_.start().map([](const auto& /*bound*/) {}); },
                   listen(helped_, settings_.peers), listen(callers_, settings_.callers)},
                  [this] { on_bound(); });
}

void forward_instance::on_bound() {
    log_.write(event_id::instance_started, {{"incarnation", std::to_string(incarnation_)},
                                            {"data_centre", settings_.data_centre}});
    log_.write(event_id::listening, {{"callers", transport::to_string(settings_.callers)},
                                     {"operators", transport::to_string(settings_.operators)},
                                     {"peers", transport::to_string(settings_.peers)}});
    registry_lost_at_ = loop_.now();
    dependencies_.registry.start(*this);
    weights_.start();
    streams_.start();
    housekeeping_timer_ = loop_.every(internal::housekeeping_period, [this] { housekeeping(); });
}

void forward_instance::on_policy(const policy_copy& copy) {
    policies_.on_registry_policy(copy);
}

void forward_instance::on_new_policy(const policy_copy& copy) {
    const auto& bounds = copy.policy->bounds();
    callers_.set_limits(
        internal::limits_of(bounds, internal::bounded(descriptors_.callers, held_bytes_)));
    helped_.set_limits(
        internal::limits_of(bounds, internal::bounded(descriptors_.helped, held_bytes_)));
    streams_.on_fleet_changed();
    peers_.send_now();
}

void forward_instance::on_desired_weights(const std::string& model, std::int64_t version,
                                          bool time_known) {
    // Weights set at an unknown time may have reached their time limit already. A peer that knows
    // the time corrects this.
    auto limit = std::chrono::milliseconds(settings_.weights_limit_ms);
    update_desired_weights(model, version,
                           loop_.now() - (time_known ? transport::duration(0) : limit), time_known);
}

void forward_instance::update_desired_weights(const std::string& model, std::int64_t version,
                                              transport::instant since, bool time_known) {
    if (!state_.desired_weights[model].record_naming(version, since, time_known))
        return;
    log_.write(event_id::weights_named, {{"model", model}, {"weights", std::to_string(version)}});
}

void forward_instance::on_servers(const std::vector<state::fleet_server>& list) {
    auto before = state_.directory.all();
    state_.directory.replace_all(list, loop_.now());
    ramps_.on_servers(before);
    streams_.on_fleet_changed();
    software_.on_fleet_changed();
}

void forward_instance::on_server(const state::fleet_server& entry) {
    const auto* known = state_.directory.find(entry.id);
    bool is_new = known == nullptr;
    bool restarted = known != nullptr && known->started_ms != entry.started_ms;
    if (restarted) {
        state_.router.reset_server(entry.id); // the server restarted and lost its state
        log_.write(event_id::replica_restarted, {{"backend_server", entry.id}});
    }
    if (entry.leaving && (known == nullptr || !known->leaving))
        log_.write(event_id::replica_draining, {{"backend_server", entry.id}});
    bool is_other_software = known == nullptr || known->software != entry.software;
    if (!state_.directory.put(entry, loop_.now()))
        on_unreadable_row("backend server " + entry.id,
                          "the registration is older than its recorded end");
    else if (is_other_software)
        streams_.on_fleet_changed();
    if (is_new || restarted)
        ramps_.on_server_started(entry.id, restarted);
    software_.on_fleet_changed();
}

void forward_instance::on_server_removed(const std::string& id) {
    log_.write(event_id::replica_removed, {{"backend_server", id}});
    state_.directory.remove(id, loop_.now());
    ramps_.on_server_removed(id);
    streams_.on_fleet_changed();
    software_.on_fleet_changed();
}

void forward_instance::on_rollout_order(const rollout_order_row& order) {
    software_.on_order(order);
}

void forward_instance::on_unreadable_row(const std::string& row, const std::string& why) {
    std::int64_t left_out = 0;
    if (log_limiter_.try_acquire(event_id::platform_row_unreadable, loop_.now(), left_out))
        log_.warn(event_id::platform_row_unreadable,
                  {{"row", row}, {"why", why}, {"left_out", std::to_string(left_out)}});
}

void forward_instance::on_registry_reachable(bool reachable, const std::string& why) {
    software_.on_registry_reachable(reachable);
    if (reachable == registry_reachable_)
        return;
    registry_reachable_ = reachable;
    if (reachable) {
        state_.directory.on_registry_recovered(loop_.now());
        log_.write(event_id::platform_reached, {});
    } else {
        registry_lost_at_ = loop_.now();
        log_.warn(event_id::platform_unreachable, {{"why", why}});
    }
}

void forward_instance::on_registry_era(std::int64_t era) {
    bool returned = std::exchange(registry_era_, era) != 0;
    log_.write(event_id::registry_era,
               {{"era", std::to_string(era)}, {"returned", returned ? "yes" : "no"}});
    weights_.on_registry_era(era);
    streams_.on_registry_era();
    if (!returned)
        return;
    state_.directory.on_registry_restored(loop_.now());
    software_.on_registry_restored();
    peers_.on_registry_era();
    peers_.send_now();
}

peer_report forward_instance::report(peer_directory::report_scope scope) {
    peer_report result;
    result.instance = settings_.instance;
    result.data_centre = settings_.data_centre;
    result.incarnation = incarnation_;
    result.peers = transport::to_string(settings_.peers);
    result.operators = transport::to_string(settings_.operators);
    result.holds_lease = weights_.holds_lease();
    result.reaches_registry = registry_reachable_;
    result.registry_era = dependencies_.registry.era();
    result.policy_version = state_.policy.policy ? state_.policy.policy->version() : 0;
    for (auto& [name, it] : state_.limits) {
        result.spent[name] = it.spent();
        if (scope == peer_directory::report_scope::fleet)
            it.on_reported();
    }
    auto limit = std::chrono::milliseconds(settings_.weights_limit_ms);
    for (const auto& [model, it] : state_.desired_weights) {
        auto ages = it.recent_ages(limit, loop_.now());
        if (!ages.empty())
            result.desired_weights[model] = std::move(ages);
    }
    result.notices = weights_.notices();
    result.work = state_.router.own_work();
    result.placed = state_.router.take_placed();
    result.departures = state_.directory.recent_departures(loop_.now());
    state_.router.on_work_reported();
    return result;
}

void forward_instance::on_peer_report(const peer_report& report) {
    auto now = loop_.now();
    if (report.reaches_registry)
        peer_reached_registry_at_ = now;
    dependencies_.registry.note_era(report.registry_era);
    for (const auto& [name, total] : report.spent) {
        if (auto* limit = state_.find_limit(name))
            limit->on_peer_spent(report.instance, report.incarnation, total, now);
    }
    for (const auto& [model, list] : report.desired_weights) {
        for (const auto& it : list)
            update_desired_weights(model, it.version, now - std::chrono::milliseconds(it.age_ms),
                                   true);
    }
    for (const auto& it : report.notices) {
        if (it.changing) {
            state_.router.on_weights_change_announced(it.server, it.model, it.version, now);
            continue;
        }
        state_.router.on_weights(it.server, it.model, it.version);
        state_.on_weights_change_ended(it.server, now);
    }
    for (const auto& it : report.departures) {
        if (state_.directory.on_departure(it, coordination::departure_source::peer, now)) {
            log_.write(event_id::replica_leaves,
                       {{"backend_server", it.server}, {"said_by", report.instance}});
            software_.on_fleet_changed();
        }
    }
    permits_.on_peer(report.instance, report.incarnation);
    parts_.on_peer(report.instance, report.incarnation);
    if (report.work)
        state_.router.on_peer_work(report.instance, *report.work, now);
    for (const auto& it : report.placed)
        state_.router.on_peer_placed(it, now);
    policies_.on_peer(report.policy_version);
}

// Without admission control, fewer requests were served at peaks with the relay than without it
// (docs/DECISIONS.md), so that it is left to pools that have it.
bool forward_instance::relay_wanted() const {
    const auto& policy = state_.policy.policy;
    return policy != nullptr &&
           std::any_of(policy->pools().begin(), policy->pools().end(), [&](const auto& it) {
               return state_.overload_control(it.name, loop_.now());
           });
}

void forward_instance::housekeeping() {
    auto now = loop_.now();
    auto expired = state_.directory.expire(now);
    for (const auto& id : expired)
        log_.write(event_id::replica_removed, {{"backend_server", id}});
    if (!expired.empty())
        software_.on_fleet_changed();
    auto members = peers_.count(now);
    if (members.all != state_.instances || members.unresponsive != state_.unresponsive_instances)
        state_.set_members(members.all, members.unresponsive, now);
    bool registry_reached_lately =
        registry_reachable_ || now - peer_reached_registry_at_ < internal::stale_policy_timeout;
    state_.policy_may_be_old =
        !registry_reached_lately && now - registry_lost_at_ >= internal::stale_policy_timeout;
    state_.router.expire_peers(now);
    overload_watch_.tick(now);
    relay_.tick(relay_wanted());
    ramps_.tick();
    policies_.tick();
    permits_.tick();
    parts_.tick();
    paths_.tick();
    streams_.tick();
    software_.tick();
    for (auto& [model, it] : state_.desired_weights)
        it.drop_obsolete(std::chrono::milliseconds(settings_.weights_limit_ms), now);
    bool limit_report_due = std::any_of(state_.limits.begin(), state_.limits.end(),
                                        [](const auto& it) { return it.second.report_due(); });
    if (limit_report_due)
        peers_.send_now();
    else if (state_.router.has_unreported_work() || peers_.sections_have_news())
        peers_.send_now(peer_directory::report_scope::data_centre);
}

bool forward_instance::ready() const {
    return state_.policy.policy != nullptr && !state_.directory.empty() && !draining_;
}

void forward_instance::reload(const std::string& text) {
    auto settings = parse_forward_settings(text);
    if (!settings) {
        log_.warn(event_id::settings_refused, {{"why", state::to_string(settings.error())}});
        return;
    }
    bool same = *settings == settings_;
    settings_.drain_limit_ms = settings->drain_limit_ms;
    settings_.weights_limit_ms = settings->weights_limit_ms;
    settings_.seeds = settings->seeds;
    peers_.add_seeds(settings_.seeds);
    state_.set_retry_settings(*settings);
    log_.write(event_id::settings_reloaded, {{"changed", same ? "no" : "yes"}});
}

} // namespace azureyoke::app
