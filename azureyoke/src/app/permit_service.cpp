#include "azureyoke/src/app/permit_service.h"

#include <algorithm>
#include <utility>

namespace azureyoke::app {

using coordination::server_limits;

namespace internal {
namespace {

/// A reply takes a round trip between data centres; an issuer that takes longer is not used.
constexpr transport::duration reply_timeout = std::chrono::milliseconds(200);
/// Time for which the list of live instances is reused.
constexpr transport::duration live_period = std::chrono::milliseconds(100);
/// Time without requests for permits to an issuer that did not reply.
constexpr transport::duration unanswered_wait = std::chrono::milliseconds(300);
/// A limit that rises by this factor or more is told to the instances that wait for a permit.
constexpr double notable_rise = 1.5;
/// Most limits that a peer is told when it starts; it learns the others from answers.
constexpr std::size_t max_told_limits = 32;

std::int64_t to_us(transport::duration time) {
    return time / std::chrono::microseconds(1);
}

} // namespace
} // namespace internal

permit_service::permit_service(transport::event_loop& loop, const forward_settings& settings,
                               forward_state& state, peer_directory& peers, const event_log& log,
                               log_rate_limiter& log_limiter, metrics& measures)
    : loop_(loop), settings_(settings), state_(state), peers_(peers), log_(log),
      log_limiter_(log_limiter), measures_(measures), issuer_({}) {}

void permit_service::tick() {
    auto now = loop_.now();
    issuer_.drop_unused(now);
    for (const auto& server : state_.server_limits.drop_old(now)) {
        state_.router.on_limit_ended(server);
        log_.write(event_id::replica_limit_ended,
                   {{"backend_server", server}, {"per_second", "any"}, {"said_by", "silence"}});
    }
}

void permit_service::update_live() {
    auto now = loop_.now();
    if (!live_.empty() && now - live_read_at_ < internal::live_period)
        return;
    live_read_at_ = now;
    auto live = peers_.live(now);
    if (live == live_)
        return;
    live_ = std::move(live);
    issuers_.clear();
    live_by_data_centre_.clear();
    for (const auto& name : live_)
        live_by_data_centre_[peers_.data_centre_of(name)].push_back(name);
}

bool permit_service::required(const std::string& server) const {
    return state_.server_limits.limit_of(server).has_value();
}

const std::string& permit_service::issuer_of(const std::string& server) {
    update_live();
    auto [found, is_new] = issuers_.try_emplace(server);
    if (is_new) {
        const auto* entry = state_.directory.find(server);
        auto near = live_by_data_centre_.find(entry == nullptr ? "" : entry->data_centre);
        found->second = coordination::choose_issuer(
            near == live_by_data_centre_.end() ? live_ : near->second, server);
    }
    return found->second;
}

void permit_service::acquire(const std::string& server, handler done) {
    auto issuer = issuer_of(server);
    auto number = next_number_++;
    auto& pending = pending_[number];
    pending.server = server;
    pending.done = std::move(done);
    if (issuer == settings_.instance) {
        auto decision = decide(server, issuer);
        end_request(number, decision.granted, decision.wait);
        return;
    }
    pending.timeout = loop_.after(internal::reply_timeout, [this, number, issuer] {
        measures_.count("azureyoke_permits_total", "result", "unanswered");
        std::int64_t left_out = 0;
        if (log_limiter_.try_acquire(event_id::permit_unanswered, loop_.now(), left_out))
            log_.warn(event_id::permit_unanswered, {{"backend_server", pending_[number].server},
                                                    {"issuer", issuer},
                                                    {"left_out", std::to_string(left_out)}});
        end_request(number, false, internal::unanswered_wait);
    });
    send_request(server, issuer, number);
}

void permit_service::end_request(std::uint64_t number, bool granted, transport::duration wait) {
    auto node = pending_.extract(number);
    if (node.empty())
        return; // it has timed out
    const auto& server = node.mapped().server;
    if (!granted && required(server))
        state_.router.on_limit_reached(server, loop_.now() + wait);
    node.mapped().done(granted);
}

coordination::permit_decision permit_service::decide(const std::string& server,
                                                     const std::string& instance) {
    auto limit = state_.server_limits.limit_of(server);
    coordination::permit_decision decision{true, {}};
    if (limit) {
        double part = static_cast<double>(state_.instances - state_.unresponsive_instances) /
                      std::max(1, state_.instances);
        decision = issuer_.issue(server, instance, *limit, part, loop_.now());
    }
    measures_.count("azureyoke_permits_issued_total", "result",
                    decision.granted ? "granted" : "denied");
    return decision;
}

void permit_service::on_answer(const std::string& server, std::int64_t started_ms,
                               double per_second, transport::instant sent_at) {
    auto& limits = state_.server_limits;
    auto before = limits.limit_of(server);
    auto change = limits.on_answer(server, started_ms, per_second, sent_at, loop_.now());
    on_statement(server, before, change, "answer");
    if (limits.limit_of(server) == before)
        return;
    auto issuer = issuer_of(server);
    if (issuer != settings_.instance)
        send_request(server, issuer, 0);
}

void permit_service::on_peer(const std::string& instance, std::uint64_t incarnation) {
    auto [found, is_new] = incarnations_.try_emplace(instance);
    if (!is_new && found->second >= incarnation)
        return;
    found->second = incarnation;
    std::size_t told = 0;
    for (const auto& [server, statement] : state_.server_limits.statements()) {
        if (!statement.limits() || issuer_of(server) != settings_.instance)
            continue;
        send_request(server, instance, 0);
        if (++told == internal::max_told_limits)
            return;
    }
}

void permit_service::on_statement(const std::string& server, std::optional<double> before,
                                  server_limits::change change, const std::string& said_by) {
    auto limit = state_.server_limits.limit_of(server);
    if (before && (!limit || *limit >= *before * internal::notable_rise))
        invite_waiting(server);
    if (change == server_limits::change::none)
        return;
    if (limit)
        state_.router.on_limit_named(server);
    else
        state_.router.on_limit_ended(server);
    log_.write(limit ? event_id::replica_limits_rate : event_id::replica_limit_ended,
               {{"backend_server", server},
                {"per_second", limit ? std::to_string(*limit) : "any"},
                {"said_by", said_by}});
}

void permit_service::invite_waiting(const std::string& server) {
    for (const auto& instance : issuer_.take_waiting(server, loop_.now())) {
        if (instance == settings_.instance)
            state_.router.on_limit_raised(server);
        else if (auto to = peers_.address_of(instance))
            peers_.send(*to, to_bytes(permit_reply{0, false, 0, report_of(server)}));
    }
}

limit_report permit_service::report_of(const std::string& server) const {
    const auto* known = state_.server_limits.find(server);
    if (known == nullptr)
        return {};
    return {server, known->started_ms, known->per_second,
            internal::to_us(loop_.now() - known->made_at)};
}

void permit_service::merge(const limit_report& report) {
    auto& limits = state_.server_limits;
    auto before = limits.limit_of(report.server);
    auto made_at = loop_.now() - std::chrono::microseconds(report.age_us);
    auto change = limits.merge(report.server, {report.started_ms, report.per_second, made_at});
    on_statement(report.server, before, change, "peer");
}

void permit_service::send_request(const std::string& server, const std::string& issuer,
                                  std::uint64_t number) {
    auto to = peers_.address_of(issuer);
    if (!to)
        return;
    peers_.send(*to,
                to_bytes(permit_request{settings_.instance, transport::to_string(settings_.peers),
                                        number, report_of(server)}));
}

void permit_service::on_request(const permit_request& request) {
    merge(request.limit);
    const auto& server = request.limit.server;
    auto reply_to = transport::parse_address(request.reply_to);
    if (request.number == 0 || !reply_to)
        return;
    // Two instances must not issue permits of one server. An instance that chose another issuer
    // sees different peers for now.
    coordination::permit_decision decision{false, internal::unanswered_wait};
    if (issuer_of(server) == settings_.instance)
        decision = decide(server, request.instance);
    peers_.send(*reply_to,
                to_bytes(permit_reply{request.number, decision.granted,
                                      internal::to_us(decision.wait), report_of(server)}));
}

void permit_service::on_reply(const permit_reply& reply) {
    if (!reply.limit.server.empty())
        merge(reply.limit);
    if (reply.number == 0) {
        state_.router.on_limit_raised(reply.limit.server);
        return;
    }
    measures_.count("azureyoke_permits_total", "result", reply.granted ? "granted" : "denied");
    end_request(reply.number, reply.granted, std::chrono::microseconds(reply.wait_us));
}

bool permit_service::on_datagram(std::string_view bytes) {
    auto message = parse_permit_message(bytes);
    if (!message)
        return false;
    if (const auto* request = std::get_if<permit_request>(&*message))
        on_request(*request);
    else
        on_reply(std::get<permit_reply>(*message));
    return true;
}

coordination::duration permit_service::book_return(const std::string& pool,
                                                   coordination::duration earliest,
                                                   coordination::duration latest) {
    double per_second = 0;
    for (const auto* it : state_.directory.usable(pool))
        per_second += state_.server_limits.limit_of(it->id).value_or(0);
    if (per_second <= 0)
        return earliest;
    per_second /= std::max(1, state_.instances);
    return returns_[pool].book(earliest, per_second, latest, loop_.now());
}

} // namespace azureyoke::app
