#pragma once

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/policy_catch_up.h"
#include "standin/virtual_time.h"

namespace azureyoke {

using coordination::duration;
using coordination::instant;
using coordination::policy_answer;
using coordination::policy_content;

constexpr duration ms = std::chrono::milliseconds(1);
constexpr duration second = std::chrono::seconds(1);

struct policy_world_options {
    int instances = 65;
    int data_centres = 4;
    int routes = 1440;
    double loss = 0; ///< Part of the datagrams that is lost.
    unsigned seed = 1;
};

/// \brief Instances in virtual time that receive versions of a policy from a store and from each
/// other, on machines as the users' deployments have them: in a fleet of fewer than ten each has
/// 0.25 core and 1,000 Mbit/s; in a larger one, one in eight has half of a core and 200 Mbit/s, the
/// others 0.12 core and 10 Mbit/s. Other work takes a part of both. Links and processors serve one
/// job after the other.
class policy_world {
public:
    explicit policy_world(const policy_world_options& options);

    void run_for(duration time) { time_.run_until(time_.now() + time); }

    /// \brief The store acknowledges a new version with `added` routes more. \returns it.
    std::int64_t change(int added);
    void freeze(int instance, duration length);
    /// \brief The store turns the instance away.
    void cut_from_store(int instance, duration length);

    /// \returns the longest time from the acknowledgement of a version until it or a newer one was
    /// in force, over all instances that were not `excused`; the whole time since then for an
    /// instance that lacks it.
    duration last_in_force(std::int64_t version, const std::set<int>& excused = {}) const;

    /// \returns the largest number of answers that one instance has given to peers.
    int most_answers() const { return *std::max_element(answers_.begin(), answers_.end()); }

    double kilobytes_from_peers() const { return bytes_from_peers_ / 1000; }

private:
    struct node {
        node(std::uint64_t seed) : catch_up({}, seed) {}

        std::string name;
        int data_centre = 0;
        double bytes_per_second = 0;
        double core = 0;
        std::int64_t version = 0;
        std::map<std::int64_t, instant> taken_at;
        std::vector<std::int64_t> peer_versions;
        coordination::policy_catch_up catch_up;
        instant receives_until;
        instant sends_until;
        instant works_until;
        instant frozen_until;
        instant cut_until;
        int large_answers = 0; ///< Under way.
        int store_call = 0;    ///< Number of the call whose answer is valid.
        bool store_is_sending = false;
    };

    struct version_facts {
        instant acknowledged_at;
        int routes = 0;
        int added = 0;
    };

    static constexpr double route_bytes = 230;
    static constexpr double base64_factor = 4.0 / 3;
    static constexpr double changes_bytes = 800;
    static constexpr double small_changes_bytes = 64 * 1024;
    static constexpr double min_large_bytes = 16 * 1024;
    static constexpr int max_large_answers = 3;
    static constexpr int history_length = 4;
    /// Processor time that the product took on one core: for a route of the text that was known,
    /// and for one that had to be parsed.
    static constexpr double known_route_us = 2.5;
    static constexpr double parsed_route_us = 16;

    /// Adds work to what a link or processor does one after the other. \returns its end.
    instant occupy(instant& until, double seconds);
    /// Adds a message to a link. A short one shares the link with a long one.
    instant transfer(instant& until, double bytes, double bytes_per_second);
    double read_seconds(const node& it, std::int64_t version) const;
    int added_between(std::int64_t from, std::int64_t to) const;
    void follow_store(std::size_t i);
    void take(std::size_t i, std::int64_t version);
    void report(std::size_t i);
    void on_report(std::size_t to, std::size_t from, std::int64_t version);
    /// The version came from a peer: its copy from the store is given up.
    void skip_store_answer(std::size_t i);
    void schedule(std::size_t i);
    void request(std::size_t i);
    void serve(std::size_t from, std::size_t to, policy_content content);
    duration latency(const node& a, const node& b) const;

    policy_world_options options_;
    std::mt19937_64 random_;
    standin::virtual_time time_;
    std::vector<node> nodes_;
    std::map<std::int64_t, version_facts> versions_;
    std::vector<int> answers_;
    double bytes_from_peers_ = 0;
};

} // namespace azureyoke
