// Model check: the rollout leader's lease under every schedule of two or three faults. Guards
// against two leaders that order the same backend server at once or with falling fencing tokens.
#include "azureyoke/src/coordination/table_lease.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::duration;
using coordination::instant;
using coordination::lease_action;
using coordination::lease_step;
using coordination::table_lease;
using coordination::write_result;

namespace {

constexpr duration step = std::chrono::milliseconds(200);
/// Orders of two instances within this time are a violation, since some backend servers do not
/// check fencing tokens.
constexpr duration min_order_gap = std::chrono::seconds(3);
constexpr int instances = 2;

enum class fault_kind {
    freeze_1s,
    freeze_3s,
    freeze_7s,
    restart,
    lose_answer,  ///< The next request is carried out and its answer is lost.
    lose_request, ///< The next request is lost.
    late_1s,      ///< The next request is carried out late and its answer is lost.
    late_4s,
    restore_400ms, ///< The table is restored from a copy of this age, in a new era.
    restore_3s,
    restore_with_stale_connection ///< As `restore_3s`, and this instance reaches the old table for
                                  ///< 600 ms.
};
constexpr std::array<const char*, 11> fault_names = {
    "freezes for 1 s",
    "freezes for 3 s",
    "freezes for 7 s",
    "restarts",
    "loses an answer",
    "loses a request",
    "sends a request that is 1 s late",
    "sends a request that is 4 s late",
    "runs while the table is restored from a copy 400 ms old",
    "runs while the table is restored from a copy 3 s old",
    "reaches the old table for 600 ms while it is restored from a copy 3 s old",
};

struct fault {
    int at = 0; ///< Step of the simulation.
    int instance = 0;
    fault_kind kind = fault_kind::freeze_1s;
};

/// The table that stores the lease, with one row for each era.
struct lease_table {
    struct entry {
        state::lease_row row;
        std::int64_t version = 0;
    };

    std::int64_t era = 1;
    std::int64_t version = 0;
    std::map<std::int64_t, entry> rows; ///< By era.
};

/// Simulates two instances that want the lease, one table, and one backend server that receives the
/// holder's orders, in steps of 200 ms.
class lease_world {
public:
    explicit lease_world(bool tracing) : tracing_(tracing) {
        for (int i = 0; i < instances; ++i)
            instances_[i].lease.emplace(coordination::leader_lease_settings(), name_of(i), 1);
    }

    /// \returns the violated rule, or an empty string.
    std::string run(const std::vector<fault>& faults, int steps) {
        bool restores = std::any_of(faults.begin(), faults.end(), [](const auto& it) {
            return it.kind >= fault_kind::restore_400ms;
        });
        for (int n = 0; n < steps && violation_.empty(); ++n) {
            now_ += step;
            if (restores)
                copies_.push_back(table_);
            for (const auto& it : faults) {
                if (it.at == n)
                    inject(it);
            }
            carry_out_late_requests();
            for (int i = 0; i < instances; ++i)
                act(i);
            check();
        }
        bool held = false;
        for (auto& it : instances_)
            held = held || it.lease->held(now_);
        if (violation_.empty() && !held)
            violation_ = "no instance holds the lease long after the last fault";
        return violation_;
    }

    std::string trace_text() const { return trace_.str(); }

private:
    struct instance_state {
        std::optional<table_lease> lease;
        std::uint64_t incarnation = 1;
        instant frozen_until;
        instant reaches_old_until;
        lease_table old_table;
        std::deque<fault_kind> next_request_faults; ///< One for each request, in order.
        std::deque<std::pair<std::uint64_t, std::function<void(table_lease&)>>> answers;
    };

    struct late_request {
        instant at;
        lease_action action;
    };

    static std::string name_of(int i) { return i == 0 ? "A" : "B"; }

    void trace(const std::string& text) {
        if (tracing_)
            trace_ << "  " << (now_ - start) / std::chrono::milliseconds(1) << " ms: " << text
                   << "\n";
    }

    void inject(const fault& it) {
        auto& target = instances_[it.instance];
        trace(name_of(it.instance) + " " + fault_names[static_cast<std::size_t>(it.kind)]);
        switch (it.kind) {
        case fault_kind::freeze_1s:
        case fault_kind::freeze_3s:
        case fault_kind::freeze_7s: {
            int seconds = it.kind == fault_kind::freeze_1s   ? 1
                          : it.kind == fault_kind::freeze_3s ? 3
                                                             : 7;
            target.frozen_until = now_ + std::chrono::seconds(seconds);
            return;
        }
        case fault_kind::restore_400ms:
            restore_from(2);
            return;
        case fault_kind::restore_with_stale_connection:
            target.reaches_old_until = now_ + std::chrono::milliseconds(600);
            target.old_table = table_;
            restore_from(15);
            return;
        case fault_kind::restore_3s:
            restore_from(15);
            return;
        case fault_kind::restart:
            ++target.incarnation;
            target.answers.clear();
            target.lease.emplace(coordination::leader_lease_settings(), name_of(it.instance),
                                 target.incarnation);
            return;
        default:
            target.next_request_faults.push_back(it.kind);
            return;
        }
    }

    /// Restores the table from the copy `steps` ago. Later writes are lost and their versions
    /// reused.
    void restore_from(std::size_t steps) {
        auto era = table_.era + 1;
        table_ = copies_[copies_.size() - 1 - std::min(steps, copies_.size() - 1)];
        table_.era = era;
    }

    void act(int i) {
        auto& sender = instances_[i];
        if (now_ < sender.frozen_until)
            return;
        while (!sender.answers.empty()) {
            auto [incarnation, call] = sender.answers.front();
            sender.answers.pop_front();
            if (incarnation == sender.incarnation)
                call(*sender.lease);
        }
        sender.lease->set_wanted(true);
        for (const auto& it : sender.lease->tick(now_))
            send(i, it);
        if (sender.lease->held(now_))
            order(i);
    }

    void send(int i, const lease_action& it) {
        auto& sender = instances_[i];
        std::optional<fault_kind> injected;
        if (!sender.next_request_faults.empty()) {
            injected = sender.next_request_faults.front();
            sender.next_request_faults.pop_front();
        }
        if (injected == fault_kind::lose_request)
            return;
        if (injected == fault_kind::late_1s || injected == fault_kind::late_4s) {
            auto wait = std::chrono::seconds(injected == fault_kind::late_1s ? 1 : 4);
            if (it.step == lease_step::write_row)
                late_requests_.push_back({now_ + wait, it});
            return;
        }
        // The connection may still reach the old table.
        auto& table = now_ < sender.reaches_old_until ? sender.old_table : table_;
        if (it.step == lease_step::read_row) {
            const auto& found = table.rows[it.era];
            if (injected != fault_kind::lose_answer)
                sender.answers.emplace_back(
                    sender.incarnation, [this, i, number = it.number,
                                         v = state::record_version{table.era, found.version},
                                         row = found.row](table_lease& lease) {
                        for (const auto& next : lease.on_row(number, v, row, now_))
                            send(i, next);
                    });
            return;
        }
        auto result = write(it, table, i);
        if (injected != fault_kind::lose_answer)
            sender.answers.emplace_back(
                sender.incarnation,
                [number = it.number, result, v = state::record_version{table.era, table.version}](
                    table_lease& lease) { lease.on_write(number, result, v); });
    }

    write_result write(const lease_action& it, lease_table& table, int i) {
        auto& found = table.rows[it.era];
        if (it.expected_version.number != found.version)
            return write_result::conflict;
        found = {it.row, ++table.version};
        trace("the row of era " + std::to_string(it.era) + " names " + it.row.holder + ", fence " +
              std::to_string(it.row.fencing_token) + (i < 0 ? ", carried out late" : "") +
              (&table == &table_ ? "" : ", in the old table"));
        // As in the driver, the result is unknown when the expected version is of another era.
        return it.expected_version.era == table.era ? write_result::written : write_result::unknown;
    }

    void carry_out_late_requests() {
        for (auto it = late_requests_.begin(); it != late_requests_.end();) {
            if (now_ < it->at) {
                ++it;
                continue;
            }
            (void)write(it->action, table_, -1);
            it = late_requests_.erase(it);
        }
    }

    void order(int i) {
        auto fencing_token = instances_[i].lease->fencing_token();
        if (last_leader_ == i && fencing_token >= last_fencing_token_) {
            last_fencing_token_ = fencing_token;
            last_order_ = now_;
            return;
        }
        trace(name_of(i) + " orders with fencing token " + std::to_string(fencing_token));
        if (fencing_token <= last_fencing_token_)
            violation_ = name_of(i) + " orders with fencing token " +
                         std::to_string(fencing_token) + " after " +
                         std::to_string(last_fencing_token_);
        else if (last_leader_ >= 0 && now_ - last_order_ < min_order_gap)
            violation_ = name_of(i) + " orders less than 3 s after the other instance";
        last_leader_ = i;
        last_fencing_token_ = fencing_token;
        last_order_ = now_;
    }

    void check() {
        if (violation_.empty() && instances_[0].lease->held(now_) &&
            instances_[1].lease->held(now_))
            violation_ = "both instances hold the lease";
        if (!violation_.empty())
            trace("VIOLATION: " + violation_);
    }

    static constexpr instant start{std::chrono::hours(1)};

    bool tracing_;
    instant now_ = start;
    std::array<instance_state, instances> instances_;
    std::vector<late_request> late_requests_;
    lease_table table_;
    std::vector<lease_table> copies_; ///< The table at the start of each step.
    int last_leader_ = -1;
    std::int64_t last_fencing_token_ = 0;
    instant last_order_;
    std::string violation_;
    std::ostringstream trace_;
};

/// \returns every fault of each instance at each of `fault_times` times, `gap` steps apart.
std::vector<fault> all_faults(int fault_times, int gap) {
    std::vector<fault> list;
    for (int n = 0; n < fault_times; ++n) {
        for (int instance = 0; instance < instances; ++instance) {
            for (std::size_t kind = 0; kind < fault_names.size(); ++kind)
                list.push_back({n * gap, instance, static_cast<fault_kind>(kind)});
        }
    }
    return list;
}

void expect_no_violation(const std::vector<fault>& faults) {
    // Long enough for the longest freeze after the last fault time and two takeovers.
    constexpr int steps = 130;
    if (lease_world(false).run(faults, steps).empty())
        return;
    lease_world traced(true);
    (void)traced.run(faults, steps);
    cr_assert_fail("a schedule violates the lease:\n%s", traced.trace_text().c_str());
}

} // namespace

Test(lease_model, two_faults_at_any_steps_leave_one_leader_at_a_time) {
    auto list = all_faults(30, 1);
    for (std::size_t i = 0; i < list.size(); ++i) {
        for (std::size_t j = i; j < list.size(); ++j)
            expect_no_violation({list[i], list[j]});
    }
}

Test(lease_model, three_faults_within_six_seconds_leave_one_leader_at_a_time) {
    auto list = all_faults(6, 5);
    for (std::size_t i = 0; i < list.size(); ++i) {
        for (std::size_t j = i; j < list.size(); ++j) {
            for (std::size_t k = j; k < list.size(); ++k)
                expect_no_violation({list[i], list[j], list[k]});
        }
    }
}
