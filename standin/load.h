#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "azureyoke/src/transport/http_client.h"

namespace azureyoke::standin {

/// \brief Configuration of an open-loop load of completions whose long prefixes are nested.
struct load_options {
    std::vector<transport::address> targets; ///< Used in rotation; may change during the run.
    std::map<std::string, std::string> keys; ///< By workspace.
    std::string greedy;                      ///< Workspace whose rate is multiplied.
    double greedy_factor = 1;                ///< Multiplier of the greedy workspace's rate.
    double requests_per_second = 50;
    double seconds = 10;
    int tokens = 20;
    std::size_t prompt_bytes = 12'000;
    int prefixes = 20; ///< Number of different prefixes per workspace.
    std::uint64_t seed = 1;
};

/// \brief Measurements of a load from the callers' side; times are in seconds.
struct load_result {
    std::int64_t sent = 0;
    std::int64_t whole = 0;
    std::int64_t broken = 0;                     ///< Neither complete nor ended by an error event.
    std::map<std::string, std::int64_t> refused; ///< By error code.
    double first_token_p50 = 0;
    double first_token_p99 = 0;
    double between_tokens_p50 = 0;
    double between_tokens_p99 = 0;
    std::map<std::string, double> first_token_p99_of; ///< By workspace.
    std::map<std::string, double> refused_share_of;   ///< By workspace.
    double hit_rate = 0; ///< Cached prompt tokens over prompt tokens, as engines report.
};

/// \brief Sends requests for `options.seconds` and waits for every answer.
/// \pre `options` stays valid and at its address until the function returns.
load_result run_load(transport::event_loop& loop, transport::http_client& client,
                     const load_options& options);

std::string to_json(const load_result& result);

/// \brief Processor time and resident memory of a process.
struct process_usage {
    double cpu_seconds = 0;
    std::int64_t resident_bytes = 0;
};

/// \returns the usage of process `pid`, read from /proc.
process_usage read_process_usage(int pid);

} // namespace azureyoke::standin
