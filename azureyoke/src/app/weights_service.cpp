#include "azureyoke/src/app/weights_service.h"

#include <algorithm>

#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/transport/boot_clock.h"

namespace azureyoke::app {

namespace internal {
namespace {

constexpr transport::duration tick_period = std::chrono::milliseconds(100);
/// An instance leaves the lease to those before it in order for this long each.
constexpr transport::duration turn = std::chrono::milliseconds(600);
constexpr transport::duration notice_life = std::chrono::seconds(2);
/// So many instances follow the lease, so that one of them can take it over without delay.
constexpr std::ptrdiff_t watchers = 2;
/// In a store that names no era; each era that is named has a record of its own.
constexpr const char* lease_record = "lease/weights";

std::string lease_record_of(std::int64_t era) {
    return era == 0 ? lease_record : lease_record + ("/" + std::to_string(era));
}

} // namespace
} // namespace internal

weights_service::weights_service(transport::event_loop& loop, const forward_settings& settings,
                                 std::uint64_t incarnation, forward_state& state,
                                 record_store& records, server_orders& orders, peer_board& peers,
                                 const event_log& log)
    : loop_(loop), settings_(settings), state_(state), records_(records), orders_(orders),
      peers_(peers), log_(log),
      lease_(coordination::settings_of_order_lease(), settings.instance, incarnation),
      rollout_({}) {}

void weights_service::start() {
    timer_ = loop_.every(internal::tick_period, [this] { tick(); });
}

bool weights_service::holds_lease() const {
    return lease_.held(transport::boot_now());
}

std::vector<coordination::rollout_server> weights_service::servers() const {
    std::vector<coordination::rollout_server> list;
    for (const auto& [id, it] : state_.directory.all()) {
        if (it.leaving)
            continue;
        for (const auto& [model, version] : it.models) {
            const auto* wanted = state_.wanted(model);
            if (wanted == nullptr)
                continue;
            coordination::rollout_server made;
            made.id = id;
            made.model = model;
            made.weights = state_.router.weights_of(state_.directory, id, model);
            made.wanted = wanted->newest();
            made.load = state_.router.in_flight(id);
            made.changing = state_.router.changing(state_.directory, id, loop_.now());
            made.replaced_at = wanted->replaced_at(made.weights).value_or(loop_.now());
            made.life = wanted->life(made.weights);
            list.push_back(std::move(made));
        }
    }
    return list;
}

// One candidate at a time spares the store the writes of all others. Each waits for those before
// it in the order of names, so that a dead first one is followed soon.
bool weights_service::my_turn(transport::instant now) {
    if (holds_lease())
        return true;
    if (peers_.lease_holder(now))
        return false;
    return now - work_since_ >= internal::turn * peers_.place(now);
}

void weights_service::tick() {
    auto now = loop_.now();
    tell_completed();
    auto list = servers();
    bool work = !stopping_ && std::any_of(list.begin(), list.end(),
                                          [](const auto& it) { return it.weights < it.wanted; });
    if (!work)
        work_since_ = {};
    else if (work_since_ == transport::instant())
        work_since_ = now;
    lease_.want(work && my_turn(now));
    auto watch = work ? coordination::lease_watch::closely : coordination::lease_watch::loosely;
    bool follows = !stopping_ && peers_.place(now) < internal::watchers;
    lease_.watch(follows ? watch : coordination::lease_watch::none);
    for (const auto& it : lease_.tick(transport::boot_now()))
        run(it);
    bool holds = holds_lease();
    if (holds != held_) {
        held_ = holds;
        if (holds)
            log_.write(event_id::lease_taken, {{"fence", std::to_string(lease_.fence())}});
        peers_.send_now();
    }
    if (!holds || !work) {
        rollout_.clear();
        return;
    }
    for (const auto& it : rollout_.tick(list, oldest_allowed(settings_), now)) {
        if (it.step == coordination::weights_step::order)
            order(it);
        else
            look(it);
    }
}

void weights_service::run(const coordination::lease_action& action) {
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
            auto now = transport::boot_now();
            for (const auto& it :
                 lease_.on_row(number, record->version, row.value_or(state::lease_row()), now))
                run(it);
        });
        return;
    }
    records_.write(key, action.expected_version, state::to_text(action.row),
                   [this, number = action.number](auto result, const auto& version) {
                       lease_.on_write(number, result, version);
                       if (holds_lease() && !held_)
                           tick();
                   });
}

// The peers learn at once which servers take new work again, however this instance learned it.
void weights_service::tell_completed() {
    std::vector<weights_notice> completed;
    for (const auto& it : told_) {
        auto weights = state_.router.weights_of(state_.directory, it.what.server, it.what.model);
        if (it.what.changing && weights >= it.what.version)
            completed.push_back({it.what.server, it.what.model, weights, false});
    }
    for (const auto& it : completed) {
        tell(it);
        log_.write(event_id::weights_in_place,
                   {{"backend_server", it.server}, {"weights", std::to_string(it.version)}});
    }
}

void weights_service::tell(const weights_notice& notice) {
    auto now = loop_.now();
    std::erase_if(told_, [&](const auto& it) {
        return it.what.server == notice.server ||
               (!it.what.changing && now - it.at > internal::notice_life);
    });
    told_.push_back({notice, now});
    peers_.send_now();
}

std::vector<weights_notice> weights_service::notices() const {
    std::vector<weights_notice> list;
    auto now = loop_.now();
    for (const auto& it : told_) {
        if (it.what.changing || now - it.at <= internal::notice_life)
            list.push_back(it.what);
    }
    return list;
}

// Peers send a server that loads no new work: they hear of it as soon as it is known to load, and
// again when it turns out that it does not.
void weights_service::on_loading(const coordination::weights_action& action, bool loading) {
    auto told = std::find_if(told_.begin(), told_.end(), [&](const auto& it) {
        return it.what.server == action.server && it.what.changing;
    });
    if (loading)
        state_.router.on_change_announced(action.server, action.model, action.weights, loop_.now());
    else
        state_.router.on_change_ended(action.server);
    if (loading == (told != told_.end()))
        return;
    auto weights = loading
                       ? action.weights
                       : state_.router.weights_of(state_.directory, action.server, action.model);
    tell({action.server, action.model, weights, loading});
}

void weights_service::order(const coordination::weights_action& action) {
    const auto* server = state_.directory.find(action.server);
    if (server == nullptr)
        return;
    log_.write(event_id::order_sent, {{"backend_server", action.server},
                                      {"weights", std::to_string(action.weights)},
                                      {"fence", std::to_string(lease_.fence())}});
    orders_.order(*server, action, settings_.instance, lease_.fence(),
                  [this, action](coordination::order_outcome outcome) {
                      rollout_.on_order(action.server, outcome, loop_.now());
                      if (outcome == coordination::order_outcome::accepted)
                          on_loading(action, true);
                      if (outcome == coordination::order_outcome::refused)
                          log_.warn(event_id::order_refused, {{"backend_server", action.server}});
                  });
}

void weights_service::look(const coordination::weights_action& action) {
    const auto* server = state_.directory.find(action.server);
    if (server == nullptr)
        return;
    orders_.look(*server, [this, action](std::optional<server_look> seen) {
        if (!seen)
            return;
        rollout_.on_look(action.server, seen->orders, seen->busy, loop_.now());
        auto found = seen->weights.find(action.model);
        if (!seen->busy && found != seen->weights.end())
            state_.router.on_weights(action.server, action.model, found->second);
        on_loading(action, seen->busy);
    });
}

} // namespace azureyoke::app
