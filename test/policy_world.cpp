#include "test/policy_world.h"

namespace azureyoke {

policy_world::policy_world(const policy_world_options& options)
    : options_(options), random_(options.seed),
      answers_(static_cast<std::size_t>(options.instances)) {
    constexpr int large_share = 8;
    versions_[1] = {time_.now(), options.routes, 0};
    for (int i = 0; i < options.instances; ++i) {
        node it(random_());
        it.name = "edge-" + std::to_string(i);
        it.data_centre = (i + i / large_share) % options.data_centres;
        bool is_large = i % large_share == 0;
        constexpr double free_part = 0.6; // of link and processor
        constexpr int small_fleet = 10;
        if (options.instances < small_fleet) {
            it.bytes_per_second = free_part * 125e6;
            it.core = free_part * 0.25;
        } else {
            it.bytes_per_second = free_part * (is_large ? 25e6 : 1.25e6);
            it.core = free_part * (is_large ? 0.5 : 0.12);
        }
        it.version = 1;
        it.peer_versions.assign(static_cast<std::size_t>(options.instances), 1);
        nodes_.push_back(std::move(it));
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        time_.after(duration(static_cast<std::int64_t>(random_() % 500'000)),
                    [this, i] { report(i); });
}

duration policy_world::latency(const node& a, const node& b) const {
    return a.data_centre == b.data_centre ? duration(100) : duration(500);
}

instant policy_world::occupy(instant& until, double seconds) {
    until = std::max(until, time_.now()) + coordination::from_seconds(seconds);
    return until;
}

instant policy_world::transfer(instant& until, double bytes, double bytes_per_second) {
    auto end = occupy(until, bytes / bytes_per_second);
    return std::min(end, time_.now() + coordination::from_seconds(2 * bytes / bytes_per_second));
}

int policy_world::added_between(std::int64_t from, std::int64_t to) const {
    int added = 0;
    for (const auto& [version, it] : versions_)
        added += version > from && version <= to ? it.added : 0;
    return added;
}

double policy_world::read_seconds(const node& it, std::int64_t version) const {
    auto parsed = added_between(it.version, version);
    return (versions_.at(version).routes * known_route_us + parsed * parsed_route_us) / 1e6 /
           it.core;
}

std::int64_t policy_world::change(int added) {
    auto [newest, facts] = *versions_.rbegin();
    auto version = newest + 1;
    versions_[version] = {time_.now(), facts.routes + added, std::max(added, 1)};
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        follow_store(i);
    return version;
}

void policy_world::freeze(int instance, duration length) {
    auto& it = nodes_[static_cast<std::size_t>(instance)];
    it.frozen_until = time_.now() + length;
    it.works_until = std::max(it.works_until, it.frozen_until);
}

void policy_world::cut_from_store(int instance, duration length) {
    auto i = static_cast<std::size_t>(instance);
    nodes_[i].cut_until = time_.now() + length;
    time_.after(length, [this, i] { follow_store(i); });
}

void policy_world::follow_store(std::size_t i) {
    auto& it = nodes_[i];
    auto newest = versions_.rbegin()->first;
    if (it.store_is_sending || it.version >= newest || time_.now() < it.cut_until)
        return;
    it.store_is_sending = true;
    auto bytes = versions_.at(newest).routes * route_bytes * base64_factor;
    auto call = ++it.store_call;
    time_.at(transfer(it.receives_until, bytes, it.bytes_per_second), [this, i, newest, call] {
        auto& reader = nodes_[i];
        if (reader.store_call != call)
            return;
        reader.store_is_sending = false;
        auto work = newest > reader.version ? read_seconds(reader, newest) : 0;
        time_.at(occupy(reader.works_until, work), [this, i, newest] {
            take(i, newest);
            follow_store(i);
        });
    });
}

void policy_world::take(std::size_t i, std::int64_t version) {
    auto& it = nodes_[i];
    if (version <= it.version)
        return;
    it.version = version;
    it.taken_at[version] = time_.now();
    it.catch_up.on_policy();
    for (std::size_t to = 0; to < nodes_.size(); ++to)
        on_report(to, i, version);
    if (*std::max_element(it.peer_versions.begin(), it.peer_versions.end()) > version) {
        it.catch_up.on_newer_version(time_.now());
        schedule(i);
    }
}

void policy_world::report(std::size_t i) {
    constexpr duration report_period = 500 * ms;
    if (time_.now() >= nodes_[i].frozen_until) {
        for (std::size_t to = 0; to < nodes_.size(); ++to)
            on_report(to, i, nodes_[i].version);
    }
    time_.after(report_period, [this, i] { report(i); });
}

void policy_world::on_report(std::size_t to, std::size_t from, std::int64_t version) {
    if (to == from || std::uniform_real_distribution<>()(random_) < options_.loss)
        return;
    auto& it = nodes_[to];
    auto at = std::max(time_.now() + latency(it, nodes_[from]), it.frozen_until);
    time_.at(at, [this, to, from, version] {
        auto& reader = nodes_[to];
        reader.peer_versions[from] = std::max(reader.peer_versions[from], version);
        if (version <= reader.version)
            return;
        reader.catch_up.on_newer_version(time_.now());
        schedule(to);
    });
}

void policy_world::schedule(std::size_t i) {
    if (auto at = nodes_[i].catch_up.next_request_at())
        time_.at(std::max(*at, nodes_[i].frozen_until), [this, i] { request(i); });
}

void policy_world::request(std::size_t i) {
    auto& it = nodes_[i];
    std::vector<coordination::policy_source> sources;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (it.peer_versions[n] > it.version)
            sources.push_back(
                {nodes_[n].name, nodes_[n].data_centre == it.data_centre, it.peer_versions[n]});
    }
    auto next = it.catch_up.next(it.version, sources, it.store_is_sending, time_.now());
    if (!next) {
        schedule(i);
        return;
    }
    auto from = static_cast<std::size_t>(std::stoi(next->instance.substr(5)));
    constexpr duration head_timeout = 500 * ms;
    if (time_.now() < nodes_[from].frozen_until) {
        time_.after(head_timeout, [this, i, name = next->instance] {
            nodes_[i].catch_up.on_answer(name, policy_answer::failed, time_.now());
            schedule(i);
        });
        return;
    }
    time_.after(latency(it, nodes_[from]),
                [this, i, from, content = next->content] { serve(from, i, content); });
}

void policy_world::serve(std::size_t from, std::size_t to, policy_content content) {
    auto& source = nodes_[from];
    auto& it = nodes_[to];
    ++answers_[from];
    auto version = source.version;
    auto changed = added_between(it.version, version) * route_bytes;
    auto whole = versions_.at(version).routes * route_bytes;
    bool known = version - it.version < history_length &&
                 changed <= std::max(small_changes_bytes, whole / 2);
    bool available = content == policy_content::whole || known;
    auto bytes = changes_bytes + changed;
    if (content == policy_content::whole)
        bytes = whole;
    else if (!available)
        bytes = 100;
    bool large = bytes >= min_large_bytes;
    if (large) {
        if (source.large_answers >= max_large_answers) {
            time_.after(latency(it, source), [this, to, name = source.name] {
                nodes_[to].catch_up.on_answer(name, policy_answer::failed, time_.now());
                schedule(to);
            });
            return;
        }
        ++source.large_answers;
    }
    bytes_from_peers_ += bytes;
    constexpr double answer_seconds = 0.5e-3;
    occupy(source.works_until, answer_seconds / source.core);
    auto sent =
        std::max(transfer(source.sends_until, bytes, source.bytes_per_second), source.works_until);
    auto received = std::max(sent, transfer(it.receives_until, bytes, it.bytes_per_second));
    time_.at(received, [this, from, to, name = source.name, version, available, large] {
        nodes_[from].large_answers -= large ? 1 : 0;
        auto& reader = nodes_[to];
        auto work = available && version > reader.version ? read_seconds(reader, version) : 0;
        time_.at(occupy(reader.works_until, work), [this, to, name, version, available] {
            if (available) {
                take(to, version);
                skip_store_answer(to);
            }
            nodes_[to].catch_up.on_answer(
                name, available ? policy_answer::taken : policy_answer::unavailable, time_.now());
            schedule(to);
        });
    });
}

void policy_world::skip_store_answer(std::size_t i) {
    auto& it = nodes_[i];
    if (!it.store_is_sending)
        return;
    ++it.store_call;
    it.store_is_sending = false;
    it.receives_until = time_.now();
    constexpr duration store_call_time = 10 * ms;
    time_.after(store_call_time, [this, i] { follow_store(i); });
}

duration policy_world::last_in_force(std::int64_t version, const std::set<int>& excused) const {
    duration longest{};
    auto since = versions_.at(version).acknowledged_at;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (excused.contains(static_cast<int>(i)))
            continue;
        auto first = nodes_[i].taken_at.lower_bound(version);
        auto at = first == nodes_[i].taken_at.end() ? time_.now() : first->second;
        longest = std::max(longest, at - since);
    }
    return longest;
}

} // namespace azureyoke
