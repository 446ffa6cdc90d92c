#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/membership.h"
#include "standin/virtual_time.h"

namespace azureyoke::standin {

struct member_world_options {
    int instances = 8;
    int data_centres = 3;
    double loss = 0;
    std::uint64_t seed = 1;
    coordination::duration latency = std::chrono::milliseconds(1);
};

/// \brief Simulates many `membership` objects over a lossy network in virtual time.
class member_world {
public:
    explicit member_world(const member_world_options& options);
    ~member_world();
    member_world(const member_world&) = delete;
    member_world& operator=(const member_world&) = delete;
    member_world(member_world&&) = delete;
    member_world& operator=(member_world&&) = delete;

    void run_for(coordination::duration wait) { time_.run_until(time_.now() + wait); }

    void pause(int instance, coordination::duration lasts);
    void crash(int instance);
    void leave(int instance);
    void cut_off(int data_centre, bool off);

    /// \returns whether `observer` considers `instance` live.
    bool considers_live(int observer, int instance) const;
    std::size_t live_count(int observer) const;

    /// \returns the number of removals of members that had not crashed, paused or left. Removals
    /// after the first call of `cut_off` are not counted.
    int false_removals() const { return false_removals_; }

    std::uint64_t bytes() const { return bytes_; }

    std::uint64_t datagrams() const { return datagrams_; }

private:
    struct node;

    void tick(node& it);
    void process_outputs(node& it);
    void deliver(int to, const coordination::probe& message);
    static std::string instance_name(int number);

    member_world_options options_;
    virtual_time time_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::map<std::string, int> node_numbers_;
    std::set<int> cut_off_centres_;
    std::set<std::string> disturbed_instances_;
    int false_removals_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t datagrams_ = 0;
};

} // namespace azureyoke::standin
