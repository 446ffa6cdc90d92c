#include "standin/member_world.h"

#include <algorithm>

#include "azureyoke/src/protocol/peer_messages.h"

namespace azureyoke::standin {

using coordination::duration;
using coordination::instant;

namespace internal {
namespace {

constexpr duration tick_period = std::chrono::milliseconds(25);
/// Size of the UDP header (8 bytes) and the IPv4 header (20 bytes).
constexpr std::uint64_t udp_ip_header_bytes = 28;

} // namespace
} // namespace internal

struct member_world::node {
    int number = 0;
    int data_centre = 0;
    bool running = true;
    instant paused_until;
    std::unique_ptr<coordination::membership> members;
};

std::string member_world::instance_name(int number) {
    return "entry-" + std::to_string(1000 + number);
}

member_world::member_world(const member_world_options& options)
    : options_(options), random_(options.seed) {
    for (int i = 0; i < options.instances; ++i) {
        auto created = std::make_unique<node>();
        created->number = i;
        created->data_centre = i % options.data_centres;
        coordination::member_record self{
            instance_name(i), "dc-" + std::to_string(created->data_centre),
            "10.0.0.1:" + std::to_string(10'000 + i), 1, coordination::member_status::alive};
        node_numbers_[self.address] = i;
        created->members = std::make_unique<coordination::membership>(
            coordination::membership_settings{}, self,
            options.seed + static_cast<std::uint64_t>(i));
        nodes_.push_back(std::move(created));
    }
    for (auto& it : nodes_) {
        for (const auto& other : nodes_)
            it->members->add_seed(other->members->self(), time_.now());
        (void)it->members->take_changes();
        tick(*it);
    }
}

member_world::~member_world() = default;

void member_world::tick(node& it) {
    if (!it.running)
        return;
    auto next = std::max(time_.now() + internal::tick_period, it.paused_until);
    time_.at(next, [this, &it] { tick(it); });
    if (time_.now() < it.paused_until)
        return;
    it.members->tick(time_.now());
    process_outputs(it);
}

void member_world::process_outputs(node& it) {
    for (const auto& change : it.members->take_changes()) {
        if (change.status == coordination::member_status::dead &&
            !disturbed_instances_.contains(change.name))
            ++false_removals_;
    }
    for (const auto& out : it.members->take_probes()) {
        ++datagrams_;
        bytes_ +=
            protocol::encode_probe("fleet", out.message).size() + internal::udp_ip_header_bytes;
        auto found = node_numbers_.find(out.address);
        bool lost = std::uniform_real_distribution<>(0, 1)(random_) < options_.loss;
        if (found == node_numbers_.end() || lost)
            continue;
        auto to = found->second;
        auto from = it.data_centre;
        auto target = nodes_[static_cast<std::size_t>(to)]->data_centre;
        if (from != target &&
            (cut_off_centres_.contains(from) || cut_off_centres_.contains(target)))
            continue;
        time_.after(options_.latency, [this, to, message = out.message] { deliver(to, message); });
    }
}

void member_world::deliver(int to, const coordination::probe& message) {
    auto& it = *nodes_[static_cast<std::size_t>(to)];
    if (!it.running)
        return;
    if (time_.now() < it.paused_until) {
        time_.at(it.paused_until, [this, to, message] { deliver(to, message); });
        return;
    }
    it.members->on_probe(message, time_.now());
    process_outputs(it);
}

void member_world::pause(int instance, duration lasts) {
    disturbed_instances_.insert(instance_name(instance));
    nodes_[static_cast<std::size_t>(instance)]->paused_until = time_.now() + lasts;
}

void member_world::crash(int instance) {
    disturbed_instances_.insert(instance_name(instance));
    nodes_[static_cast<std::size_t>(instance)]->running = false;
}

void member_world::leave(int instance) {
    disturbed_instances_.insert(instance_name(instance));
    auto& it = *nodes_[static_cast<std::size_t>(instance)];
    it.members->announce_leave();
    process_outputs(it);
    it.running = false;
}

void member_world::cut_off(int data_centre, bool off) {
    for (const auto& it : nodes_)
        disturbed_instances_.insert(instance_name(it->number));
    if (off)
        cut_off_centres_.insert(data_centre);
    else
        cut_off_centres_.erase(data_centre);
}

bool member_world::considers_live(int observer, int instance) const {
    auto live = nodes_[static_cast<std::size_t>(observer)]->members->live_members();
    return std::any_of(live.begin(), live.end(),
                       [&](const auto& it) { return it.name == instance_name(instance); });
}

std::size_t member_world::live_count(int observer) const {
    return nodes_[static_cast<std::size_t>(observer)]->members->live_members().size();
}

} // namespace azureyoke::standin
