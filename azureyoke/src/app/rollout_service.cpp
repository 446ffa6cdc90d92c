#include "azureyoke/src/app/rollout_service.h"

#include "azureyoke/src/app/table_write.h"
#include "azureyoke/src/protocol/engine_api.h"

namespace azureyoke::app {

namespace internal {
namespace {

constexpr transport::duration rollout_period = std::chrono::milliseconds(200);
/// Long enough that a drain continues when two successive notices are lost.
constexpr std::int64_t drain_notice_valid_ms = 3500;
constexpr const char* rollout_lease_row = "rollout/turn";

std::string leader_row(const std::string& data_centre) {
    return "rollout/issuer/" + data_centre;
}

std::string desired_weights(const state::document& doc, const state::backend_server& server) {
    for (const auto& it : doc.models) {
        if (!server.models.empty() && it.name == server.models.front())
            return it.weights;
    }
    return {};
}

} // namespace
} // namespace internal

lease_service::lease_service(transport::event_loop& loop, protocol::table_service& table,
                             const event_log& log, const instance_identity& self, std::string row)
    : loop_(loop), table_(table), log_(log), row_(std::move(row)),
      lease_(coordination::lease_settings{}, self.name, self.incarnation) {}

void lease_service::tick(bool wanted) {
    lease_.set_wanted(wanted);
    run_actions(lease_.tick(loop_.now()));
}

void lease_service::run_actions(const std::vector<coordination::lease_action>& actions) {
    for (const auto& it : actions) {
        if (it.step == coordination::lease_step::read_row)
            read(it.number);
        else
            write(it);
    }
}

void lease_service::read(std::uint64_t number) {
    table_.read(row_, [this, number](auto row) {
        auto parsed = row && row->version != 0 ? state::parse_lease_row(row->value)
                                               : std::optional<state::lease_row>(std::in_place);
        if (!parsed)
            log_.warn(event_id::platform_row_unreadable, {{"row", row_}});
        if (!row || !parsed)
            lease_.on_read_failed(number);
        else
            run_actions(lease_.on_row(number, {0, row->version}, *parsed, loop_.now()));
    });
}

void lease_service::write(const coordination::lease_action& action) {
    table_.write(row_, action.expected_version.number, state::to_text(action.row),
                 [this, number = action.number](auto version) {
                     bool was_held = held();
                     lease_.on_write(number, to_write_result(version), {0, version.value_or(0)});
                     if (!was_held && held())
                         log_.write(event_id::lease_taken,
                                    {{"row", row_}, {"fence", std::to_string(fencing_token())}});
                 });
}

rollout_service::rollout_service(transport::event_loop& loop, protocol::table_service& table,
                                 transport::http_client& orders,
                                 const coordination::configuration_manager& configuration,
                                 coordination::replica_router& router, peer_mesh& peers,
                                 audit_service& audit, const event_log& log,
                                 const instance_identity& self)
    : loop_(loop), orders_(orders), configuration_(configuration), router_(router), peers_(peers),
      audit_(audit), log_(log), planner_(coordination::rollout_settings{}, self.data_centre),
      leader_lease_(loop, table, log, self, internal::leader_row(self.data_centre)),
      rollout_lease_(loop, table, log, self, internal::rollout_lease_row),
      ticker_(loop.every(internal::rollout_period, [this] { tick(); })) {}

std::vector<coordination::rollout_replica> rollout_service::replicas() const {
    std::vector<coordination::rollout_replica> found;
    const auto& tracker = router_.tracker();
    auto now = loop_.now();
    for (const auto& doc : configuration_.current_configuration()->documents()) {
        for (const auto& it : doc->backend_servers) {
            auto number = tracker.number_of(it.name);
            if (it.kind != state::backend_kind::engine || !number)
                continue;
            const auto& loaded = tracker.weights(*number);
            bool serving = !it.leaving && !loaded.empty() && !tracker.ejected(*number, now);
            found.push_back({it.name, it.data_centre, it.models,
                             it.leaving ? std::string() : internal::desired_weights(*doc, it),
                             loaded, serving, tracker.idle(*number)});
        }
    }
    return found;
}

void rollout_service::tick() {
    // An instance that is not the candidate only releases a lease that it may still hold.
    std::vector<coordination::rollout_replica> known_replicas;
    if (candidate_)
        known_replicas = replicas();
    bool wanted = candidate_ && planner_.has_work(known_replicas);
    leader_lease_.tick(wanted);
    rollout_lease_.tick(wanted && leader_lease_.held());
    bool may_issue = wanted && leader_lease_.held() && rollout_lease_.held();
    for (const auto& it : planner_.tick(known_replicas, may_issue, loop_.now())) {
        if (it.step == coordination::rollout_step::drain)
            announce_drain(it.replica);
        else
            send_order(it);
    }
}

void rollout_service::announce_drain(const std::string& replica) {
    state::drain_notice notice{replica, internal::drain_notice_valid_ms};
    auto number = router_.number_of(replica);
    if (number && !router_.tracker().draining(*number, loop_.now())) {
        log_.write(event_id::replica_draining, {{"backend_server", replica}});
        audit_.add("replica_draining", replica);
    }
    router_.on_drain_notice(notice, loop_.now());
    peers_.post_to_all(notice);
}

void rollout_service::send_order(const coordination::rollout_action& action) {
    const auto* server =
        configuration_.current_configuration()->find_backend_server(action.replica);
    auto at = transport::parse_address(server == nullptr ? "" : server->address);
    if (!at)
        return;
    auto fencing_token = leader_lease_.fencing_token();
    log_.write(event_id::order_sent, {{"backend_server", action.replica},
                                      {"weights", action.weights},
                                      {"fence", std::to_string(fencing_token)}});
    audit_.add("order_sent", action.replica + " to load weights " + action.weights +
                                 " under fence " + std::to_string(fencing_token));
    orders_.fetch(
        *at, protocol::make_load_order({action.weights, fencing_token}),
        [this, replica = action.replica](auto answer) { on_order_answer(replica, answer); });
}

void rollout_service::on_order_answer(const std::string& replica,
                                      const transport::result<transport::http_response>& answer) {
    bool accepted = answer && answer->status / 100 == 2;
    // Without an answer the order may have been executed, which the next load reports show.
    bool not_executed = answer ? !accepted : !answer.error().may_have_sent_bytes;
    auto reason = answer ? "answered " + std::to_string(answer->status) : answer.error().what;
    if (!accepted) {
        log_.warn(event_id::order_refused, {{"backend_server", replica}, {"why", reason}});
        audit_.add("order_refused", replica + ": " + reason);
    }
    if (not_executed)
        planner_.on_order_refused(replica, loop_.now());
}

} // namespace azureyoke::app
