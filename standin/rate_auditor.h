#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/document.h"

namespace azureyoke::standin {

/// \brief Checks a recorded history of requests against a rate limit.
///
/// The guarantee "at most burst + rate x t tokens in any window of length t" holds exactly when a
/// token bucket that starts full and is charged with the history never falls below zero.
class rate_auditor {
public:
    explicit rate_auditor(const state::rate_limit& limit) : limit_(limit) {}

    /// \brief Records that a request admitted at `at` finally used `tokens`.
    void add(coordination::instant at, std::int64_t tokens) { token_uses_.push_back({at, tokens}); }

    /// \returns the largest number of tokens over the limit in any window, or 0 when the limit was
    /// kept.
    double largest_excess() {
        std::stable_sort(token_uses_.begin(), token_uses_.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        auto burst = static_cast<double>(limit_.burst_tokens);
        double bucket_level = burst;
        double largest_excess = 0;
        coordination::instant last;
        for (const auto& it : token_uses_) {
            auto refilled = coordination::to_seconds(it.at - last) *
                            static_cast<double>(limit_.tokens_per_second);
            bucket_level =
                std::min(burst, bucket_level + refilled) - static_cast<double>(it.tokens);
            last = it.at;
            largest_excess = std::max(largest_excess, -bucket_level);
        }
        return largest_excess < rounding_tolerance ? 0 : largest_excess;
    }

    std::int64_t total() const {
        std::int64_t sum = 0;
        for (const auto& it : token_uses_)
            sum += it.tokens;
        return sum;
    }

private:
    static constexpr double rounding_tolerance = 1e-3;

    struct token_use {
        coordination::instant at;
        std::int64_t tokens = 0;
    };

    state::rate_limit limit_;
    std::vector<token_use> token_uses_;
};

} // namespace azureyoke::standin
