#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/grant_manager.h"
#include "azureyoke/src/coordination/share_manager.h"
#include "standin/fake_table.h"
#include "standin/rate_auditor.h"
#include "standin/virtual_time.h"

namespace azureyoke::standin {

struct share_world_options {
    int instances = 8;
    int data_centres = 3;
    state::rate_limit limit{10'000, 20'000};
    std::uint64_t seed = 1;
    double loss = 0;
    double duplication = 0;
    coordination::duration near_latency = std::chrono::microseconds(250);
    coordination::duration far_latency = std::chrono::milliseconds(1);
    double max_drift = 0.005; ///< Largest relative clock drift, fast or slow.
    bool lending = true;
};

/// \brief Simulates the share decisions of several instances over a faulty network, in virtual
/// time.
///
/// Each instance runs the production `grant_manager` and `share_manager`; the network, the clocks
/// and the table are simulated.
class share_world {
public:
    explicit share_world(const share_world_options& options);
    ~share_world();
    share_world(const share_world&) = delete;
    share_world& operator=(const share_world&) = delete;
    share_world(share_world&&) = delete;
    share_world& operator=(share_world&&) = delete;

    /// \brief Runs for `wait`, which must suffice for every instance to get its part of the limit
    /// and for the accounts to fill.
    void warm_up(coordination::duration wait);

    void run_for(coordination::duration wait) { time_.run_until(time_.now() + wait); }

    using done_handler = std::function<void(bool admitted)>;

    /// \brief Requests `tokens`. An admitted request ends after `run_time`, having used `used`
    /// tokens.
    void request(int instance, std::int64_t tokens, std::int64_t used,
                 coordination::duration run_time, done_handler done);

    void pause(int instance, coordination::duration pause_time);
    void crash(int instance);
    /// \brief Replaces the instance by a new process with the same name.
    void restart(int instance);
    /// \brief Cuts a data centre off from the others and from the table, or reconnects it when
    /// `off` is false.
    void cut_off(int data_centre, bool off);
    void set_limit(const state::rate_limit& limit);

    virtual_time& time() { return time_; }

    fake_table& table() { return table_; }

    rate_auditor& auditor() { return auditor_; }

    std::uint64_t messages() const { return messages_; }

    std::int64_t part(int instance) const;

    int instances() const { return options_.instances; }

    /// \returns the number of whole tokens that all running instances together could spend now.
    std::int64_t available();

private:
    struct node;

    struct open_request {
        coordination::instant admitted_at;
        std::int64_t used = 0;
        coordination::duration run_time{};
        done_handler done;
    };

    void start(node& it);
    void tick(node& it, std::uint64_t incarnation);
    void apply_decisions(node& it);
    void run_grant_actions(node& it, const std::vector<coordination::grant_action>& actions);
    void deliver_message(const std::string& from, const std::string& to,
                         const coordination::share_payload& payload);
    /// Runs `call` on the node now, or at the end of its pause; does nothing when the node no
    /// longer runs as `incarnation`.
    void run_on_node(const std::string& name, std::uint64_t incarnation,
                     const std::function<void()>& call);
    void send_message(node& from, const std::string& to, const std::function<void()>& on_arrival);
    bool connected(const node& a, const node& b) const;
    bool draw_chance(double part);
    coordination::instant local_time(const node& it) const;
    void refresh_limits(node& it);
    node& find_node(const std::string& name);

    share_world_options options_;
    virtual_time time_;
    std::mt19937_64 random_;
    fake_table table_;
    rate_auditor auditor_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::set<int> cut_off_centres_;
    std::uint64_t messages_ = 0;
    std::uint64_t next_incarnation_ = 1;
    std::uint64_t next_ticket_ = 1;
};

} // namespace azureyoke::standin
