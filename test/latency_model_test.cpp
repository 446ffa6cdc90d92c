// Guards against large prompts that are refused for good: the fixed delay of small ones raised
// their estimate, and only the answer to a large prompt could have lowered it.
#include "azureyoke/src/coordination/latency_model.h"

#include <random>

#include <criterion/criterion.h>

using namespace azureyoke;
using namespace azureyoke::coordination;

namespace {

constexpr instant start{std::chrono::seconds(100)};
constexpr duration ms = std::chrono::milliseconds(1);

/// A server whose first token comes after a fixed delay and a time in proportion to the nominal
/// one, and callers who send it small and large prompts.
struct sized_load {
    double fixed_ms = 0;
    double rate = 1;
    double limit_ms = 2000;
    latency_model model{};
    instant now = start;

    double time_of(double nominal_ms) const { return fixed_ms + rate * nominal_ms; }

    /// \returns whether the prompt was sent. Its answer is observed at once.
    bool send(double nominal_ms, double extra_ms = 0) {
        if (model.predict(nominal_ms, now) > limit_ms)
            return false;
        model.observe(nominal_ms, time_of(nominal_ms) + extra_ms, now);
        return true;
    }
};

} // namespace

Test(latency_model, fixed_delay_of_small_prompts_is_not_multiplied_for_large_ones) {
    sized_load load{.fixed_ms = 90};
    for (int i = 0; i < 200; ++i) {
        load.now += 50 * ms;
        load.send(10);
    }
    cr_expect_float_eq(load.model.predict(10, load.now), 100, 10);
    cr_expect_lt(load.model.predict(1500, load.now), load.time_of(1500));
}

Test(latency_model, rate_of_a_slow_server_is_learned_from_its_answers) {
    sized_load load{.fixed_ms = 20, .rate = 4, .limit_ms = 10'000};
    for (int i = 0; i < 200; ++i) {
        load.now += 50 * ms;
        load.send(10 + 20 * (i % 20));
    }
    cr_expect_float_eq(load.model.predict(1000, load.now), 4020, 800);
}

Test(latency_model, estimate_that_refuses_large_prompts_fades_while_none_is_sent) {
    sized_load load{.fixed_ms = 20};
    load.model.observe(1000, 9000, load.now); // one that met a stopped server
    load.model.observe(1000, 9000, load.now);
    cr_assert_not(load.send(1500));
    for (int i = 0; i < 400 && !load.send(1500); ++i) {
        load.now += 50 * ms;
        load.send(10);
    }
    cr_expect_lt(load.now, start + std::chrono::seconds(10));
}

// Of the prompts that a server can answer in half of the limit, at least half must be sent,
// whatever its delay and rate, and although it stands still from time to time.
Test(latency_model, prompts_of_all_sizes_are_sent_to_servers_that_can_answer_them) {
    std::mt19937 random(1);
    auto between = [&](double low, double high) {
        return std::uniform_real_distribution<>(low, high)(random);
    };
    for (int world = 0; world < 300; ++world) {
        sized_load load{.fixed_ms = between(0, 200), .rate = between(0.3, 3)};
        int large = 0;
        int sent = 0;
        for (int i = 0; i < 1200; ++i) {
            load.now += 50 * ms;
            double extra_ms = i % 200 < 10 ? 2000 : 0;
            load.send(between(5, 30), extra_ms);
            double nominal_ms = between(300, 3000);
            if (i % 10 != 0 || load.time_of(nominal_ms) > load.limit_ms / 2)
                continue;
            ++large;
            sent += load.send(nominal_ms, extra_ms) ? 1 : 0;
        }
        cr_expect_geq(2 * sent, large, "fixed %.0f ms, rate %.2f: %d of %d sent", load.fixed_ms,
                      load.rate, sent, large);
    }
}
