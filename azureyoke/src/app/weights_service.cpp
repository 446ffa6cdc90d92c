#include "azureyoke/src/app/weights_service.h"

#include <algorithm>

#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/transport/boot_clock.h"

namespace azureyoke::app {

namespace internal {
namespace {

constexpr transport::duration tick_period = std::chrono::milliseconds(100);
/// An instance waits this long for each instance ranked before it, and then takes the lease.
constexpr transport::duration takeover_stagger = std::chrono::milliseconds(600);
constexpr transport::duration notice_lifetime = std::chrono::seconds(2);
/// This many instances watch the lease, so that one of them can take it over without delay.
constexpr std::ptrdiff_t max_lease_watchers = 2;
/// Key of the lease record in a store without eras. With eras, each era has its own record.
constexpr const char* lease_record = "lease/weights";

std::string lease_record_of(std::int64_t era) {
    return era == 0 ? lease_record : lease_record + ("/" + std::to_string(era));
}

} // namespace
} // namespace internal

weights_service::weights_service(transport::event_loop& loop, const forward_settings& settings,
                                 std::uint64_t incarnation, forward_state& state,
                                 record_store& records, server_order_client& orders,
                                 peer_directory& peers, const event_log& log)
    : loop_(loop), settings_(settings), state_(state), records_(records), orders_(orders),
      peers_(peers), log_(log),
      lease_(coordination::leader_lease_settings(), settings.instance, incarnation), rollout_({}) {}

void weights_service::start() {
    timer_ = loop_.every(internal::tick_period, [this] { tick(); });
}

bool weights_service::holds_lease() const {
    return lease_.held(transport::boot_time_now());
}

std::vector<coordination::rollout_server> weights_service::rollout_servers() const {
    std::vector<coordination::rollout_server> list;
    for (const auto& [id, it] : state_.directory.all()) {
        if (it.leaving)
            continue;
        for (const auto& [model, version] : it.models) {
            const auto* desired = state_.find_desired_weights(model);
            if (desired == nullptr)
                continue;
            coordination::rollout_server server;
            server.id = id;
            server.model = model;
            server.weights = state_.router.weights_of(state_.directory, id, model);
            server.desired = desired->newest();
            server.load = state_.router.in_flight(id);
            server.changing = state_.router.changing_weights(state_.directory, id, loop_.now());
            server.replaced_at = desired->replaced_at(server.weights).value_or(loop_.now());
            server.time_as_newest = desired->time_as_newest(server.weights);
            list.push_back(std::move(server));
        }
    }
    return list;
}

// Candidates are staggered so that the store receives the writes of only one of them. Each waits
// for those before it in the order of names, so that a dead first candidate is soon replaced.
bool weights_service::may_take_lease(transport::instant now) {
    if (holds_lease())
        return true;
    if (peers_.lease_holder(now))
        return false;
    return now - work_since_ >= internal::takeover_stagger * peers_.rank(now);
}

void weights_service::tick() {
    auto now = loop_.now();
    announce_completed();
    auto list = rollout_servers();
    bool work_pending = !stopping_ && std::any_of(list.begin(), list.end(), [](const auto& it) {
        return it.weights < it.desired;
    });
    if (!work_pending)
        work_since_ = {};
    else if (work_since_ == transport::instant())
        work_since_ = now;
    lease_.set_wanted(work_pending && may_take_lease(now));
    auto watch =
        work_pending ? coordination::lease_watch::frequent : coordination::lease_watch::infrequent;
    bool watches_lease = !stopping_ && peers_.rank(now) < internal::max_lease_watchers;
    lease_.set_watch_mode(watches_lease ? watch : coordination::lease_watch::none);
    for (const auto& it : lease_.tick(transport::boot_time_now()))
        perform(it);
    bool holds = holds_lease();
    if (holds != was_holder_) {
        was_holder_ = holds;
        if (holds)
            log_.write(event_id::lease_taken, {{"fence", std::to_string(lease_.fencing_token())}});
        peers_.send_now();
    }
    if (!holds || !work_pending) {
        rollout_.clear();
        return;
    }
    for (const auto& it : rollout_.tick(list, old_weights_grace(settings_), now)) {
        if (it.step == coordination::weights_step::order)
            send_order(it);
        else
            observe(it);
    }
}

void weights_service::perform(const coordination::lease_action& action) {
    auto key = internal::lease_record_of(action.era);
    if (action.step == coordination::lease_step::read_row) {
        records_.read(key, [this, key, number = action.number](auto record) {
            if (!record) {
                lease_.on_read_failed(number);
                return;
            }
            auto row = state::parse_lease_row(record->value);
            if (!record->version.absent() && !row)
                log_.warn(event_id::platform_row_unreadable, {{"row", key}});
            auto now = transport::boot_time_now();
            for (const auto& it :
                 lease_.on_row(number, record->version, row.value_or(state::lease_row()), now))
                perform(it);
        });
        return;
    }
    records_.write(key, action.expected_version, state::to_text(action.row),
                   [this, number = action.number](auto result, const auto& version) {
                       lease_.on_write(number, result, version);
                       if (holds_lease() && !was_holder_)
                           tick();
                   });
}

// Notifies the peers at once of servers that take new work again, whatever the source of that
// information.
void weights_service::announce_completed() {
    std::vector<weights_notice> completed;
    for (const auto& it : sent_notices_) {
        auto weights =
            state_.router.weights_of(state_.directory, it.notice.server, it.notice.model);
        if (it.notice.changing && weights >= it.notice.version)
            completed.push_back({it.notice.server, it.notice.model, weights, false});
    }
    for (const auto& it : completed) {
        announce(it);
        log_.write(event_id::weights_in_place,
                   {{"backend_server", it.server}, {"weights", std::to_string(it.version)}});
    }
}

void weights_service::announce(const weights_notice& notice) {
    auto now = loop_.now();
    std::erase_if(sent_notices_, [&](const auto& it) {
        return it.notice.server == notice.server ||
               (!it.notice.changing && now - it.sent_at > internal::notice_lifetime);
    });
    sent_notices_.push_back({notice, now});
    peers_.send_now();
}

std::vector<weights_notice> weights_service::notices() const {
    std::vector<weights_notice> list;
    auto now = loop_.now();
    for (const auto& it : sent_notices_) {
        if (it.notice.changing || now - it.sent_at <= internal::notice_lifetime)
            list.push_back(it.notice);
    }
    return list;
}

// Peers send no new work to a server that is loading weights. They are notified as soon as the
// server is known to load, and again when it is found not to load.
void weights_service::set_loading(const coordination::weights_action& action, bool loading) {
    auto announced = std::find_if(sent_notices_.begin(), sent_notices_.end(), [&](const auto& it) {
        return it.notice.server == action.server && it.notice.changing;
    });
    if (loading)
        state_.router.on_weights_change_announced(action.server, action.model, action.weights,
                                                  loop_.now());
    else
        state_.on_weights_change_ended(action.server, loop_.now());
    if (loading == (announced != sent_notices_.end()))
        return;
    auto weights = loading
                       ? action.weights
                       : state_.router.weights_of(state_.directory, action.server, action.model);
    announce({action.server, action.model, weights, loading});
}

void weights_service::send_order(const coordination::weights_action& action) {
    const auto* server = state_.directory.find(action.server);
    if (server == nullptr)
        return;
    log_.write(event_id::order_sent, {{"backend_server", action.server},
                                      {"weights", std::to_string(action.weights)},
                                      {"fence", std::to_string(lease_.fencing_token())}});
    orders_.send_order(
        *server, action, settings_.instance, lease_.fencing_token(),
        [this, action](coordination::order_outcome outcome) {
            rollout_.on_order(action.server, outcome, loop_.now());
            if (outcome == coordination::order_outcome::accepted)
                set_loading(action, true);
            if (outcome == coordination::order_outcome::refused)
                log_.warn(event_id::order_refused, {{"backend_server", action.server}});
        });
}

void weights_service::observe(const coordination::weights_action& action) {
    const auto* server = state_.directory.find(action.server);
    if (server == nullptr)
        return;
    orders_.observe(*server, [this, action](std::optional<server_observation> observation) {
        if (!observation)
            return;
        rollout_.on_observation(action.server, observation->orders, observation->busy, loop_.now());
        auto found = observation->weights.find(action.model);
        if (!observation->busy && found != observation->weights.end())
            state_.router.on_weights(action.server, action.model, found->second);
        set_loading(action, observation->busy);
    });
}

} // namespace azureyoke::app
