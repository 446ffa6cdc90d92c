#pragma once

#include <array>
#include <cstddef>

namespace azureyoke::transport {

/// \brief What bytes are held for, as told apart in the metrics.
enum class held_kind {
    request, ///< Heads, bodies, and input that waits behind an open request.
    answer   ///< Answers that are collected or wait for their caller.
};

/// \brief Limit on the bytes that all calls of a process hold together. Not
/// thread safe.
class byte_budget {
public:
    explicit byte_budget(std::size_t limit) : limit_(limit) {}

    std::size_t limit() const { return limit_; }

    std::size_t used() const { return used_; }

    std::size_t used(held_kind kind) const { return by_kind_[static_cast<std::size_t>(kind)]; }

    bool exceeded() const { return used_ > limit_; }

private:
    friend class byte_account;

    std::size_t limit_;
    std::size_t used_ = 0;
    std::array<std::size_t, 2> by_kind_{};
};

/// \brief The bytes that one call holds. The destructor returns them to the budget, which must
/// outlive an account that holds any. Not thread safe.
class byte_account {
public:
    /// Bytes that each call may hold even when the budget is exceeded, so that
    /// calls which hold much do not keep small requests and answers from their
    /// callers.
    static constexpr std::size_t guaranteed_bytes = std::size_t{8} * 1024;

    explicit byte_account(byte_budget& budget, held_kind kind = held_kind::answer)
        : budget_(budget), kind_(kind) {}

    ~byte_account() {
        if (held_ > 0)
            (void)set(0);
    }

    byte_account(const byte_account&) = delete;
    byte_account& operator=(const byte_account&) = delete;
    byte_account(byte_account&&) = delete;
    byte_account& operator=(byte_account&&) = delete;

    /// \brief Records that the call holds `bytes` now.
    /// \returns whether it may; otherwise it must release some.
    bool set(std::size_t bytes) {
        budget_.used_ += bytes - held_;
        budget_.by_kind_[static_cast<std::size_t>(kind_)] += bytes - held_;
        held_ = bytes;
        return bytes <= guaranteed_bytes || !budget_.exceeded();
    }

    std::size_t held() const { return held_; }

    /// \returns whether all other accounts together hold at most half of the
    /// budget. Then this account may exceed the budget, as no other one can at
    /// the same time: a single large request is served also where the budget is
    /// smaller than the request.
    bool others_hold_little() const { return budget_.used_ - held_ <= budget_.limit_ / 2; }

private:
    byte_budget& budget_;
    held_kind kind_;
    std::size_t held_ = 0;
};

} // namespace azureyoke::transport
