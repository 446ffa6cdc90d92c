#include "standin/share_world.h"

#include <algorithm>

namespace azureyoke::standin {

using coordination::duration;
using coordination::instant;

namespace internal {
namespace {

constexpr duration tick_period = std::chrono::milliseconds(5);
constexpr duration detection_time = std::chrono::seconds(3);
constexpr const char* workspace = "w";
/// Distance between the first numbers of successive processes, so that a restarted process never
/// reuses a number. Real processes start at their start time in microseconds; their numbers do not
/// overlap as long as a process uses fewer than one number per microsecond.
constexpr std::uint64_t numbers_per_incarnation = INT64_C(1) << 40;

} // namespace
} // namespace internal

struct share_world::node {
    int number = 0;
    std::string name;
    int data_centre = 0;
    double drift = 0;
    bool running = false;
    std::uint64_t incarnation = 0;
    instant paused_since;
    instant paused_until;
    instant next_free; ///< Not used.
    std::int64_t applied_part = -1;
    std::unique_ptr<coordination::grant_manager> grants;
    std::unique_ptr<coordination::share_manager> shares;
    std::map<coordination::admission_id, open_request> requests;
};

share_world::share_world(const share_world_options& options)
    : options_(options), random_(options.seed), table_(time_, options.seed + 1),
      auditor_(options.limit) {
    std::uniform_real_distribution<> drift(-options.max_drift, options.max_drift);
    for (int i = 0; i < options.instances; ++i) {
        auto created = std::make_unique<node>();
        created->number = i;
        created->name = "i" + std::to_string(100 + i);
        created->data_centre = i % options.data_centres;
        created->drift = drift(random_);
        nodes_.push_back(std::move(created));
    }
    for (auto& it : nodes_)
        start(*it);
}

share_world::~share_world() = default;

share_world::node& share_world::find_node(const std::string& name) {
    return **std::find_if(nodes_.begin(), nodes_.end(),
                          [&](const auto& it) { return it->name == name; });
}

bool share_world::draw_chance(double part) {
    return std::uniform_real_distribution<>(0, 1)(random_) < part;
}

instant share_world::local_time(const node& it) const {
    auto since_start = coordination::to_seconds(time_.now().time_since_epoch());
    return time_.now() + coordination::from_seconds(since_start * it.drift);
}

void share_world::start(node& it) {
    it.running = true;
    it.incarnation = next_incarnation_++;
    it.paused_until = instant();
    it.applied_part = -1;
    it.requests.clear();
    it.grants = std::make_unique<coordination::grant_manager>(coordination::grant_settings{},
                                                              it.name, it.incarnation);
    it.shares = std::make_unique<coordination::share_manager>(
        coordination::share_settings{}, it.incarnation * internal::numbers_per_incarnation);
    tick(it, it.incarnation);
}

void share_world::run_on_node(const std::string& name, std::uint64_t incarnation,
                              const std::function<void()>& call) {
    auto& it = find_node(name);
    if (!it.running || it.incarnation != incarnation)
        return;
    if (time_.now() < it.paused_until) {
        time_.at(it.paused_until,
                 [this, name, incarnation, call] { run_on_node(name, incarnation, call); });
        return;
    }
    call();
    apply_decisions(it);
}

void share_world::refresh_limits(node& it) {
    it.shares->set_lease_end(it.grants->lease_end());
    auto part = it.grants->part() / options_.data_centres;
    if (part == it.applied_part)
        return;
    it.applied_part = part;
    it.shares->set_limits({{internal::workspace, options_.limit, part}}, local_time(it));
}

void share_world::apply_decisions(node& it) {
    refresh_limits(it);
    for (const auto& m : it.shares->take_messages()) {
        send_message(it, m.peer, [this, from = it.name, to = m.peer, payload = m.payload] {
            deliver_message(from, to, payload);
        });
    }
    for (const auto& outcome : it.shares->take_outcomes()) {
        auto found = it.requests.find(outcome.id);
        if (found == it.requests.end())
            continue;
        bool admitted = outcome.verdict == coordination::admission_result::admitted;
        auto open = found->second;
        if (!admitted) {
            it.requests.erase(found);
            open.done(false);
            continue;
        }
        auditor_.add(time_.now(), open.used);
        time_.after(open.run_time, [this, name = it.name, incarnation = it.incarnation,
                                    ticket = outcome.id, used = open.used] {
            run_on_node(name, incarnation, [this, name, ticket, used] {
                auto& n = find_node(name);
                n.requests.erase(ticket);
                n.shares->finish_request(ticket, used, local_time(n));
            });
        });
        open.done(true);
    }
}

bool share_world::connected(const node& a, const node& b) const {
    return a.data_centre == b.data_centre ||
           (!cut_off_centres_.contains(a.data_centre) && !cut_off_centres_.contains(b.data_centre));
}

void share_world::send_message(node& from, const std::string& to,
                               const std::function<void()>& on_arrival) {
    ++messages_;
    auto& target = find_node(to);
    int copies = draw_chance(options_.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (!connected(from, target) || draw_chance(options_.loss))
            continue;
        auto base =
            from.data_centre == target.data_centre ? options_.near_latency : options_.far_latency;
        // The exponential spread makes messages overtake each other.
        auto spread = std::exponential_distribution<>(1)(random_);
        auto wait = coordination::from_seconds(coordination::to_seconds(base) * (1 + spread));
        time_.after(wait, [this, to, incarnation = target.incarnation, on_arrival] {
            run_on_node(to, incarnation, on_arrival);
        });
    }
}

void share_world::deliver_message(const std::string& from, const std::string& to,
                                  const coordination::share_payload& payload) {
    auto& it = find_node(to);
    std::visit([&](const auto& m) { it.shares->on_message(from, m, local_time(it)); }, payload);
}

void share_world::tick(node& it, std::uint64_t incarnation) {
    if (!it.running || it.incarnation != incarnation)
        return;
    time_.after(internal::tick_period, [this, name = it.name, incarnation] {
        run_on_node(name, incarnation,
                    [this, name, incarnation] { tick(find_node(name), incarnation); });
    });
    auto now = local_time(it);
    std::set<std::string> live;
    std::vector<coordination::share_peer> peers;
    for (const auto& other : nodes_) {
        // Membership is not tested here: crashes and network cuts are visible immediately, and
        // pauses after the detection time.
        bool unresponsive = time_.now() < other->paused_until &&
                            time_.now() - other->paused_since > internal::detection_time;
        if (other->name == it.name || !other->running || unresponsive || !connected(it, *other))
            continue;
        bool same_data_centre = other->data_centre == it.data_centre;
        if (same_data_centre)
            live.insert(other->name);
        peers.push_back({other->name, same_data_centre});
    }
    it.grants->set_live_instances(std::move(live));
    it.shares->set_peers(options_.lending ? peers : std::vector<coordination::share_peer>());
    run_grant_actions(it, it.grants->tick(now));
    it.shares->tick(now);
    apply_decisions(it);
}

void share_world::run_grant_actions(node& it,
                                    const std::vector<coordination::grant_action>& actions) {
    auto row = "shares/" + std::to_string(it.data_centre);
    auto name = it.name;
    auto incarnation = it.incarnation;
    bool table_reachable = !cut_off_centres_.contains(it.data_centre);
    for (const auto& action : actions) {
        auto asked_at = local_time(it);
        switch (action.step) {
        case coordination::grant_step::read_row:
            if (!table_reachable)
                break;
            table_.read(row, [=, this](bool answered, const fake_table::row& found) {
                run_on_node(name, incarnation, [=, this] {
                    auto& n = find_node(name);
                    if (!answered) {
                        n.grants->on_read_failed();
                        return;
                    }
                    auto parsed = state::parse_grant_row(found.value).value_or(state::grant_row{});
                    run_grant_actions(
                        n, n.grants->on_row(found.version, parsed, asked_at, local_time(n)));
                });
            });
            break;
        case coordination::grant_step::write_row:
            if (!table_reachable)
                break;
            table_.write(row, action.expected_version, state::to_text(action.row),
                         [=, this, number = action.number](coordination::write_result result,
                                                           std::int64_t version) {
                             run_on_node(name, incarnation, [=, this] {
                                 auto& n = find_node(name);
                                 n.grants->on_write(number, result, version, local_time(n));
                             });
                         });
            break;
        case coordination::grant_step::ping_lessor:
            auto lessor = action.lessor;
            send_message(it, lessor, [=, this] {
                auto& w = find_node(lessor);
                if (!w.grants->renew_lease_of(name, incarnation, local_time(w)))
                    return;
                send_message(w, name, [=, this] {
                    if (find_node(name).incarnation == incarnation)
                        find_node(name).grants->on_lease_renewed(lessor, asked_at);
                });
            });
            break;
        }
    }
}

void share_world::warm_up(duration wait) {
    run_for(wait);
}

void share_world::request(int instance, std::int64_t tokens, std::int64_t used, duration run_time,
                          done_handler done) {
    auto& it = *nodes_.at(static_cast<std::size_t>(instance));
    if (!it.running) {
        done(false);
        return;
    }
    auto ticket = next_ticket_++;
    run_on_node(it.name, it.incarnation,
                [this, name = it.name, ticket, tokens, used, run_time, done = std::move(done)] {
                    auto& n = find_node(name);
                    n.requests.emplace(ticket, open_request{time_.now(), used, run_time, done});
                    n.shares->request_admission(ticket, internal::workspace, tokens, local_time(n));
                });
}

void share_world::pause(int instance, duration pause_time) {
    auto& it = *nodes_.at(static_cast<std::size_t>(instance));
    if (it.paused_until <= time_.now())
        it.paused_since = time_.now();
    it.paused_until = std::max(it.paused_until, time_.now() + pause_time);
}

void share_world::crash(int instance) {
    nodes_.at(static_cast<std::size_t>(instance))->running = false;
}

void share_world::restart(int instance) {
    crash(instance);
    start(*nodes_.at(static_cast<std::size_t>(instance)));
}

void share_world::cut_off(int data_centre, bool off) {
    if (off)
        cut_off_centres_.insert(data_centre);
    else
        cut_off_centres_.erase(data_centre);
}

void share_world::set_limit(const state::rate_limit& limit) {
    options_.limit = limit;
    for (auto& it : nodes_)
        it->applied_part = -1;
}

std::int64_t share_world::part(int instance) const {
    return nodes_.at(static_cast<std::size_t>(instance))->grants->part();
}

std::int64_t share_world::available() {
    std::int64_t sum = 0;
    for (auto& it : nodes_) {
        if (it->running)
            sum += it->shares->available(internal::workspace, local_time(*it));
    }
    return sum;
}

} // namespace azureyoke::standin
