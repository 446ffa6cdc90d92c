#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/member_unresponsive_timeout.h"
#include "azureyoke/src/coordination/permit_issuer.h"
#include "azureyoke/src/coordination/server_limits.h"

namespace azureyoke {

using coordination::duration;
using coordination::instant;
using coordination::permit_decision;

constexpr duration ms = std::chrono::milliseconds(1);
constexpr duration second = std::chrono::seconds(1);
constexpr duration step = 10 * ms;
constexpr duration report_period = 500 * ms;
constexpr duration answer_time = 50 * ms;
constexpr duration unanswered_wait = 300 * ms;
constexpr instant start{std::chrono::hours(1)};
/// What the users allow: one and a half times the limit and five requests, in any 4 s from 3 s
/// after the server first named it.
constexpr duration window = 4 * second;
constexpr duration notice = 3 * second;
constexpr int max_denied = 3;

inline double allowed(double rate) {
    return 1.5 * rate * coordination::to_seconds(window) + 5;
}

/// The limit of a server at a time since the start; 0: none.
using rate_function = std::function<double(duration)>;

struct world_options {
    int instances = 8;
    int servers = 1;
    double demand = 40; ///< Requests per second, over all instances.
    double loss = 0;    ///< Part of the messages between instances that is lost.
    unsigned seed = 1;
    rate_function rate = [](duration) { return 1.8; };
};

/// \brief Instances in virtual time that send the requests of unevenly spread callers to servers
/// with limits, and ask each other for permits. Counts what each server gets.
class permit_world {
public:
    explicit permit_world(world_options options)
        : options_(std::move(options)), random_(options_.seed) {
        auto n = static_cast<std::size_t>(options_.instances);
        instances_.resize(n);
        for (std::size_t i = 0; i < n; ++i) {
            instances_[i].name = "edge-" + std::to_string(i);
            numbers_[instances_[i].name] = i;
            instances_[i].last_report.assign(n, start);
            // Uneven: the busiest instance has nine times the callers of the least busy one.
            weights_.push_back(1 + static_cast<double>(random_() % 9));
        }
        arrivals_.resize(static_cast<std::size_t>(options_.servers));
    }

    /// \brief Lets `length` of the simulated time pass.
    void run(duration length) {
        std::discrete_distribution<std::size_t> pick(weights_.begin(), weights_.end());
        std::poisson_distribution<int> requests(options_.demand * coordination::to_seconds(step));
        for (auto until = now_ + length; now_ < until; now_ += step) {
            deliver_answers();
            if ((now_ - start) % report_period < step)
                exchange_reports();
            if ((now_ - start) % (100 * ms) < step)
                update_views();
            for (int n = requests(random_); n > 0; --n)
                request(pick(random_));
        }
    }

    /// \brief Restarts an instance: it is down for a second and knows nothing after that.
    void restart(std::size_t i) {
        auto name = instances_[i].name;
        instances_[i] = {};
        instances_[i].name = name;
        instances_[i].last_report.assign(instances_.size(), instant());
        instances_[i].frozen_until = now_ + second;
        update_view(i);
    }

    /// \brief Stops an instance for `time`; it keeps what it knows.
    void freeze(std::size_t i, duration time) {
        instances_[i].frozen_until = std::max(instances_[i].frozen_until, now_ + time);
    }

    /// \brief Partitions the instances of `side` from the others.
    void partition(const std::vector<bool>& side, duration time) {
        side_ = side;
        partitioned_until_ = now_ + time;
    }

    std::size_t random_number(std::size_t n) { return random_() % n; }

    /// \returns the largest number of requests at a server in any window from `from` on, of
    /// instances that had passed the server's limit on to a caller.
    double most_in_window(duration from) const {
        std::size_t most = 0;
        for (const auto& list : arrivals_) {
            std::vector<instant> times;
            for (const auto& it : list) {
                if (it.told && it.at >= start + from)
                    times.push_back(it.at);
            }
            std::size_t first = 0;
            for (std::size_t last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] > window)
                    ++first;
                most = std::max(most, last - first + 1);
            }
        }
        return static_cast<double>(most);
    }

    /// \returns the requests per second that the least used server got.
    double least_used(duration from, duration to) const {
        auto least = std::numeric_limits<double>::infinity();
        for (const auto& list : arrivals_) {
            auto n = std::count_if(list.begin(), list.end(), [&](const auto& it) {
                return it.at >= start + from && it.at < start + to;
            });
            least = std::min(least, static_cast<double>(n) / coordination::to_seconds(to - from));
        }
        return least;
    }

    /// \returns the part of the requests that was refused from `from` on.
    double refused_part(duration from) const {
        std::size_t refused = 0;
        std::size_t all = 0;
        for (const auto& [at, was_refused] : requests_) {
            all += at >= start + from ? 1 : 0;
            refused += at >= start + from && was_refused ? 1 : 0;
        }
        return static_cast<double>(refused) / static_cast<double>(std::max<std::size_t>(1, all));
    }

    /// \returns how often permits were asked of other instances, per second.
    double messages_per_second() const {
        return static_cast<double>(messages_) / coordination::to_seconds(now_ - start);
    }

private:
    struct instance {
        std::string name;
        coordination::server_limits limits{{}};
        coordination::permit_issuer issuer{{}};
        std::map<std::size_t, instant> blocked_until;
        std::map<std::size_t, instant> told_at;
        std::vector<instant> last_report;
        std::vector<std::string> live;
        instant frozen_until;
    };

    struct arrival {
        instant at;
        bool told = false;
    };

    struct answer {
        instant at;
        std::size_t instance = 0;
        std::size_t server = 0;
        instant sent_at;
    };

    static std::string server_name(std::size_t server) { return "i-" + std::to_string(server); }

    bool lost() { return std::uniform_real_distribution<double>(0, 1)(random_) < options_.loss; }

    bool frozen(std::size_t i) const { return now_ < instances_[i].frozen_until; }

    bool connected(std::size_t a, std::size_t b) const {
        bool cut = now_ < partitioned_until_ && side_[a] != side_[b];
        return !cut && !frozen(a) && !frozen(b);
    }

    void exchange_reports() {
        for (std::size_t to = 0; to < instances_.size(); ++to) {
            for (std::size_t from = 0; from < instances_.size(); ++from) {
                if (connected(from, to) && !lost())
                    instances_[to].last_report[from] = now_;
            }
        }
    }

    void update_view(std::size_t i) {
        auto& it = instances_[i];
        it.live.clear();
        for (std::size_t from = 0; from < instances_.size(); ++from) {
            if (from == i ||
                now_ - it.last_report[from] <= coordination::member_unresponsive_timeout)
                it.live.push_back(instances_[from].name);
        }
    }

    void update_views() {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if (!frozen(i))
                update_view(i);
        }
    }

    permit_decision decide(std::size_t i, std::size_t asker, std::size_t server) {
        auto& it = instances_[i];
        auto limit = it.limits.limit_of(server_name(server));
        if (!limit)
            return {true, {}};
        double part = static_cast<double>(it.live.size()) / static_cast<double>(instances_.size());
        return it.issuer.issue(server_name(server), instances_[asker].name, *limit, part, now_);
    }

    void merge(std::size_t to, std::size_t from, std::size_t server) {
        auto name = server_name(server);
        auto before = instances_[to].limits.limit_of(name);
        if (const auto* known = instances_[from].limits.find(name))
            (void)instances_[to].limits.merge(name, *known);
        on_statement(to, server, before);
    }

    void on_statement(std::size_t i, std::size_t server, std::optional<double> before) {
        auto limit = instances_[i].limits.limit_of(server_name(server));
        if (!limit)
            instances_[i].blocked_until.erase(server);
        if (!before || (limit && *limit < *before * 1.5))
            return;
        for (const auto& name : instances_[i].issuer.take_waiting(server_name(server), now_)) {
            auto waiting = numbers_.at(name);
            if (waiting != i && (!connected(i, waiting) || lost()))
                continue;
            if (waiting != i)
                merge(waiting, i, server);
            instances_[waiting].blocked_until.erase(server);
        }
    }

    permit_decision ask(std::size_t i, std::size_t server) {
        auto issuer =
            numbers_.at(coordination::choose_issuer(instances_[i].live, server_name(server)));
        if (issuer == i)
            return decide(i, i, server);
        ++messages_;
        if (!connected(i, issuer) || lost())
            return {false, unanswered_wait};
        merge(issuer, i, server);
        auto own_choice = coordination::choose_issuer(instances_[issuer].live, server_name(server));
        auto decision = own_choice == instances_[issuer].name
                            ? decide(issuer, i, server)
                            : permit_decision{false, unanswered_wait};
        if (lost())
            return {false, unanswered_wait};
        merge(i, issuer, server);
        return decision;
    }

    void request(std::size_t i) {
        if (frozen(i))
            return;
        auto& it = instances_[i];
        auto servers = static_cast<std::size_t>(options_.servers);
        auto first = random_number(servers);
        int denied = 0;
        for (std::size_t n = 0; n < servers && denied < max_denied; ++n) {
            auto server = (first + n) % servers;
            auto blocked = it.blocked_until.find(server);
            if (blocked != it.blocked_until.end() && now_ < blocked->second)
                continue;
            if (it.limits.limit_of(server_name(server))) {
                auto decision = ask(i, server);
                if (!decision.granted) {
                    ++denied;
                    if (it.limits.limit_of(server_name(server)))
                        it.blocked_until[server] = now_ + decision.wait;
                    continue;
                }
            }
            auto told = it.told_at.find(server);
            arrivals_[server].push_back(
                {now_, told != it.told_at.end() && now_ - told->second >= 500 * ms});
            answers_.push_back({now_ + answer_time, i, server, now_});
            requests_.emplace_back(now_, false);
            return;
        }
        requests_.emplace_back(now_, true);
    }

    void deliver_answers() {
        std::vector<answer> due;
        std::erase_if(answers_, [&](const auto& it) {
            if (it.at <= now_)
                due.push_back(it);
            return it.at <= now_;
        });
        for (const auto& it : due) {
            if (frozen(it.instance))
                continue;
            auto& to = instances_[it.instance];
            auto name = server_name(it.server);
            auto rate = options_.rate(now_ - start);
            if (rate > 0)
                to.told_at.try_emplace(it.server, now_);
            auto before = to.limits.limit_of(name);
            (void)to.limits.on_answer(name, 1,
                                      rate > 0 ? rate : std::numeric_limits<double>::infinity(),
                                      it.sent_at, now_);
            on_statement(it.instance, it.server, before);
            auto issuer = numbers_.at(coordination::choose_issuer(to.live, name));
            if (to.limits.limit_of(name) != before && issuer != it.instance &&
                connected(it.instance, issuer) && !lost())
                merge(issuer, it.instance, it.server);
        }
    }

    world_options options_;
    std::mt19937 random_;
    instant now_ = start;
    std::vector<instance> instances_;
    std::map<std::string, std::size_t> numbers_;
    std::vector<double> weights_;
    std::vector<std::vector<arrival>> arrivals_; ///< By server.
    std::vector<answer> answers_;
    std::vector<std::pair<instant, bool>> requests_; ///< When, and whether it was refused.
    std::vector<bool> side_;
    instant partitioned_until_;
    long messages_ = 0;
};

} // namespace azureyoke
