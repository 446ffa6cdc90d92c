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
/// Each running stream takes this part of a replica's prompt speed.
constexpr double decode_share = 0.01;
constexpr double least_prompt_share = 0.4;

struct routing_world::request {
    int workspace = 0;
    std::size_t router = 0;
    coordination::routed_request routed;
    coordination::placement placed;
    std::int64_t output_tokens = 0;
    std::int64_t uncached = 0;
    coordination::instant arrived;
    bool counted = false;
};

struct routing_world::replica {
    std::size_t number = 0;
    std::string name;
    double speed = 0;
    std::uint64_t life = 1;
    bool up = true;
    std::deque<std::shared_ptr<request>> queue;
    std::shared_ptr<request> prefilling;
    coordination::instant prefill_ends;
    int running = 0;
    std::list<state::piece_hash> order; ///< Least recently used first.
    std::unordered_map<state::piece_hash, std::list<state::piece_hash>::iterator> cache;
    std::uint64_t next_event = 1;
    std::size_t capacity = 0;

    std::int64_t held(const std::vector<state::piece_hash>& chain) const {
        std::int64_t n = 0;
        while (n < static_cast<std::int64_t>(chain.size()) &&
               cache.contains(chain[static_cast<std::size_t>(n)]))
            ++n;
        return n;
    }

    std::int64_t queued_tokens() const {
        std::int64_t sum = prefilling == nullptr ? 0 : prefilling->uncached;
        for (const auto& it : queue)
            sum += std::max<std::int64_t>(
                it->routed.prompt_tokens - held(it->routed.chain) * piece_tokens, 0);
        return sum;
    }

    double prompt_speed() const {
        return speed * std::max(least_prompt_share, 1 - decode_share * running);
    }
};

} // namespace azureyoke::bench
