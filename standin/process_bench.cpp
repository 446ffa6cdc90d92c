#include "standin/process_bench.h"

#include <functional>
#include <iostream>
#include <map>

#include <nlohmann/json.hpp>

#include "standin/completion_call.h"
#include "standin/load.h"
#include "standin/rolling_restart.h"

namespace azureyoke::standin {

using nlohmann::json;

namespace internal {
namespace {

constexpr double restart_phase_seconds = 20;

load_result run_load_at(fleet& it, const std::vector<transport::address>& targets, double rate,
                        double seconds, int tokens = 20) {
    load_options options;
    options.targets = targets;
    options.keys = it.keys();
    options.requests_per_second = rate;
    options.seconds = seconds;
    options.tokens = tokens;
    return run_load(it.loop(), it.client(), options);
}

void print(const std::string& name, json line) {
    line["case"] = name;
    std::cout << line.dump() << std::endl;
}

/// Sends the same load directly to one engine and through one instance, in the same run.
void added_latency(const fleet_options& base) {
    auto options = base;
    options.instances = 1;
    options.data_centres = 1;
    options.engines = 1;
    options.engine_speed = 10'000'000;
    fleet it(options);
    it.start();
    auto& instance = it.instances()[0];
    (void)run_load_at(it, {instance.callers}, 50, 2); // fills the cache and the connection pools
    auto direct_result = run_load_at(it, {it.engines()[0].direct}, 100, 8);
    auto routed_result = run_load_at(it, {instance.callers}, 100, 8);
    print("added_latency", {{"straight", json::parse(to_json(direct_result))},
                            {"routed", json::parse(to_json(routed_result))},
                            {"added_first_token_p50_s",
                             routed_result.first_token_p50 - direct_result.first_token_p50},
                            {"added_first_token_p99_s",
                             routed_result.first_token_p99 - direct_result.first_token_p99}});
}

/// Processor time of one instance per request, less its idle use, at several rates and lengths.
void cost_per_request(const fleet_options& base) {
    auto options = base;
    options.instances = 1;
    options.data_centres = 1;
    options.engines = 4;
    options.engine_speed = 10'000'000;
    fleet it(options);
    it.start();
    auto pid = it.instances()[0].child->pid();
    auto idle_before = read_process_usage(pid);
    auto idle_load = run_load_at(it, {it.instances()[0].callers}, 0.1, 5);
    auto idle = (read_process_usage(pid).cpu_seconds - idle_before.cpu_seconds) / 5;

    struct load_point {
        double rate = 0;
        int tokens = 0;
    };

    for (const auto& at : {load_point{100, 20}, load_point{300, 20}, load_point{100, 100}}) {
        auto before = read_process_usage(pid);
        auto result = run_load_at(it, {it.instances()[0].callers}, at.rate, 6, at.tokens);
        auto used = read_process_usage(pid).cpu_seconds - before.cpu_seconds - idle * 6;
        auto sent = static_cast<double>(result.sent);
        print("cost_per_request", {{"requests_per_second", at.rate},
                                   {"tokens_each", at.tokens},
                                   {"prompt_bytes", 12'000},
                                   {"cpu_us_per_request", 1e6 * used / sent},
                                   {"requests_per_core_second", sent / used},
                                   {"whole", result.whole},
                                   {"sent", result.sent},
                                   {"idle_core_share", idle}});
    }
}

/// Resident memory with few and with many open streams: the slope is the memory per stream.
void memory_per_stream(const fleet_options& base) {
    auto options = base;
    options.instances = 1;
    options.data_centres = 1;
    options.engines = 1;
    options.engine_speed = 100'000'000;
    options.token_us = 1'000'000;
    fleet it(options);
    it.start();
    auto pid = it.instances()[0].child->pid();
    int done = 0;
    int sent = 0;
    auto open_streams = [&](int wanted) {
        for (; sent < wanted; ++sent) {
            it.client().fetch(it.instances()[0].callers,
                              make_request({it.key("returns"), std::string(2000, 'x'), 12, true}),
                              [&](auto) { ++done; });
        }
        (void)it.wait_until([] { return false; }, 1500);
        return read_process_usage(pid).resident_bytes;
    };
    auto few = open_streams(100);
    auto many = open_streams(600);
    print("memory_per_stream", {{"streams_few", 100},
                                {"streams_many", 600},
                                {"resident_bytes_few", few},
                                {"resident_bytes_many", many},
                                {"bytes_per_stream", (many - few) / 500.0}});
    (void)it.wait_until([&] { return done == sent; }, 30'000);
}

/// Measures the other workspaces while one sends at the same rate and at 40 times that rate.
void aggressor(const fleet_options& base) {
    for (double factor : {1.0, 40.0}) {
        auto options = base;
        options.tokens_per_second = 60'000;
        options.burst_tokens = 120'000;
        fleet it(options);
        it.start();
        (void)it.wait_until([] { return false; }, 3000);
        load_options load;
        load.targets = it.callers();
        load.keys = it.keys();
        load.greedy = "returns";
        load.greedy_factor = factor;
        load.requests_per_second = 6 * (4 + factor);
        load.seconds = 10;
        auto result = run_load(it.loop(), it.client(), load);
        print("aggressor", {{"greedy_factor", factor}, {"load", json::parse(to_json(result))}});
    }
}

/// Time to first token and cache hit rate before, during and after a rolling restart under load.
void restart_under_load(const fleet_options& base) {
    auto options = base;
    options.instances = 4;
    options.data_centres = 2;
    options.engines = 6;
    fleet it(options);
    it.start();
    load_options load;
    load.targets = it.callers();
    load.keys = it.keys();
    load.requests_per_second = 40;
    auto run = [&](const std::string& phase, double seconds) {
        load.seconds = seconds;
        ++load.seed;
        auto result = run_load(it.loop(), it.client(), load);
        print("restart_under_load", {{"phase", phase}, {"load", json::parse(to_json(result))}});
    };
    run("warm-up", restart_phase_seconds);
    run("before", restart_phase_seconds);
    rolling_restart restart(it, load.targets);
    run("during", 2 * restart_phase_seconds);
    print("restart_under_load", {{"all_replaced", restart.done()}, {"failed", restart.failed()}});
    run("after", restart_phase_seconds);
}

} // namespace
} // namespace internal

int run_process_bench(const fleet_options& options, const std::string& only) {
    const std::map<std::string, std::function<void(const fleet_options&)>> cases = {
        {"added_latency", internal::added_latency},
        {"aggressor", internal::aggressor},
        {"cost_per_request", internal::cost_per_request},
        {"memory_per_stream", internal::memory_per_stream},
        {"restart_under_load", internal::restart_under_load}};
    if (!only.empty() && !cases.contains(only)) {
        std::cerr << "azureyoke-standin: process-bench has no case \"" << only << "\"\n";
        return 64;
    }
    for (const auto& [name, run] : cases) {
        if (only.empty() || only == name)
            run(options);
    }
    return 0;
}

} // namespace azureyoke::standin
