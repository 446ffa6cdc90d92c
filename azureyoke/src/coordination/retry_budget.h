#pragma once

#include <algorithm>

namespace azureyoke::coordination {

struct retry_settings {
    double share = 0.2;   ///< Retries per request, in the long run.
    double reserve = 10;  ///< Retries available after a period without any.
    int max_attempts = 4; ///< Per request, including the first.

    friend bool operator==(const retry_settings&, const retry_settings&) = default;
};

/// \brief Token bucket that limits retries to a share of requests, so that retries don't multiply
/// the load during a general failure. Not thread safe.
class retry_budget {
public:
    explicit retry_budget(const retry_settings& settings)
        : settings_(settings), tokens_(settings.reserve) {}

    void on_request() { tokens_ = std::min(tokens_ + settings_.share, settings_.reserve); }

    /// \brief Takes one retry from the budget. \returns false when the budget is empty or the
    /// request has already made `attempts` of `max_attempts`.
    bool try_acquire(int attempts) {
        if (attempts >= settings_.max_attempts || tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    retry_settings settings_;
    double tokens_;
};

} // namespace azureyoke::coordination
