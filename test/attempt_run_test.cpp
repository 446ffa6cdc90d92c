// Guards against a request that runs twice, or is reported as not run although it ran, when
// instances crash, callers repeat requests, and answers of the table or the service are lost.
#include "azureyoke/src/coordination/attempt_run.h"

#include <map>
#include <memory>
#include <random>
#include <set>

#include <criterion/criterion.h>

#include "standin/fake_table.h"

using namespace azureyoke;
using coordination::attempt_action;
using coordination::attempt_run;
using coordination::attempt_step;
using coordination::attempt_verdict;
using coordination::write_result;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Simulates several instances, one table and one service with faults, in virtual time.
class attempt_simulation {
public:
    explicit attempt_simulation(std::uint64_t seed, bool honours_key = false)
        : random_(seed), table_(time_, seed + 1), honours_key_(honours_key) {}

    /// One caller with one key, which repeats its request at other instances until it is answered.
    void run_caller(const std::string& key, int instance, int repeats_left) {
        start_attempt(key, instance, repeats_left);
    }

    void plan_faults() {
        for (int i = 0; i < 3; ++i) {
            auto at = milliseconds(random_between(0, 400));
            time_.after(at, [this] { table_.set_outage(true); });
            time_.after(at + milliseconds(random_between(1, 150)),
                        [this] { table_.set_outage(false); });
            time_.after(milliseconds(random_between(0, 400)),
                        [this, crashed = random_between(0, 2)] { crash(crashed); });
        }
        table_.set_lost_answers(std::uniform_real_distribution<>(0, 0.4)(random_));
    }

    void run() { time_.run_until(time_.now() + seconds(30)); }

    std::map<std::string, int> runs;
    std::set<std::string> said_not_run;
    std::map<std::string, std::set<std::string>> answers;
    int verdicts = 0;

private:
    struct attempt {
        std::string key;
        int instance = 0;
        int repeats_left = 0;
        std::unique_ptr<attempt_run> run;
        bool alive = true;
    };

    using attempt_ptr = std::shared_ptr<attempt>;

    int random_between(int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random_);
    }

    void crash(int instance) {
        for (auto& it : attempts_) {
            if (it->instance != instance || !it->alive)
                continue;
            it->alive = false;
            // The caller's connection breaks, so the caller repeats its request.
            if (!it->run->answered())
                repeat(*it);
        }
    }

    void repeat(const attempt& it) {
        if (it.repeats_left == 0)
            return;
        time_.after(milliseconds(random_between(1, 60)),
                    [this, key = it.key, next = random_between(0, 2), left = it.repeats_left - 1] {
                        start_attempt(key, next, left);
                    });
    }

    void start_attempt(const std::string& key, int instance, int repeats_left) {
        auto it = std::make_shared<attempt>();
        it->key = key;
        it->instance = instance;
        it->repeats_left = repeats_left;
        it->run = std::make_unique<attempt_run>("attempt-" + std::to_string(++next_attempt_),
                                                "digest", honours_key_);
        attempts_.push_back(it);
        carry_out(it, {it->run->start()});
    }

    void carry_out(const attempt_ptr& it, const std::vector<attempt_action>& actions) {
        for (const auto& action : actions) {
            if (!it->alive)
                return;
            switch (action.step) {
            case attempt_step::write_record:
                table_.write(it->key, action.expected_version, state::to_text(action.record),
                             [this, it](write_result result, std::int64_t version) {
                                 if (it->alive)
                                     carry_out(it, it->run->on_write(result, version));
                             });
                break;
            case attempt_step::read_record:
                table_.read(it->key, [this, it](bool answered, const auto& row) {
                    if (it->alive)
                        carry_out(it, it->run->on_read(answered, row.version,
                                                       state::parse_attempt_record(row.value)));
                });
                break;
            case attempt_step::dispatch:
                dispatch(it);
                break;
            case attempt_step::answer:
                on_verdict(it, action);
                break;
            }
        }
    }

    void dispatch(const attempt_ptr& it) {
        auto fault = random_between(0, 9);
        auto wait = milliseconds(random_between(1, 40));
        if (fault == 0) { // no connection
            time_.after(wait, [this, it] {
                if (it->alive)
                    carry_out(it, it->run->on_service_failure(false, random_between(0, 1) == 1));
            });
            return;
        }
        if (fault == 1) { // the request is lost after bytes were sent
            time_.after(wait, [this, it] {
                if (it->alive)
                    carry_out(it, it->run->on_service_failure(true, true));
            });
            return;
        }
        time_.after(wait, [this, it, fault, wait] {
            if (!honours_key_ || runs[it->key] == 0)
                ++runs[it->key];
            state::stored_answer made{200, "text/plain", it->key + " run 1"};
            bool lost = fault == 2;
            time_.after(wait, [this, it, lost, made] {
                if (it->alive)
                    carry_out(it, lost ? it->run->on_service_failure(true, true)
                                       : it->run->on_service_answer(made));
            });
        });
    }

    void on_verdict(const attempt_ptr& it, const attempt_action& action) {
        ++verdicts;
        if (action.verdict == attempt_verdict::answered) {
            answers[it->key].insert(action.stored.body);
            return;
        }

        if (action.verdict == attempt_verdict::not_run && runs[it->key] > 0)
            said_not_run.insert(it->key);
        repeat(*it);
    }

    std::mt19937_64 random_;
    standin::virtual_time time_;
    standin::fake_table table_;
    bool honours_key_;
    std::vector<attempt_ptr> attempts_;
    int next_attempt_ = 0;
};

} // namespace

Test(attempt_run, ten_thousand_histories_run_each_key_at_most_once) {
    int verdicts = 0;
    int ran = 0;
    for (std::uint64_t seed = 1; seed <= 10'000; ++seed) {
        attempt_simulation simulation(seed);
        simulation.plan_faults();
        // The same key arrives at two instances at the same time, in addition to repeats.
        simulation.run_caller("k", 0, 3);
        simulation.run_caller("k", 1, 3);
        simulation.run_caller("other", 2, 2);
        simulation.run();
        for (const auto& [key, n] : simulation.runs) {
            cr_assert_leq(n, 1, "seed %lu: key %s ran %d times", static_cast<unsigned long>(seed),
                          key.c_str(), n);
            ran += n;
        }
        cr_assert(simulation.said_not_run.empty(),
                  "seed %lu: not-run was reported for a key that ran",
                  static_cast<unsigned long>(seed));
        for (const auto& [key, texts] : simulation.answers)
            cr_assert_eq(texts.size(), 1U, "seed %lu", static_cast<unsigned long>(seed));
        verdicts += simulation.verdicts;
    }
    // The check means something only if many requests run and many verdicts are given.
    cr_assert_gt(verdicts, 20'000);
    cr_assert_gt(ran, 10'000);
}

Test(attempt_run, service_that_honours_keys_may_be_sent_the_request_again) {
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        attempt_simulation simulation(seed, true);
        simulation.plan_faults();
        simulation.run_caller("k", 0, 3);
        simulation.run();
        cr_assert_leq(simulation.runs["k"], 1);
    }
}

Test(attempt_run, own_insert_whose_answer_was_lost_is_recognised) {
    attempt_run run("a1", "d", false);
    (void)run.start();
    auto next = run.on_write(write_result::unknown, 0);
    cr_assert(next.front().step == attempt_step::read_record);
    state::attempt_record own{"a1", "d", state::attempt_phase::started, {}};
    cr_assert(run.on_read(true, 7, own).front().step == attempt_step::dispatch);
}

Test(attempt_run, record_of_a_crashed_attempt_is_never_run_again) {
    attempt_run run("a2", "d", false);
    (void)run.start();
    (void)run.on_write(write_result::conflict, 0);
    state::attempt_record other{"a1", "d", state::attempt_phase::started, {}};
    auto next = run.on_read(true, 7, other);
    cr_assert(next.front().step == attempt_step::answer);
    cr_assert(next.front().verdict == attempt_verdict::in_progress);
}

Test(attempt_run, released_record_may_be_claimed_again) {
    attempt_run run("a2", "d", false);
    (void)run.start();
    (void)run.on_write(write_result::conflict, 0);
    state::attempt_record other{"a1", "d", state::attempt_phase::released, {}};
    auto next = run.on_read(true, 7, other);
    cr_assert(next.front().step == attempt_step::write_record);
    cr_assert_eq(next.front().expected_version, 7);
}

Test(attempt_run, request_with_bytes_sent_is_not_dispatched_again) {
    attempt_run run("a1", "d", false);
    (void)run.start();
    (void)run.on_write(write_result::written, 1);
    auto next = run.on_service_failure(true, true);
    cr_assert(next.front().step == attempt_step::answer);
    cr_assert(next.front().verdict == attempt_verdict::unknown);
}

Test(attempt_run, request_without_bytes_sent_is_answered_not_run) {
    attempt_run run("a", "digest", false);
    (void)run.start();
    auto sent = run.on_write(write_result::written, 1);
    cr_assert(sent.at(0).step == attempt_step::dispatch);
    auto ended = run.on_service_failure(false, false);
    cr_assert(ended.at(0).step == attempt_step::answer);
    cr_assert(ended.at(0).verdict == attempt_verdict::not_run);
    // The key can be used again immediately.
    cr_assert(ended.at(1).step == attempt_step::write_record);
    cr_assert(ended.at(1).record.phase == state::attempt_phase::released);
}
