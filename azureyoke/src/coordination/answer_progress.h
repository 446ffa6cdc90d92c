#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstddef>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief How far a server got with its answer, in steps each of which lasts twice as long as all
/// before it. Answers that break off at the same point are at most one step apart when one server
/// is up to twice as slow as the other.
class answer_progress {
public:
    /// Number of the steps, from "not begun" to "complete".
    static constexpr std::size_t steps = 10;

    /// \brief An answer that has not begun.
    constexpr answer_progress() = default;

    /// \returns the progress of an answer that began `elapsed` ago. Thread safe.
    static constexpr answer_progress begun(duration elapsed) {
        std::size_t step = 1;
        for (auto bound = first_step; elapsed >= bound && step < steps - 1; bound *= 2)
            ++step;
        return answer_progress(step);
    }

    static constexpr answer_progress complete() { return answer_progress(steps - 1); }

    /// \returns the progress with this number, at most that of a complete answer. Thread safe.
    static constexpr answer_progress at_step(std::size_t number) {
        return answer_progress(std::min(number, steps - 1));
    }

    constexpr std::size_t step() const { return step_; }

    /// \returns whether this answer passed the point at which the other one ended, also when its
    /// server was half as fast. Thread safe.
    constexpr bool is_beyond(answer_progress other) const {
        return step_ >= std::min(other.step_ + 2, steps - 1) && step_ > other.step_;
    }

    friend auto operator<=>(const answer_progress&, const answer_progress&) = default;

private:
    static constexpr duration first_step = std::chrono::milliseconds(100);

    explicit constexpr answer_progress(std::size_t step) : step_(step) {}

    std::size_t step_ = 0;
};

} // namespace azureyoke::coordination
