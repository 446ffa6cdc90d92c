#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>

#include <nlohmann/json.hpp>

#include "bench/cases.h"
#include "standin/share_world.h"

namespace azureyoke::bench {

using coordination::from_seconds;
using coordination::to_seconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace internal {
namespace {

constexpr double load_seconds = 60;
constexpr int instances = 8;
constexpr int data_centres = 3;

enum class share_policy { shares, static_split, central_counter };
enum class load_shape { even, skewed, shifting, cut_off };

const char* name_of(share_policy policy) {
    switch (policy) {
    case share_policy::shares:
        return "shares";
    case share_policy::static_split:
        return "static_split";
    case share_policy::central_counter:
        return "central_counter";
    }
    return "";
}

const char* name_of(load_shape shape) {
    switch (shape) {
    case load_shape::even:
        return "even";
    case load_shape::skewed:
        return "skewed";
    case load_shape::shifting:
        return "shifting";
    case load_shape::cut_off:
        return "cut_off";
    }
    return "";
}

/// A token bucket that sees every arrival without delay; defines which requests are within the
/// limit.
class ideal_bucket {
public:
    explicit ideal_bucket(const state::rate_limit& limit)
        : limit_(limit), level_(static_cast<double>(limit.burst_tokens)) {}

    bool try_acquire(coordination::instant now, std::int64_t tokens) {
        auto gained = to_seconds(now - at_) * static_cast<double>(limit_.tokens_per_second);
        level_ = std::min(level_ + gained, static_cast<double>(limit_.burst_tokens));
        at_ = now;
        if (level_ < static_cast<double>(tokens))
            return false;
        level_ -= static_cast<double>(tokens);
        return true;
    }

private:
    state::rate_limit limit_;
    double level_;
    coordination::instant at_;
};

/// Simulates the policy `central_counter`: one row of the table, read and written for each request.
class central_counter {
public:
    central_counter(standin::virtual_time& time, const state::rate_limit& limit)
        : time_(time), bucket_(limit) {}

    void request(std::int64_t tokens, bool reachable, const std::function<void(bool)>& done) {
        messages += 4;
        if (!reachable) {
            done(false);
            return;
        }
        // A read and a conditional write with one millisecond in each direction.
        time_.after(milliseconds(4), [this, tokens, done] {
            // The table accepts several hundred writes per second in total.
            auto now = time_.now();
            next_write_ = std::max(next_write_, now) + write_gap;
            if (next_write_ - now > max_queue_delay) {
                done(false);
                return;
            }
            done(bucket_.try_acquire(now, tokens));
        });
    }

    std::uint64_t messages = 0;

private:
    static constexpr auto write_gap = std::chrono::microseconds(2500);
    static constexpr auto max_queue_delay = milliseconds(200);

    standin::virtual_time& time_;
    ideal_bucket bucket_;
    coordination::instant next_write_;
};

/// Offers one load to one policy and counts admissions, wrongful refusals and messages.
class share_run {
public:
    share_run(share_policy policy, load_shape shape, double factor)
        : policy_(policy), shape_(shape), factor_(factor), world_(options(policy)), ideal_(limit),
          counter_(world_.time(), limit) {}

    nlohmann::json run() {
        world_.warm_up(seconds(10));
        messages_before_ = world_.messages();
        start_ = world_.time().now();
        if (shape_ == load_shape::cut_off) {
            world_.time().after(seconds(15), [this] { world_.cut_off(2, true); });
            world_.time().after(seconds(45), [this] { world_.cut_off(2, false); });
        }
        offer_next();
        world_.run_for(from_seconds(load_seconds + 5));
        auto messages = policy_ == share_policy::central_counter
                            ? counter_.messages
                            : world_.messages() - messages_before_;
        return {{"case", "shares"},
                {"policy", name_of(policy_)},
                {"load", name_of(shape_)},
                {"offered_over_limit", factor_},
                {"over_admission_tokens", world_.auditor().largest_excess()},
                {"wrongful_refusals", ratio(wrongful_refusals_, within_limit_)},
                {"admitted_tokens_per_second",
                 static_cast<double>(world_.auditor().total()) / load_seconds},
                {"messages_per_second", static_cast<double>(messages) / load_seconds},
                {"requests", requests_}};
    }

private:
    static constexpr state::rate_limit limit{20'000, 40'000};

    static double ratio(int part, int whole) { return whole == 0 ? 0 : 1.0 * part / whole; }

    static standin::share_world_options options(share_policy policy) {
        standin::share_world_options result;
        result.instances = instances;
        result.data_centres = data_centres;
        result.limit = limit;
        result.lending = policy == share_policy::shares;
        return result;
    }

    int pick_instance() {
        auto elapsed_seconds = to_seconds(world_.time().now() - start_);
        std::uniform_int_distribution<int> any(0, instances - 1);
        bool to_hot = std::uniform_real_distribution<>(0, 1)(random_) < 0.8;
        if (shape_ == load_shape::skewed && to_hot)
            return 1;
        if (shape_ == load_shape::shifting && to_hot)
            return static_cast<int>(elapsed_seconds / 10) % instances;
        return any(random_);
    }

    void offer_next() {
        if (to_seconds(world_.time().now() - start_) >= load_seconds)
            return;
        auto tokens = std::uniform_int_distribution<std::int64_t>(100, 900)(random_);
        auto target = pick_instance();
        ++requests_;
        // A data centre that is cut off does not see the others' use and may spend only its own
        // part. Refusals beyond that part count as wrongful here.
        bool within_limit = ideal_.try_acquire(world_.time().now(), tokens);
        within_limit_ += within_limit ? 1 : 0;
        auto done = [this, within_limit](bool admitted) {
            wrongful_refusals_ += within_limit && !admitted ? 1 : 0;
        };
        if (policy_ == share_policy::central_counter) {
            auto elapsed_seconds = to_seconds(world_.time().now() - start_);
            bool unreachable = shape_ == load_shape::cut_off && target % data_centres == 2 &&
                               elapsed_seconds >= 15 && elapsed_seconds < 45;
            counter_.request(tokens, !unreachable, [this, tokens, done](bool admitted) {
                if (admitted)
                    world_.auditor().add(world_.time().now(), tokens);
                done(admitted);
            });
        } else {
            world_.request(target, tokens, tokens, milliseconds(500), done);
        }
        auto gap = std::exponential_distribution<>(
            factor_ * static_cast<double>(limit.tokens_per_second) / 500)(random_);
        world_.time().after(from_seconds(gap), [this] { offer_next(); });
    }

    share_policy policy_;
    load_shape shape_;
    double factor_;
    standin::share_world world_;
    ideal_bucket ideal_;
    central_counter counter_;
    std::mt19937_64 random_{20261203};
    coordination::instant start_;
    std::uint64_t messages_before_ = 0;
    int requests_ = 0;
    int within_limit_ = 0;
    int wrongful_refusals_ = 0;
};

} // namespace
} // namespace internal

void run_shares() {
    using internal::load_shape;
    using internal::share_policy;
    for (auto shape :
         {load_shape::even, load_shape::skewed, load_shape::shifting, load_shape::cut_off}) {
        for (double factor : {0.7, 0.95, 2.0}) {
            std::map<share_policy, double> wrongful;
            for (auto policy : {share_policy::shares, share_policy::static_split,
                                share_policy::central_counter}) {
                internal::share_run run(policy, shape, factor);
                auto line = run.run();
                wrongful[policy] = line["wrongful_refusals"].get<double>();
                std::cout << line.dump() << std::endl;
            }
            // Above the limit the policies differ only in the requests that they refuse.
            bool within_limit = factor < 1 && wrongful[share_policy::static_split] > 0;
            if (within_limit)
                std::cout << nlohmann::json({{"case", "shares_ratio"},
                                             {"load", internal::name_of(shape)},
                                             {"offered_over_limit", factor},
                                             {"wrongful_refusals_over_static_split",
                                              wrongful[share_policy::shares] /
                                                  wrongful[share_policy::static_split]}})
                                 .dump()
                          << std::endl;
        }
    }
}

} // namespace azureyoke::bench
