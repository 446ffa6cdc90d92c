#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/routing_world.h"

namespace azureyoke::bench {

constexpr std::int64_t piece_tokens = 2000;
/// Fraction of a replica's prompt speed that each running stream takes.
constexpr double decode_share = 0.01;
/// Fraction of the prompt speed that remains however many streams run.
constexpr double min_prompt_share = 0.4;

struct routing_world::request {
    int workspace = 0;
    std::size_t router = 0;
    coordination::routed_request routed;
    coordination::placement placed;
    std::int64_t output_tokens = 0;
    std::int64_t uncached_tokens = 0;
    coordination::instant arrival_time;
    bool measured = false;
};

struct routing_world::replica {
    std::size_t number = 0;
    std::string name;
    double speed = 0;
    std::uint64_t incarnation = 1;
    bool up = true;
    std::deque<std::shared_ptr<request>> queue;
    std::shared_ptr<request> prefilling;
    coordination::instant prefill_ends;
    int running_streams = 0;
    std::list<state::piece_hash> lru_order; ///< Least recently used first.
    std::unordered_map<state::piece_hash, std::list<state::piece_hash>::iterator> cache;
    std::uint64_t next_event_number = 1;
    std::size_t capacity_pieces = 0;

    /// \returns the number of leading prompt pieces whose prefix hashes are in the cache.
    std::int64_t cached_pieces(const std::vector<state::piece_hash>& prefix_hashes) const {
        std::int64_t n = 0;
        while (n < static_cast<std::int64_t>(prefix_hashes.size()) &&
               cache.contains(prefix_hashes[static_cast<std::size_t>(n)]))
            ++n;
        return n;
    }

    std::int64_t queued_tokens() const {
        std::int64_t sum = prefilling == nullptr ? 0 : prefilling->uncached_tokens;
        for (const auto& it : queue)
            sum += std::max<std::int64_t>(
                it->routed.prompt_tokens - cached_pieces(it->routed.prefix_hashes) * piece_tokens,
                0);
        return sum;
    }

    double prompt_speed() const {
        return speed * std::max(min_prompt_share, 1 - decode_share * running_streams);
    }
};

} // namespace azureyoke::bench
