#include "bench/routing_world.h"

#include <algorithm>
#include <cmath>

#include "bench/routing_replica.h"
#include "standin/quantile.h"

namespace azureyoke::bench {

using coordination::from_seconds;
using coordination::to_seconds;

namespace internal {
namespace {

constexpr const char* model_name = "m";
constexpr double decode_seconds_per_token = 0.02;
constexpr double restart_seconds = 2;
constexpr double event_delay_seconds = 0.3;
constexpr double report_period_seconds = 0.25;
constexpr double recompute_weight = 1;
constexpr double snapshot_period_seconds = 30;
/// Delay before a request that found no replica is placed again.
constexpr double placement_retry_seconds = 0.05;
/// Time until a router sees that a replica which is down refuses the connection.
constexpr double connect_failure_seconds = 0.002;
/// Time that the run goes on after the last arrival, so that the queues can empty.
constexpr double drain_seconds = 300;

std::string data_centre_of(std::size_t number, int data_centres) {
    return "dc-" + std::to_string(number % static_cast<std::size_t>(data_centres));
}

} // namespace
} // namespace internal

routing_world::routing_world(const routing_workload& workload, const routing_events& events,
                             bench_policy policy, std::uint64_t seed)
    : workload_(workload), events_(events), policy_(policy), random_(seed), start_(time_.now()) {
    for (std::size_t i = 0; i < workload.replica_speeds.size(); ++i) {
        auto added = std::make_unique<replica>();
        added->number = i;
        added->name = "r" + std::to_string(i);
        added->speed = workload.replica_speeds[i];
        added->capacity_pieces = workload.cache_pieces;
        replicas_.push_back(std::move(added));
    }
    make_routers();
}

routing_world::~routing_world() = default;

void routing_world::make_routers() {
    static const std::map<bench_policy, coordination::placement_kind> kinds = {
        {bench_policy::round_robin, coordination::placement_kind::round_robin},
        {bench_policy::least_loaded, coordination::placement_kind::least_loaded},
        {bench_policy::prefix_hash, coordination::placement_kind::prefix_hash},
        {bench_policy::longest_match, coordination::placement_kind::longest_match}};
    std::vector<coordination::replica_info> list;
    for (const auto& it : replicas_)
        list.push_back({it->name,
                        internal::data_centre_of(it->number, workload_.data_centres),
                        {internal::model_name},
                        false});
    routers_.clear();
    for (int i = 0; i < workload_.instances; ++i) {
        coordination::router_settings settings;
        auto kind = kinds.find(policy_);
        settings.kind =
            kind == kinds.end() ? coordination::placement_kind::first_token : kind->second;
        settings.index_entries = 1U << 15U;
        settings.piece_tokens = piece_tokens;
        settings.first_call = static_cast<coordination::call_number>(i) << 40U;
        settings.first_token.remote_seconds = workload_.remote_seconds;
        settings.first_token.data_centre =
            internal::data_centre_of(static_cast<std::size_t>(i), workload_.data_centres);
        routers_.push_back(std::make_unique<coordination::replica_router>(settings));
        routers_.back()->set_replicas(list);
    }
}

double routing_world::now_seconds() const {
    return to_seconds(time_.now() - start_);
}

int routing_world::draw_zipf(int n) {
    double total = 0;
    for (int i = 1; i <= n; ++i)
        total += std::pow(i, -workload_.zipf_exponent);
    double at = std::uniform_real_distribution<>(0, total)(random_);
    int k = 0;
    while (k + 1 < n && at > std::pow(k + 1, -workload_.zipf_exponent)) {
        at -= std::pow(k + 1, -workload_.zipf_exponent);
        ++k;
    }
    return (k + hot_shift_) % n;
}

std::shared_ptr<routing_world::request> routing_world::draw_request() {
    auto it = std::make_shared<request>();
    std::discrete_distribution<int> pick(workload_.workspace_shares.begin(),
                                         workload_.workspace_shares.end());
    it->workspace = pick(random_);
    auto section = draw_zipf(workload_.sections);
    auto dossier = draw_zipf(workload_.dossiers);
    auto add = [&](int level, int id, int pieces) {
        for (int i = 0; i < pieces; ++i) {
            auto seed = it->routed.prefix_hashes.empty() ? 1 : it->routed.prefix_hashes.back();
            it->routed.prefix_hashes.push_back(state::rendezvous_score(
                seed, std::to_string(it->workspace) + "/" + std::to_string(level) + "/" +
                          std::to_string(id) + "/" + std::to_string(i)));
        }
    };
    add(0, 0, workload_.root_pieces);
    add(1, section, workload_.section_pieces);
    add(2, dossier, workload_.dossier_pieces);
    auto tail = std::uniform_int_distribution<std::int64_t>(50, workload_.max_tail_tokens)(random_);
    it->routed.prompt_tokens =
        static_cast<std::int64_t>(it->routed.prefix_hashes.size()) * piece_tokens + tail;
    it->routed.model = internal::model_name;
    it->output_tokens =
        std::uniform_int_distribution<std::int64_t>(5, workload_.max_output_tokens)(random_);
    it->router = std::uniform_int_distribution<std::size_t>(0, routers_.size() - 1)(random_);
    it->arrival_time = time_.now();
    it->measured = now_seconds() >= events_.warm_up_seconds;
    return it;
}

void routing_world::add_arrival() {
    if (now_seconds() >= events_.seconds)
        return;
    place_request(draw_request());
    auto gap = std::exponential_distribution<>(workload_.requests_per_second)(random_);
    time_.after(from_seconds(gap), [this] { add_arrival(); });
}

coordination::placement routing_world::oracle_choice(const request& it) {
    coordination::placement choice;
    double best = 1e18;
    for (const auto& r : replicas_) {
        if (!r->up)
            continue;
        auto uncached_tokens =
            it.routed.prompt_tokens - r->cached_pieces(it.routed.prefix_hashes) * piece_tokens;
        auto compute = static_cast<double>(uncached_tokens) / r->prompt_speed();
        auto queue = static_cast<double>(r->queued_tokens()) / r->prompt_speed();
        auto score = queue + (1 + internal::recompute_weight) * compute;
        if (score < best) {
            best = score;
            choice.replica = static_cast<coordination::replica_number>(r->number);
        }
    }
    return choice;
}

void routing_world::place_request(const std::shared_ptr<request>& it) {
    auto& router = *routers_[it->router];
    it->routed.call = router.next_call();
    if (policy_ == bench_policy::oracle) {
        it->placed = oracle_choice(*it);
    } else {
        auto choice = router.choose(it->routed, time_.now());
        if (!choice) {
            it->routed.excluded.clear();
            time_.after(from_seconds(internal::placement_retry_seconds),
                        [this, it] { place_request(it); });
            return;
        }
        it->placed = *choice;
        router.on_dispatch(it->routed, it->placed, time_.now());
        send_notices(it->router);
    }
    auto& target = *replicas_[it->placed.replica];
    if (!target.up) {
        time_.after(from_seconds(internal::connect_failure_seconds), [this, it, &target] {
            auto& r = *routers_[it->router];
            if (policy_ != bench_policy::oracle)
                r.on_failure(it->routed, it->placed.replica, time_.now());
            send_notices(it->router);
            it->routed.excluded.push_back(static_cast<coordination::replica_number>(target.number));
            place_request(it);
        });
        return;
    }
    target.queue.push_back(it);
    begin_prefill(target);
}

void routing_world::begin_prefill(replica& r) {
    if (r.prefilling != nullptr || r.queue.empty() || !r.up)
        return;
    r.prefilling = r.queue.front();
    r.queue.pop_front();
    auto& it = *r.prefilling;
    auto cached_pieces = r.cached_pieces(it.routed.prefix_hashes);
    it.uncached_tokens = it.routed.prompt_tokens - cached_pieces * piece_tokens;
    for (std::size_t i = static_cast<std::size_t>(cached_pieces);
         i < it.routed.prefix_hashes.size(); ++i) {
        bool again = !computed_pieces_.insert(it.routed.prefix_hashes[i]).second;
        if (again && it.measured)
            recomputed_tokens_ += piece_tokens;
    }
    if (it.measured) {
        prompt_tokens_ += static_cast<double>(it.routed.prompt_tokens);
        cached_tokens_ += static_cast<double>(cached_pieces * piece_tokens);
    }
    auto prefill_time = from_seconds(static_cast<double>(it.uncached_tokens) / r.prompt_speed());
    r.prefill_ends = time_.now() + prefill_time;
    time_.after(prefill_time,
                [this, &r, incarnation = r.incarnation] { end_prefill(r, incarnation); });
}

void routing_world::end_prefill(replica& r, std::uint64_t incarnation) {
    if (r.incarnation != incarnation)
        return;
    auto it = std::move(r.prefilling);
    r.prefilling.reset();
    std::vector<state::piece_hash> stored;
    std::vector<state::piece_hash> removed;
    for (auto piece : it->routed.prefix_hashes) {
        auto cached = r.cache.find(piece);
        if (cached != r.cache.end()) {
            r.lru_order.splice(r.lru_order.end(), r.lru_order, cached->second);
            continue;
        }
        r.lru_order.push_back(piece);
        r.cache.emplace(piece, std::prev(r.lru_order.end()));
        stored.push_back(piece);
    }
    while (r.cache.size() > r.capacity_pieces) {
        removed.push_back(r.lru_order.front());
        r.cache.erase(r.lru_order.front());
        r.lru_order.pop_front();
    }
    send_events(r, std::move(stored), std::move(removed));
    if (it->measured)
        samples_.push_back(
            {now_seconds(), it->workspace, to_seconds(time_.now() - it->arrival_time)});
    if (policy_ != bench_policy::oracle)
        routers_[it->router]->on_first_token(it->routed, it->placed, time_.now());
    send_notices(it->router);
    ++r.running_streams;
    auto decode = internal::decode_seconds_per_token * static_cast<double>(it->output_tokens);
    time_.after(from_seconds(decode), [this, &r, it, incarnation] {
        if (r.incarnation == incarnation)
            finish_request(r, it);
    });
    begin_prefill(r);
}

void routing_world::finish_request(replica& r, const std::shared_ptr<request>& it) {
    --r.running_streams;
    if (policy_ == bench_policy::oracle)
        return;
    auto& router = *routers_[it->router];
    router.on_usage(it->routed, it->placed, it->routed.prompt_tokens - it->uncached_tokens,
                    time_.now());
    router.on_success(it->routed, it->placed.replica, time_.now());
    send_notices(it->router);
}

void routing_world::crash_replica(replica& r) {
    auto lost = r.queue;
    if (r.prefilling != nullptr)
        lost.push_back(r.prefilling);
    r.queue.clear();
    r.prefilling.reset();
    r.running_streams = 0;
    r.lru_order.clear();
    r.cache.clear();
    ++r.incarnation;
    r.next_event_number = 1;
    r.up = false;
    for (const auto& it : lost) {
        if (policy_ != bench_policy::oracle)
            routers_[it->router]->on_failure(it->routed, it->placed.replica, time_.now());
        it->routed.excluded.push_back(static_cast<coordination::replica_number>(r.number));
        place_request(it);
    }
    time_.after(from_seconds(internal::restart_seconds), [&r] { r.up = true; });
}

void routing_world::send_events(replica& r, std::vector<state::piece_hash> stored,
                                std::vector<state::piece_hash> removed) {
    if (policy_ != bench_policy::ours && policy_ != bench_policy::longest_match)
        return;
    coordination::cache_event event{r.next_event_number++, std::to_string(r.incarnation),
                                    std::move(stored), std::move(removed)};
    if (std::uniform_real_distribution<>(0, 1)(random_) < events_.event_loss_probability)
        return;
    time_.after(from_seconds(internal::event_delay_seconds), [this, number = r.number, event] {
        for (auto& it : routers_)
            it->on_cache_event(static_cast<coordination::replica_number>(number), event,
                               time_.now());
    });
}

void routing_world::send_notices(std::size_t from) {
    auto notices = routers_[from]->take_notices();
    if (!events_.notices || policy_ != bench_policy::ours)
        return;
    for (const auto& notice : notices) {
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (i == from ||
                std::uniform_real_distribution<>(0, 1)(random_) < events_.notice_loss_probability)
                continue;
            time_.after(from_seconds(events_.notice_delay_seconds),
                        [this, i, notice] { routers_[i]->on_peer_notice(notice, time_.now()); });
        }
    }
}

void routing_world::send_report(std::size_t index) {
    auto& r = *replicas_[index];
    if (r.up) {
        coordination::load_report sent{std::to_string(r.incarnation), "w", r.queued_tokens(),
                                       r.running_streams};
        time_.after(from_seconds(events_.report_delay_seconds), [this, index, sent] {
            for (auto& it : routers_)
                it->on_report(static_cast<coordination::replica_number>(index), sent, time_.now());
        });
    }
    if (now_seconds() < events_.seconds)
        time_.after(from_seconds(internal::report_period_seconds),
                    [this, index] { send_report(index); });
}

void routing_world::save_snapshot() {
    snapshot_ = routers_.front()->save_snapshot(time_.now());
    snapshot_time_ = time_.now();
    if (now_seconds() < events_.seconds)
        time_.after(from_seconds(internal::snapshot_period_seconds), [this] { save_snapshot(); });
}

void routing_world::restart_routers() {
    make_routers();
    if (!events_.restore_snapshot)
        return;
    for (auto& it : routers_)
        it->restore_snapshot(snapshot_, time_.now() - snapshot_time_, time_.now());
}

routing_result routing_world::run() {
    auto schedule = [this](double seconds, std::function<void()> call) {
        if (seconds >= 0)
            time_.at(start_ + from_seconds(seconds), std::move(call));
    };
    schedule(events_.shift_hot_set_at, [this] { hot_shift_ += 7; });
    schedule(events_.crash_at, [this] { crash_replica(*replicas_[0]); });
    schedule(events_.restart_routers_at, [this] { restart_routers(); });
    save_snapshot();
    if (policy_ != bench_policy::oracle) {
        for (std::size_t i = 0; i < replicas_.size(); ++i)
            send_report(i);
    }
    add_arrival();
    time_.run_until(start_ + from_seconds(events_.seconds + internal::drain_seconds));

    routing_result result;
    std::vector<double> all;
    std::map<int, std::vector<double>> by_workspace;
    for (const auto& it : samples_) {
        all.push_back(it.first_token_seconds);
        by_workspace[it.workspace].push_back(it.first_token_seconds);
        result.first_tokens_by_second[static_cast<int>(it.at - it.first_token_seconds)].push_back(
            it.first_token_seconds);
    }
    result.requests = static_cast<std::int64_t>(all.size());
    result.first_token_p50 = standin::quantile(all, 0.5);
    result.first_token_p99 = standin::quantile(all, 0.99);
    result.hit_rate = prompt_tokens_ == 0 ? 0 : cached_tokens_ / prompt_tokens_;
    result.recomputed_tokens = recomputed_tokens_;
    std::vector<double> tails;
    for (const auto& [workspace, values] : by_workspace)
        tails.push_back(standin::quantile(values, 0.99));
    result.worst_workspace_p99 = standin::quantile(tails, 1);
    result.median_workspace_p99 = standin::quantile(tails, 0.5);
    return result;
}

} // namespace azureyoke::bench
