#include "azureyoke/src/app/path_service.h"

#include <algorithm>
#include <utility>

#include "azureyoke/src/state/prefix_hashes.h"

namespace azureyoke::app {

namespace internal {
namespace {

/// The list of peers that may help is made anew after this time.
constexpr transport::duration candidates_period = std::chrono::milliseconds(250);
/// A question for a server's health may wait for a slot there.
constexpr transport::duration probe_timeout = std::chrono::milliseconds(500);
constexpr std::size_t max_health_bytes = std::size_t{64} * 1024;
/// Servers that are tried before the path counts as lost in a check.
constexpr std::size_t max_checked_servers = 4;

std::uint32_t seed_of(const forward_settings& settings) {
    return static_cast<std::uint32_t>(state::rendezvous_score(1, settings.instance));
}

} // namespace
} // namespace internal

path_service::path_service(transport::event_loop& loop, const forward_settings& settings,
                           forward_state& state, const peer_directory& peers,
                           transport::backend_pool& backends, const forward_dialect& dialect,
                           const event_log& log, metrics& measures)
    : loop_(loop), settings_(settings), state_(state), peers_(peers), backends_(backends),
      dialect_(dialect), log_(log), measures_(measures), watch_({}),
      helpers_(internal::seed_of(settings)), random_(internal::seed_of(settings)) {}

void path_service::tick() {
    auto now = loop_.now();
    if (!watch_.probe_due(now))
        return;
    watch_.on_probe(now);
    // Two servers tell a lost path from a server that is down.
    for (const auto& it : targets(watch_.lost() ? 1 : 2, {}))
        probe(it, nullptr);
}

void path_service::on_sent() {
    watch_.set_waiting(++waiting_, loop_.now());
}

void path_service::on_ended() {
    watch_.set_waiting(--waiting_, loop_.now());
}

void path_service::on_heard(bool new_connection) {
    watch_.on_heard(loop_.now());
    if (new_connection)
        on_reached();
}

void path_service::on_reached() {
    auto now = loop_.now();
    auto lost_since = watch_.lost() ? watch_.lost_since() : now;
    if (!watch_.on_reached(now))
        return;
    state_.router.on_path_restored(now);
    log_.write(event_id::servers_reached,
               {{"lost_ms", std::to_string((now - lost_since) / std::chrono::milliseconds(1))},
                {"handed_on", std::to_string(std::exchange(handed_on_, 0))}});
}

void path_service::on_unreachable(const std::string& server) {
    auto now = loop_.now();
    if (watch_.on_unreachable(server, state_.directory.all().size(), now))
        log_.warn(
            event_id::servers_unreachable,
            {{"last", server}, {"open_connections_work", open_connections_work() ? "yes" : "no"}});
}

std::vector<path_service::target> path_service::targets(std::size_t count,
                                                        const std::string& except) {
    std::vector<target> list;
    const auto& servers = state_.directory.all();
    const auto& policy = state_.policy.policy;
    if (servers.empty() || policy == nullptr)
        return list;
    auto it = std::next(servers.begin(), static_cast<std::ptrdiff_t>(random_() % servers.size()));
    for (std::size_t i = 0; i < servers.size() && list.size() < count; ++i) {
        auto address = transport::parse_address(it->second.address);
        const auto* pool = policy->find_pool(it->second.pool);
        if (it->first != except && !it->second.leaving && address && pool != nullptr)
            list.push_back({it->first, *address, pool->health_path});
        if (++it == servers.end())
            it = servers.begin();
    }
    return list;
}

void path_service::probe(const target& to, std::function<void(bool reached)> done) {
    transport::http_request request{
        "GET", to.health_path, {{"Host", transport::to_string(to.address)}}, {}};
    // The address may belong to a server of another service by now, which must not take the probe
    // for its own.
    forward_directive directive;
    directive.server = to.server;
    directive.deadline_ms = internal::probe_timeout / std::chrono::milliseconds(1);
    request.fields = dialect_.request_fields(request, directive);
    transport::fetch(
        loop_, backends_, to.address, request, internal::probe_timeout,
        [this, server = to.server, done = std::move(done)](const auto& answer) {
            on_probed(server, answer.has_value());
            if (done)
                done(answer.has_value());
        },
        internal::max_health_bytes, transport::answer_match::by_connection());
}

void path_service::on_probed(const std::string& server, bool reached) {
    measures_.count("azureyoke_path_probes_total", "result", reached ? "reached" : "failed");
    if (reached)
        on_reached();
    else
        on_unreachable(server);
}

void path_service::check(const std::string& server, std::function<void(bool reached)> done) {
    auto list = targets(internal::max_checked_servers, server);
    if (list.empty())
        done(true); // no other server could tell
    else
        check_next(std::move(list), std::move(done));
}

void path_service::check_next(std::vector<target> list, std::function<void(bool reached)> done) {
    auto next = list.back();
    list.pop_back();
    probe(next, [this, list = std::move(list), done = std::move(done)](bool reached) {
        if (reached || list.empty())
            done(reached);
        else
            check_next(list, done);
    });
}

std::optional<request_helper> path_service::choose_helper() {
    auto now = loop_.now();
    if (now >= next_candidates_) {
        next_candidates_ = now + internal::candidates_period;
        std::vector<coordination::helper_candidate> candidates;
        for (const auto& name : peers_.live(now)) {
            if (name != settings_.instance)
                candidates.push_back({name, peers_.data_centre_of(name) == settings_.data_centre});
        }
        helpers_.set_candidates(std::move(candidates));
    }
    auto chosen = helpers_.choose(now);
    auto address = chosen ? peers_.address_of(*chosen) : std::nullopt;
    return address ? std::optional(request_helper{*chosen, *address}) : std::nullopt;
}

void path_service::on_handed_on(const std::string& helper) {
    ++handed_on_;
    helpers_.on_sent(helper);
    measures_.count("azureyoke_handed_on_total", "helper", helper);
}

void path_service::on_help_refused(const std::string& helper) {
    helpers_.on_refused(helper, loop_.now());
    measures_.count("azureyoke_refused_help_total", "helper", helper);
}

} // namespace azureyoke::app
