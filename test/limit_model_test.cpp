// Model check: a limit shared by three instances under every schedule of two faults. Guards against
// overspending while partitioned instances do not yet count each other as unresponsive: two
// simultaneous partitions once spent 11,325 tokens in 8 s, with 10,050 allowed.
#include "azureyoke/src/coordination/fleet_limit.h"

#include <array>
#include <deque>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::duration;
using coordination::fleet_limit;
using coordination::instant;

namespace {

constexpr duration step = std::chrono::milliseconds(100);
constexpr int instances = 3;
constexpr double rate = 1000;
constexpr double burst = 500;
constexpr double cost = 25;
constexpr int window_steps = 80;
/// Allowed in a window of 8 s: the limit, a tenth more, and a slack that is 0.7 s of the rate on
/// both of the users' deployments.
constexpr double bound = (rate * 8 + burst) * 1.1 + 0.7 * rate;

enum class fault_kind { partition_1s, partition_3s, partition_9s, freeze_1s, freeze_4s, restart };
constexpr std::array<const char*, 6> fault_names = {
    "is partitioned for 1 s", "is partitioned for 3 s", "is partitioned for 9 s",
    "freezes for 1 s",        "freezes for 4 s",        "restarts"};

struct fault {
    int at = 0; ///< Step of the simulation.
    int instance = 0;
    fault_kind kind = fault_kind::partition_1s;
};

/// Instances whose callers always ask for more than the limit.
class limit_world {
public:
    limit_world() {
        for (auto& it : members_)
            it.limit.emplace(settings(), rate, burst, now_);
        for (auto& it : members_) {
            it.last_report.fill(now_);
            it.limit->set_members(instances, 0, now_);
        }
    }

    /// \returns the largest sum spent in any window.
    double run(const std::vector<fault>& faults, int steps) {
        std::deque<double> spent;
        double in_window = 0;
        double max_sum = 0;
        for (int n = 0; n < steps; ++n) {
            now_ += step;
            for (const auto& it : faults) {
                if (it.at == n)
                    inject(it);
            }
            double sum = 0;
            for (auto& it : members_)
                sum += spend(it);
            spent.push_back(sum);
            in_window += sum;
            if (spent.size() > window_steps) {
                in_window -= spent.front();
                spent.pop_front();
            }
            max_sum = std::max(max_sum, in_window);
            for (int from = 0; from < instances; ++from)
                report(from);
        }
        return max_sum;
    }

private:
    struct member {
        std::optional<fleet_limit> limit;
        std::uint64_t incarnation = 1;
        instant partitioned_until;
        instant frozen_until;
        std::array<instant, instances> last_report; ///< By sender.
    };

    static coordination::fleet_limit_settings settings() {
        coordination::fleet_limit_settings limit_settings;
        limit_settings.window = step * window_steps;
        return limit_settings;
    }

    void inject(const fault& it) {
        auto& target = members_[it.instance];
        switch (it.kind) {
        case fault_kind::partition_1s:
            target.partitioned_until = now_ + std::chrono::seconds(1);
            return;
        case fault_kind::partition_3s:
            target.partitioned_until = now_ + std::chrono::seconds(3);
            return;
        case fault_kind::partition_9s:
            target.partitioned_until = now_ + std::chrono::seconds(9);
            return;
        case fault_kind::freeze_1s:
            target.frozen_until = now_ + std::chrono::seconds(1);
            return;
        case fault_kind::freeze_4s:
            target.frozen_until = now_ + std::chrono::seconds(4);
            return;
        case fault_kind::restart:
            ++target.incarnation;
            target.limit.emplace(settings(), rate, burst, now_);
            target.last_report.fill(instant()); // knows its peers and has no report of them
            return;
        }
    }

    double spend(member& it) {
        if (now_ < it.frozen_until)
            return 0;
        int unresponsive = 0;
        for (int from = 0; from < instances; ++from) {
            bool is_peer = &members_[from] != &it;
            unresponsive +=
                is_peer && now_ - it.last_report[from] > coordination::member_unresponsive_timeout
                    ? 1
                    : 0;
        }
        it.limit->set_members(instances, unresponsive, now_);
        double sum = 0;
        while (it.limit->try_acquire(cost, now_))
            sum += cost;
        return sum;
    }

    void report(int from) {
        const auto& sender = members_[from];
        if (now_ < sender.frozen_until || now_ < sender.partitioned_until)
            return;
        for (int to = 0; to < instances; ++to) {
            auto& receiver = members_[to];
            if (to == from || now_ < receiver.partitioned_until || now_ < receiver.frozen_until)
                continue;
            receiver.last_report[from] = now_;
            receiver.limit->on_peer_spent(std::to_string(from), sender.incarnation,
                                          sender.limit->spent(), now_);
        }
    }

    instant now_{std::chrono::hours(1)};
    std::array<member, instances> members_;
};

} // namespace

Test(limit_model, two_faults_at_any_times_stay_within_the_limit) {
    constexpr int fault_times = 20;
    constexpr int gap = 3; // steps between fault times
    constexpr int steps = 160;
    std::vector<fault> list;
    for (int n = 0; n < fault_times; ++n) {
        for (int instance = 0; instance < instances; ++instance) {
            for (std::size_t kind = 0; kind < fault_names.size(); ++kind)
                list.push_back({30 + n * gap, instance, static_cast<fault_kind>(kind)});
        }
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        for (std::size_t j = i; j < list.size(); ++j) {
            auto max_sum = limit_world().run({list[i], list[j]}, steps);
            if (max_sum <= bound)
                continue;
            std::ostringstream schedule;
            for (auto n : {i, j})
                schedule << "  " << list[n].at * 100 << " ms: instance " << list[n].instance << " "
                         << fault_names[static_cast<std::size_t>(list[n].kind)] << "\n";
            cr_assert_fail("%.0f spent in 8 s, %.0f allowed, after\n%s", max_sum, bound,
                           schedule.str().c_str());
        }
    }
}
