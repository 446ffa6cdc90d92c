#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <vector>

#include <gflags/gflags.h>

#include "standin/demo.h"
#include "standin/engine.h"
#include "standin/fault_proxy.h"
#include "standin/load.h"
#include "standin/platform.h"
#include "standin/process_bench.h"
#include "standin/service.h"
#include "standin/soak.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_double(speed, 20'000, "prompt tokens that an engine computes each second");
DEFINE_int64(token_us, 2000, "microseconds between an engine's tokens");
DEFINE_int64(piece_bytes, 8000, "bytes of prompt in one cached piece");
DEFINE_int64(cache_pieces, 512, "pieces that an engine's cache holds");
DEFINE_double(event_loss, 0, "probability that a cache event of an engine is lost");
DEFINE_bool(honours_fence, true, "whether an engine refuses orders with a stale fencing token");
DEFINE_uint64(seed, 1, "seed of the stand-in's random choices");
DEFINE_string(product, "", "the azureyoke program (demo)");
DEFINE_string(directory, "", "an existing folder for settings, documents and logs (demo)");
DEFINE_string(describe, "", "file for the addresses of all processes, as JSON (demo)");
DEFINE_string(targets, "", "IP:PORT[,IP:PORT...] that receive the load in rotation (load)");
DEFINE_string(keys, "", "WORKSPACE=KEY[,WORKSPACE=KEY...] (load)");
DEFINE_string(greedy, "", "workspace whose request rate is multiplied (load)");
DEFINE_double(greedy_factor, 1, "multiplier of the greedy workspace's request rate (load)");
DEFINE_double(rate, 50, "requests a second (load)");
DEFINE_double(seconds, 10, "seconds during which requests are sent (load, soak)");
DEFINE_int32(tokens, 20, "tokens of each answer (load)");
DEFINE_string(only, "", "the one case to run (process-bench)");
DEFINE_bool(keep, false, "keep all processes running until interrupted (demo)");

namespace azureyoke::standin {

namespace internal {
namespace {

template <class Server>
int run(transport::event_loop& loop, Server& server) {
    auto at = transport::parse_address(FLAGS_listen);
    auto bound =
        at ? server.listen(*at) : transport::result<transport::address>(tl::unexpected(at.error()));
    if (!bound) {
        std::cerr << "azureyoke-standin: " << bound.error().what << "\n";
        return 1;
    }
    std::cout << "listening " << transport::to_string(*bound) << std::endl;
    for (int number : {SIGTERM, SIGINT})
        loop.on_signal(number, [&] { loop.stop(); });
    loop.run();
    return 0;
}

int run_engine() {
    engine_options options;
    options.prefill_tokens_per_second = FLAGS_speed;
    options.token_us = FLAGS_token_us;
    options.piece_bytes = FLAGS_piece_bytes;
    options.cache_pieces = static_cast<std::size_t>(FLAGS_cache_pieces);
    options.event_loss = FLAGS_event_loss;
    options.checks_fencing_token = FLAGS_honours_fence;
    options.seed = FLAGS_seed;
    transport::event_loop loop;
    engine server(loop, options);
    return run(loop, server);
}

int run_platform() {
    transport::event_loop loop;
    platform server(loop, FLAGS_seed);
    return run(loop, server);
}

int run_service() {
    transport::event_loop loop;
    service server(loop);
    return run(loop, server);
}

int run_proxy() {
    transport::event_loop loop;
    fault_proxy server(loop);
    return run(loop, server);
}

fleet_options fleet_flags(const std::string& own_path) {
    fleet_options options;
    options.product = FLAGS_product;
    options.standin = own_path;
    options.directory = FLAGS_directory;
    return options;
}

int run_demo_command(const std::string& own_path) {
    auto options = fleet_flags(own_path);
    options.behind_proxy = true;
    return run_demo(options, FLAGS_keep, FLAGS_describe);
}

/// Splits a list at its commas.
std::vector<std::string> split_list(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream list(text);
    std::string part;
    while (std::getline(list, part, ','))
        parts.push_back(part);
    return parts;
}

int run_load_command() {
    load_options options;
    for (const auto& it : split_list(FLAGS_targets)) {
        auto at = transport::parse_address(it);
        if (!at) {
            std::cerr << "azureyoke-standin: " << at.error().what << "\n";
            return 64;
        }
        options.targets.push_back(*at);
    }
    for (const auto& it : split_list(FLAGS_keys)) {
        auto equals = it.find('=');
        if (equals != std::string::npos)
            options.keys[it.substr(0, equals)] = it.substr(equals + 1);
    }
    if (options.targets.empty() || options.keys.empty()) {
        std::cerr << "azureyoke-standin: load needs --targets and --keys\n";
        return 64;
    }
    options.greedy = FLAGS_greedy;
    options.greedy_factor = FLAGS_greedy_factor;
    options.requests_per_second = FLAGS_rate;
    options.seconds = FLAGS_seconds;
    options.tokens = FLAGS_tokens;
    options.seed = FLAGS_seed;
    transport::event_loop loop;
    transport::http_client client(loop, transport::http_client_limits{});
    auto result = run_load(loop, client, options);
    std::cout << to_json(result) << "\n";
    return result.broken == 0 ? 0 : 1;
}

} // namespace
} // namespace internal

int run_standin(const std::string& own_path, const std::string& command) {
    const std::map<std::string, std::function<int()>> commands = {
        {"engine", internal::run_engine},
        {"platform", internal::run_platform},
        {"service", internal::run_service},
        {"proxy", internal::run_proxy},
        {"load", internal::run_load_command},
        {"soak",
         [&] { return run_soak(internal::fleet_flags(own_path), FLAGS_seed, FLAGS_seconds); }},
        {"process-bench",
         [&] { return run_process_bench(internal::fleet_flags(own_path), FLAGS_only); }},
        {"demo", [&] { return internal::run_demo_command(own_path); }}};
    auto it = commands.find(command);
    if (it == commands.end()) {
        std::cerr << "azureyoke-standin: command \"" << command << "\" does not exist\n";
        return 64;
    }
    return it->second();
}

} // namespace azureyoke::standin

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "azureyoke-standin engine|platform|service|proxy|load|demo|process-bench|soak");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return azureyoke::standin::run_standin("/proc/self/exe", argc > 1 ? argv[1] : "");
}
