#include "azureyoke/src/app/instance.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "azureyoke/src/app/completion_session.h"
#include "azureyoke/src/app/instance_limits.h"
#include "azureyoke/src/app/machine_memory.h"
#include "azureyoke/src/app/plain_session.h"
#include "azureyoke/src/state/to_json_text.h"

namespace azureyoke::app {

namespace internal {
namespace {

constexpr std::size_t max_traces = 4096;
constexpr int log_lines_per_second = 10; ///< Of one event that comes with each connection.
constexpr transport::duration drain_check_period = std::chrono::milliseconds(20);
constexpr transport::duration gossip_period = std::chrono::seconds(2);
/// One gossip round in this many goes to a peer in another data centre.
constexpr int gossip_rounds_per_remote = 3;
constexpr int polls_per_list_read_by_others = 10;
constexpr std::size_t local_gossip_peers = 3;
constexpr std::size_t remote_gossip_peers = 2;
/// An instance without a part of the limits reports ready after this time, although it can only
/// borrow tokens from its peers.
constexpr transport::duration max_wait_for_part = std::chrono::seconds(5);
/// An instance missing from the platform's list this long has ended: the list lags by less.
constexpr transport::duration departed_after = std::chrono::minutes(2);
/// Limits the wait at shutdown for the platform to store the returned share and audit entries.
constexpr std::int64_t max_leave_ms = 4000;
constexpr std::int64_t microseconds_per_millisecond = 1000;
constexpr double milliseconds_per_second = 1000;

std::uint64_t new_incarnation() {
    auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

coordination::router_settings router_settings_of(const instance_settings& settings,
                                                 std::uint64_t incarnation) {
    coordination::router_settings result;
    // The low bits of the start time in microseconds make call numbers of two instances distinct.
    result.first_call = incarnation << 24U;
    result.index_entries = static_cast<std::size_t>(settings.index_entries);
    result.piece_tokens = settings.piece_bytes / protocol::bytes_per_token;
    result.first_token.data_centre = settings.data_centre;
    return result;
}

transport::http_response json_response(int status, const nlohmann::json& body) {
    return {status, {{"Content-Type", "application/json"}}, state::to_json_text(body) + "\n"};
}

} // namespace
} // namespace internal

instance::instance(transport::event_loop& loop, instance_settings settings,
                   std::size_t max_descriptors)
    : loop_(loop), settings_(std::move(settings)), self_{settings_.instance, settings_.data_centre,
                                                         internal::new_incarnation()},
      log_(settings_.instance), log_limiter_(internal::log_lines_per_second),
      history_(internal::max_traces), client_(loop, internal::client_limits(settings_)),
      platform_client_(loop, internal::platform_limits()),
      platform_(platform_client_, settings_.platform), audit_(loop, platform_, log_, self_),
      router_(internal::router_settings_of(settings_, self_.incarnation)),
      retries_(coordination::retry_settings{}), peers_(loop, log_, settings_.fleet, self_),
      shares_(loop, platform_, peers_, log_, self_),
      queue_(loop, router_), services_{settings_,
                                       loop_,
                                       client_,
                                       platform_,
                                       configuration_,
                                       router_,
                                       retries_,
                                       shares_,
                                       queue_,
                                       log_,
                                       metrics_,
                                       history_,
                                       [this] {
                                           return "r-" + std::to_string(self_.incarnation) + "-" +
                                                  std::to_string(++next_id_);
                                       },
                                       [this] { send_notices(); }},
      documents_(
          loop, platform_, configuration_, log_,
          std::chrono::milliseconds(settings_.platform_poll_ms),
          [this](const auto& before, const auto& after) { on_configuration(before, after); }),
      poller_(loop, client_, router_, log_, std::chrono::milliseconds(settings_.report_poll_ms)),
      rollout_(loop, platform_, platform_client_, configuration_, router_, peers_, audit_, log_,
               self_),
      snapshots_(loop, platform_, router_, log_, self_,
                 std::chrono::milliseconds(settings_.memory_period_ms)),
      held_bytes_(held_bytes_limit(machine_memory(settings_.memory_mb))),
      request_memory_(held_bytes_), refusals_(loop, log_, log_limiter_, metrics_, held_bytes_),
      callers_(
          loop, internal::server_limits(settings_, max_descriptors),
          [this](const auto& exchange) { on_caller_request(exchange); },
          [this](auto why) {
              (void)refusals_.answer(why, "callers", {});
              return protocol::render(protocol::to_caller_error(why), services_.make_id());
          },
          [this](auto what) {
              metrics_.count("azureyoke_connection_shortages_total", "what",
                             transport::name_of(what));
              std::int64_t left_out = 0;
              if (log_limiter_.try_acquire(event_id::connections_short, loop_.now(), left_out))
                  log_.warn(event_id::connections_short, {{"what", transport::name_of(what)},
                                                          {"left_out", std::to_string(left_out)}});
          },
          &request_memory_),
      operators_(
          loop, internal::page_limits(),
          [this](const auto& exchange) { on_operator_request(exchange); },
          [this](auto why) { return refusals_.answer(why, "operators", {}); }, nullptr,
          &request_memory_),
      pages_({self_, loop, metrics_, history_, configuration_, documents_, router_, peers_, shares_,
              rollout_, [this] { return ready(); }, [this] { return draining_; }}),
      stalls_(loop, log_), binder_(loop, log_) {}

instance::~instance() = default;

void instance::start() {
    start_time_ = loop_.now();
    auto keep = [](transport::address& bound) {
        return [&bound](const transport::address& at) { bound = at; };
    };
    // Callers come last: they must not reach an instance that waits for another address.
    binder_.start(
        {[this, keep] {
             return operators_.listen(settings_.operators).map(keep(operators_address_));
         },
         [this, keep] { return peers_.listen(settings_.peers, *this).map(keep(peers_address_)); },
         [this, keep] { return callers_.listen(settings_.callers).map(keep(callers_address_)); }},
        [this] { on_bound(); });
}

void instance::on_bound() {
    log_.write(event_id::instance_started, {{"incarnation", std::to_string(self_.incarnation)},
                                            {"data_centre", self_.data_centre}});
    audit_.add("instance_started", "incarnation " + std::to_string(self_.incarnation));
    log_.write(event_id::listening, {{"callers", transport::to_string(callers_address_)},
                                     {"operators", transport::to_string(operators_address_)},
                                     {"peers", transport::to_string(peers_address_)}});
    documents_.start();
    assign_data_centre_duties(documents_.is_reader());
    snapshots_.start();
    list_timer_ = loop_.every(std::chrono::milliseconds(settings_.platform_poll_ms),
                              [this] { read_instance_list(); });
    read_instance_list();
    gossip_timer_ = loop_.every(internal::gossip_period, [this] { gossip(); });
}

void instance::read_instance_list() {
    // As with documents, one instance of the data centre reads the list at every period and the
    // others at a tenth of that rate. An instance without peers reads it every time.
    bool due = documents_.is_reader() || peers_.members().empty() ||
               ++skipped_list_reads_ >= internal::polls_per_list_read_by_others;
    if (!due)
        return;
    skipped_list_reads_ = 0;
    platform_.fetch([this](auto list) {
        if (!list)
            return;
        auto now = loop_.now();
        for (const auto& it : *list) {
            last_listed_times_[it.name] = now;
            if (!it.leaving)
                peers_.seed(
                    {it.name, it.data_centre, it.peer_address, 0, state::member_status::alive});
        }
        std::set<std::string> departed;
        for (const auto& [name, listed_at] : last_listed_times_) {
            if (now - listed_at >= internal::departed_after)
                departed.insert(name);
        }
        shares_.set_ended(std::move(departed));
    });
}

// One instance per data centre reads documents, sends rollout orders and saves router snapshots.
void instance::assign_data_centre_duties(bool assigned) {
    documents_.set_reader(assigned);
    rollout_.set_candidate(assigned && !draining_);
    snapshots_.set_writer(assigned);
}

void instance::on_members() {
    std::vector<coordination::share_peer> peers;
    std::vector<std::string> local_names = {self_.name};
    for (const auto& it : peers_.members()) {
        bool same_data_centre = it.data_centre == self_.data_centre;
        peers.push_back({it.name, same_data_centre});
        if (same_data_centre)
            local_names.push_back(it.name);
    }
    shares_.set_peers(peers);
    if (documents_.is_reader())
        audit_.add("members_changed", std::to_string(peers.size() + 1) + " instances are live");
    assign_data_centre_duties(coordination::select_platform_reader(local_names, 0) == self_.name);
    // A peer with newer documents answers with its stamps, so a new instance gets the documents
    // from its peers.
    if (!configuration_.has_documents())
        peers_.post_to_random(internal::local_gossip_peers, internal::remote_gossip_peers,
                              protocol::document_stamps{});
}

// Sends all stamps to one peer in each round. A change is announced when it arrives; gossip repairs
// announcements that were lost.
void instance::gossip() {
    bool local = ++gossip_rounds_ % internal::gossip_rounds_per_remote != 0;
    peers_.post_to_random(local ? 1 : 0, local ? 0 : 1,
                          protocol::document_stamps{configuration_.stamps()});
}

void instance::announce_version(const state::document_stamp& stamp) {
    peers_.post_to_random(internal::local_gossip_peers, internal::remote_gossip_peers,
                          protocol::document_stamps{{stamp}});
}

void instance::on_document_stamps(const std::string& from,
                                  const std::vector<state::document_stamp>& stamps) {
    for (const auto& name : configuration_.names_behind(stamps))
        peers_.post(from, protocol::document_request{name});
    // A message with one stamp announces one version; it does not list all documents of the sender.
    auto newer = configuration_.stamps_ahead(stamps);
    if (stamps.size() != 1 && !newer.empty())
        peers_.post(from, protocol::document_stamps{std::move(newer)});
}

void instance::on_document_requested(const std::string& from, const std::string& name) {
    if (const auto* copy = configuration_.find_copy(name))
        peers_.post(from, *copy);
}

void instance::on_document(const std::string& from, const state::document_copy& copy) {
    documents_.offer_document(copy, "peer " + from);
}

void instance::on_share_message(const std::string& from,
                                const coordination::share_payload& payload) {
    shares_.receive(from, payload);
}

bool instance::on_lease_renewal_request(const std::string& from, std::uint64_t incarnation) {
    return shares_.renew_lease_of(from, incarnation);
}

void instance::on_drain_notice(const state::drain_notice& notice) {
    router_.on_drain_notice(notice, loop_.now());
}

void instance::on_dispatch_notice(const state::dispatch_notice& notice) {
    router_.on_peer_notice(notice, loop_.now());
}

void instance::send_notices() {
    auto notices = router_.take_notices();
    if (notices.empty())
        return;
    auto members = peers_.members();
    for (const auto& it : notices) {
        if (!notice_rate_limiter_.try_acquire(it, members.size(), loop_.now()))
            continue;
        for (const auto& member : members)
            peers_.post(member.name, it);
    }
}

void instance::on_configuration(const std::shared_ptr<const state::document>& before,
                                const std::shared_ptr<const state::document>& after) {
    // One instance of each data centre writes the changes to the audit trail for all of them.
    if (documents_.is_reader()) {
        for (const auto& it : coordination::describe_changes(before.get(), *after))
            audit_.add(it);
    }
    if (auto ms = documents_.time_to_force_ms(after->name))
        metrics_.observe(measure::time_to_force, "document", after->name,
                         static_cast<double>(*ms) / internal::milliseconds_per_second);
    auto config = configuration_.current_configuration();
    shares_.apply(*config);
    poller_.apply(*config);
    snapshots_.on_replicas();
    if (const auto* copy = configuration_.find_copy(after->name))
        announce_version(copy->stamp);
}

bool instance::ready() const {
    // A new instance without a part of the limits could only borrow, so it waits for a part while
    // the platform is reachable.
    bool has_part = shares_.part() > 0 || !documents_.platform_reachable() ||
                    loop_.now() - start_time_ >= internal::max_wait_for_part;
    return configuration_.has_documents() && !draining_ && has_part;
}

void instance::on_caller_request(const std::shared_ptr<transport::front_exchange>& exchange) {
    if (auto ec = protocol::check_framing(exchange->request())) {
        request_scope(services_, exchange).refuse(*ec);
        return;
    }
    route_caller_request(exchange);
}

void instance::route_caller_request(const std::shared_ptr<transport::front_exchange>& exchange) {
    auto path = transport::path_of(exchange->request().target);
    bool chat = path == "/v1/chat/completions";
    if (chat || path == "/v1/completions") {
        if (exchange->request().method != "POST") {
            request_scope(services_, exchange)
                .refuse({protocol::caller_code::method_not_allowed,
                         "completions are requested by POST",
                         protocol::run_state::not_run,
                         {}});
            return;
        }
        auto kind = chat ? protocol::completion_kind::chat : protocol::completion_kind::text;
        std::make_shared<completion_session>(services_, exchange, kind)->start();
        return;
    }
    if (path == "/v1/models") {
        answer_models(exchange);
        return;
    }
    std::make_shared<plain_session>(services_, exchange)->start();
}

void instance::answer_models(const std::shared_ptr<transport::front_exchange>& exchange) {
    request_scope scope(services_, exchange);
    auto key = protocol::extract_key(exchange->request());
    if (!key) {
        scope.refuse(key.error());
        return;
    }
    auto space = authenticate(*configuration_.current_configuration(), *key);
    if (!space) {
        scope.refuse(space.error());
        return;
    }
    scope.set_workspace(space->workspace->name);
    auto data = nlohmann::json::array();
    for (const auto& it : space->workspace->models)
        data.push_back({{"id", it}, {"object", "model"}, {"owned_by", space->doc->name}});
    exchange->reply(internal::json_response(200, {{"object", "list"}, {"data", data}}));
    scope.close(event_id::request_finished, "models listed");
}

void instance::on_operator_request(const std::shared_ptr<transport::front_exchange>& exchange) {
    exchange->reply(pages_.page(transport::path_of(exchange->request().target)));
}

void instance::drain() {
    if (draining_)
        return;
    draining_ = true;
    drain_start_ = loop_.now();
    log_.write(event_id::instance_stopping, {});
    if (!binder_.bound()) { // nothing is open, and nobody knows this instance
        log_.write(event_id::instance_stopped, {});
        loop_.stop();
        return;
    }
    callers_.close_after_answers();
    rollout_.set_candidate(false);
    audit_.add("instance_leaving", "");
    drain_timer_ = loop_.every(internal::drain_check_period, [this] { check_drained(); });
}

// The load balancer still sends requests during the grace period. They need the instance's share
// and its peers, so both are kept until the period is over.
void instance::leave_fleet() {
    if (left_fleet_)
        return;
    left_fleet_ = true;
    peers_.leave();
    shares_.leave();
}

void instance::check_drained() {
    auto open = callers_.busy_connections();
    auto waited = (loop_.now() - drain_start_).count() / internal::microseconds_per_millisecond;
    if (waited < settings_.drain_grace_ms)
        return;
    leave_fleet();
    bool leave_pending = (!shares_.has_left() || !audit_.stored()) &&
                         waited < settings_.drain_grace_ms + internal::max_leave_ms;
    bool over_limit = waited >= settings_.drain_limit_ms;
    if (!over_limit && (leave_pending || open > 0))
        return;
    log_.write(event_id::drain_finished,
               {{"open", std::to_string(open)}, {"waited_ms", std::to_string(waited)}});
    log_.write(event_id::instance_stopped, {});
    loop_.stop();
}

} // namespace azureyoke::app
