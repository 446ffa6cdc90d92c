#pragma once

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief What a question for the runs of a backend server tells about one of them.
enum class run_report {
    listed,      ///< The server works on the request.
    not_listed,  ///< The server does not list the request.
    replaced,    ///< The server has started again, or another one has its address.
    unreachable, ///< No connection could be made.
    unanswered   ///< A connection was made, but no usable report came.
};

/// \brief Decides whether a backend server has stopped working on a request that was given up.
///
/// A server may be slow to notice that a connection was closed. Its reports may be `max_report_age`
/// old, and a server that cannot be reached is not waited for. Pure. Not thread safe.
class run_end_check {
public:
    /// Age of the values in a report, at most.
    static constexpr duration max_report_age = std::chrono::seconds(1);
    /// Consecutive failures to connect after which a server counts as unreachable. A single one may
    /// come from a lost packet.
    static constexpr int max_failed_connects = 2;
    static constexpr duration min_interval = std::chrono::milliseconds(200);
    static constexpr duration max_interval = std::chrono::milliseconds(800);

    /// \brief `began` is a time at which the run had begun, or the request been given up.
    explicit run_end_check(instant began) : began_(began) {}

    /// \brief Applies the answer to a question that was asked at `asked`.
    /// \returns whether the run has ended, or the server need not be waited for.
    bool on_report(run_report report, instant asked);

private:
    instant began_;
    int failed_connects_ = 0;
};

} // namespace azureyoke::coordination
