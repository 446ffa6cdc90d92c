#pragma once

#include <cstddef>

namespace azureyoke::transport {

/// \brief Limit on the bytes that all calls of a process hold together. Not thread safe.
class byte_budget {
public:
    explicit byte_budget(std::size_t limit) : limit_(limit) {}

    std::size_t used() const { return used_; }

    bool exceeded() const { return used_ > limit_; }

private:
    friend class byte_account;

    std::size_t limit_;
    std::size_t used_ = 0;
};

/// \brief The bytes that one call holds. The destructor returns them to the budget, which must
/// outlive the account. Not thread safe.
class byte_account {
public:
    /// Bytes that each call may hold even when the budget is exceeded, so that calls which hold
    /// much do not keep small answers from their callers.
    static constexpr std::size_t guaranteed_bytes = std::size_t{8} * 1024;

    explicit byte_account(byte_budget& budget) : budget_(budget) {}

    ~byte_account() { budget_.used_ -= held_; }

    byte_account(const byte_account&) = delete;
    byte_account& operator=(const byte_account&) = delete;
    byte_account(byte_account&&) = delete;
    byte_account& operator=(byte_account&&) = delete;

    /// \brief Records that the call holds `bytes` now.
    /// \returns whether it may; otherwise it must release some.
    bool set(std::size_t bytes) {
        budget_.used_ += bytes - held_;
        held_ = bytes;
        return bytes <= guaranteed_bytes || !budget_.exceeded();
    }

private:
    byte_budget& budget_;
    std::size_t held_ = 0;
};

} // namespace azureyoke::transport
