#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "azureyoke/src/coordination/part_suspicions.h"

namespace azureyoke {

/// \brief Instances in virtual time that send prompts to servers, which crash at prompts with a
/// deadly part. The instances spread what they know as `app::part_service` does. Counts what
/// reaches the servers.
class part_world {
public:
    using duration = coordination::duration;
    using instant = coordination::instant;

    static constexpr duration ms = std::chrono::milliseconds(1);

    struct options {
        std::size_t instances = 8;
        std::size_t servers = 12;
        double sound_per_second = 20;
        double deadly_per_second = 1;
        double loss = 0; ///< Part of the messages between instances that is lost.
        unsigned seed = 1;
        std::set<std::string> deadly = {"deadly"};
        bool repeated = false; ///< Deadly requests have no other part: one request comes again.
        /// The answers to sound requests take up to this time, from their beginning to their end.
        duration longest_answer{};
        /// Deadly requests crash their server so long after their answer began; negative: in place
        /// of its beginning.
        duration crash_after = -ms;
        double slowest = 1;           ///< Servers take up to so many times as long as the fastest.
        int attempts = 1;             ///< A request that is lost is sent again at once.
        std::size_t shared_parts = 4; ///< Number of the first parts.
    };

    static constexpr duration second = std::chrono::seconds(1);
    static constexpr instant start{std::chrono::hours(1)};

    explicit part_world(options chosen) : options_(std::move(chosen)), random_(options_.seed) {
        instances_.resize(options_.instances);
        servers_.resize(options_.servers);
        std::uniform_real_distribution<> slowness(1, options_.slowest);
        for (auto& it : servers_)
            it.slowness = slowness(random_);
    }

    void run(duration length) {
        std::poisson_distribution<int> sound(options_.sound_per_second * step_s);
        std::poisson_distribution<int> deadly(options_.deadly_per_second * step_s);
        for (auto until = now_ + length; now_ < until; now_ += step) {
            deliver();
            finish_requests();
            for (int n = sound(random_); n > 0; --n)
                request(false);
            for (int n = deadly(random_); n > 0; --n)
                request(true);
            for (std::size_t i = 0; i < instances_.size(); ++i) {
                if (running(i) && (now_ - start) % (100 * ms) == (i % 10) * step)
                    tick(i);
            }
        }
    }

    /// \brief Restarts an instance: it is down for half a second and knows nothing after that.
    void restart(std::size_t i) {
        instances_[i] = {};
        instances_[i].frozen_until = now_ + 500 * ms;
        instances_[i].disturbed_until = now_ + 500 * ms + contact;
    }

    void freeze(std::size_t i, duration time) {
        instances_[i].frozen_until = now_ + time;
        instances_[i].disturbed_until = now_ + time + contact;
    }

    /// \brief Cuts an instance off from the others; callers and servers still reach it.
    void cut_off(std::size_t i, duration time) {
        instances_[i].cut_until = now_ + time;
        instances_[i].disturbed_until = now_ + time + contact;
    }

    /// \brief Crashes a server for a reason outside of its requests.
    void crash_server(std::size_t i) { crash(i); }

    void set_deadly(std::set<std::string> parts) { options_.deadly = std::move(parts); }

    std::size_t random_number(std::size_t n) { return random_() % n; }

    /// \returns the requests with deadly parts that instances in touch sent later than 3 s after
    /// the fifth crash by one, or after the third of a repeated request.
    std::size_t late_sends() const {
        std::size_t tolerated = options_.repeated ? 3 : 5;
        if (deadly_crashes_.size() < tolerated)
            return 0;
        auto from = deadly_crashes_[tolerated - 1] + contact;
        return static_cast<std::size_t>(std::count_if(deadly_sends_.begin(), deadly_sends_.end(),
                                                      [&](auto at) { return at > from; }));
    }

    /// \returns the requests with this part that instances in touch sent later than 3 s after the
    /// fifth crash by one.
    std::size_t late_sends_of(const std::string& part) const {
        constexpr std::size_t tolerated = 5;
        std::vector<instant> crashes;
        for (const auto& [at, culprit] : culprits_) {
            if (culprit == part)
                crashes.push_back(at);
        }
        if (crashes.size() < tolerated)
            return 0;
        auto from = crashes[tolerated - 1] + contact;
        return static_cast<std::size_t>(
            std::count_if(sends_by_part_.begin(), sends_by_part_.end(),
                          [&](const auto& it) { return it.second == part && it.first > from; }));
    }

    std::size_t deadly_crashes() const { return deadly_crashes_.size(); }

    /// \returns the part of the sound requests that were sent on, of those since `reset_counts`.
    double sound_share() const {
        return static_cast<double>(sound_sent_) / static_cast<double>(std::max(1, sound_));
    }

    /// \returns the part of the sound requests whose answers came to their end, of those that did
    /// or were lost.
    double complete_share() const {
        return static_cast<double>(complete_) / static_cast<double>(std::max(1, complete_ + lost_));
    }

    void reset_counts() { sound_ = sound_sent_ = messages_ = complete_ = lost_ = 0; }

    int messages() const { return messages_; }

private:
    static constexpr duration step = 10 * ms;
    static constexpr double step_s = 0.01;
    static constexpr duration contact = 3 * second;
    static constexpr duration first_answer_time = 300 * ms;

    struct instance {
        coordination::part_suspicions suspicions{{}};
        instant frozen_until;
        instant cut_until;
        instant disturbed_until;
        instant repeated_at;
    };

    struct server {
        instant down_until;
        std::uint64_t run = 1;
        double slowness = 1;
    };

    struct open_request {
        std::size_t instance = 0;
        std::vector<std::string> parts;
        bool deadly = false;
        int attempts = 0;
        duration answer_length{};
        std::string trial_part;
        std::size_t server = 0;
        std::uint64_t run = 0;
        instant begins_at; ///< Its answer.
        instant ends_at;   ///< Its answer, or the run of the server that it crashes.
        coordination::answer_progress reported;

        coordination::answer_progress progress(instant now) const {
            return now < begins_at ? coordination::answer_progress()
                                   : coordination::answer_progress::begun(now - begins_at);
        }
    };

    struct news {
        std::size_t to = 0;
        std::vector<std::pair<std::string, coordination::part_evidence>> parts;
    };

    bool running(std::size_t i) const { return instances_[i].frozen_until <= now_; }

    bool connected(std::size_t a, std::size_t b) const {
        return a == b || (instances_[a].cut_until <= now_ && instances_[b].cut_until <= now_ &&
                          running(a) && running(b));
    }

    /// The peer that decides on trials: the first connected one in an order that depends on the
    /// part.
    std::size_t decider(std::size_t of, const std::string& part) const {
        auto first = std::hash<std::string>()(part) % instances_.size();
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            auto it = (first + i) % instances_.size();
            if (connected(of, it))
                return it;
        }
        return of;
    }

    void request(bool with_deadly) {
        auto i = random_number(instances_.size());
        if (!running(i))
            return;
        open_request made;
        made.instance = i;
        made.deadly = with_deadly;
        made.parts = {"first" + std::to_string(random_number(options_.shared_parts)),
                      "second" + std::to_string(random_number(100))};
        if (with_deadly && !options_.deadly.empty()) {
            auto it = options_.deadly.begin();
            std::advance(it, random_number(options_.deadly.size()));
            if (options_.repeated)
                made.parts.clear();
            made.parts.push_back(*it);
        }
        if (options_.longest_answer > duration())
            made.answer_length =
                duration(random_() % static_cast<unsigned>(options_.longest_answer.count()));
        sound_ += with_deadly ? 0 : 1;
        bool sent = try_send(std::move(made));
        sound_sent_ += sent && !with_deadly ? 1 : 0;
    }

    /// \returns whether the guard lets the request pass, perhaps as a trial.
    bool pass_guard(open_request& it) {
        using verdict = coordination::part_assessment::verdict;
        auto& own = instances_[it.instance].suspicions;
        auto assessed = own.assess(it.parts, now_);
        if (assessed.result == verdict::blocked)
            return false;
        if (assessed.result == verdict::sound)
            return true;
        auto& at = instances_[decider(it.instance, assessed.part)].suspicions;
        at.merge(assessed.part, own.evidence(assessed.part), now_);
        bool granted = at.try_start_trial(assessed.part, now_);
        own.merge(assessed.part, at.evidence(assessed.part), now_);
        it.trial_part = granted ? assessed.part : std::string();
        return granted;
    }

    bool try_send(open_request it) {
        if (!pass_guard(it))
            return false;
        it.server = random_number(servers_.size());
        for (std::size_t n = 0; n < servers_.size() && servers_[it.server].down_until > now_; ++n)
            it.server = (it.server + 1) % servers_.size();
        const auto& target = servers_[it.server];
        if (target.down_until > now_)
            return false;
        if (it.deadly && instances_[it.instance].disturbed_until <= now_) {
            deadly_sends_.push_back(now_);
            sends_by_part_.emplace_back(now_, it.parts.back());
        }
        auto slow = [&](duration time) {
            return duration(std::llround(static_cast<double>(time.count()) * target.slowness));
        };
        bool crashes = is_deadly(it);
        bool begins = !crashes || options_.crash_after >= duration();
        it.run = target.run;
        it.begins_at = begins ? now_ + slow(first_answer_time) : instant::max();
        it.ends_at = now_ + slow(first_answer_time);
        if (begins)
            it.ends_at += slow(crashes ? options_.crash_after : it.answer_length);
        it.reported = {};
        ++it.attempts;
        open_.push_back(std::move(it));
        return true;
    }

    void crash(std::size_t at) {
        auto crashed_run = servers_[at].run++;
        servers_[at].down_until = now_ + 2 * second;
        coordination::crash_mark mark{at * 1'000'000 + crashed_run, now_, {}};
        std::vector<open_request> lost;
        std::erase_if(open_, [&](const auto& it) {
            if (it.server != at || it.run != crashed_run)
                return false;
            lost.push_back(it);
            return true;
        });
        for (const auto& it : lost) {
            auto& own = instances_[it.instance].suspicions;
            bool trial = !it.trial_part.empty() && own.is_suspected(it.trial_part);
            mark.reached = it.progress(now_);
            own.on_crash(it.parts, mark);
            if (trial)
                own.on_trial_failed(it.trial_part, mark);
        }
        for (auto& it : lost) {
            it.trial_part.clear();
            bool sent = it.attempts < options_.attempts && running(it.instance) && try_send(it);
            lost_ += sent || it.deadly ? 0 : 1;
        }
    }

    bool is_deadly(const open_request& it) const {
        return std::any_of(it.parts.begin(), it.parts.end(),
                           [&](const auto& part) { return options_.deadly.contains(part); });
    }

    void finish_requests() {
        std::set<std::size_t> crashed;
        for (const auto& it : open_) {
            if (it.ends_at <= now_ && is_deadly(it) && crashed.insert(it.server).second)
                culprits_.emplace_back(now_, it.parts.back());
        }
        for (auto at : crashed) {
            deadly_crashes_.push_back(now_);
            crash(at);
        }
        std::erase_if(open_, [&](auto& it) {
            if (it.begins_at > now_ || !running(it.instance))
                return false;
            bool complete = it.ends_at <= now_ && !is_deadly(it);
            auto reached = complete ? coordination::answer_progress::complete() : it.progress(now_);
            if (reached > it.reported)
                instances_[it.instance].suspicions.on_answer(it.parts, reached, now_);
            it.reported = reached;
            complete_ += complete && !it.deadly ? 1 : 0;
            return complete;
        });
    }

    void send(std::size_t from, const std::vector<std::string>& parts, std::size_t peers) {
        if (parts.empty())
            return;
        news made;
        for (const auto& part : parts)
            made.parts.emplace_back(part, instances_[from].suspicions.evidence(part));
        for (std::size_t n = 0; n < peers; ++n) {
            made.to = random_number(instances_.size());
            ++messages_;
            bool lost = std::uniform_real_distribution<>(0, 1)(random_) < options_.loss;
            if (!lost && made.to != from && connected(from, made.to))
                sent_.push_back(made);
        }
    }

    void deliver() {
        for (const auto& it : std::exchange(sent_, {})) {
            if (!running(it.to))
                continue;
            for (const auto& [part, evidence] : it.parts)
                instances_[it.to].suspicions.merge(part, evidence, now_);
        }
    }

    void tick(std::size_t i) {
        auto& it = instances_[i];
        it.suspicions.expire(now_);
        send(i, it.suspicions.take_changed(24), 4);
        if (now_ - it.repeated_at < 500 * ms)
            return;
        it.repeated_at = now_;
        send(i, it.suspicions.active(24), 2);
    }

    options options_;
    std::mt19937 random_;
    instant now_ = start;
    std::vector<instance> instances_;
    std::vector<server> servers_;
    std::vector<open_request> open_;
    std::vector<news> sent_;
    std::vector<instant> deadly_crashes_;
    std::vector<instant> deadly_sends_;
    std::vector<std::pair<instant, std::string>> culprits_;      ///< Time and part of each crash.
    std::vector<std::pair<instant, std::string>> sends_by_part_; ///< Of deadly requests.
    int sound_ = 0;
    int sound_sent_ = 0;
    int messages_ = 0;
    int complete_ = 0;
    int lost_ = 0;
};

} // namespace azureyoke
