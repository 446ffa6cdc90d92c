#include "azureyoke/src/coordination/membership.h"

#include <algorithm>
#include <bit>

#include "azureyoke/src/state/prefix_hashes.h"

namespace azureyoke::coordination {

membership::membership(const membership_settings& settings, member_record self, std::uint64_t seed)
    : settings_(settings), self_(std::move(self)), random_(seed) {}

int membership::dissemination_limit() const {
    return settings_.dissemination_factor * static_cast<int>(std::bit_width(members_.size() + 1));
}

// A refutation takes longer to reach all members of a larger group.
duration membership::suspicion_timeout() const {
    auto growth = static_cast<double>(std::bit_width(members_.size() + 1)) / std::bit_width(10U);
    return from_seconds(to_seconds(settings_.base_suspicion_timeout) * std::max(1.0, growth));
}

// In each other data centre, only the `remote_contacts` members with the highest rendezvous scores
// for the name of this instance are probed, so that few instances probe the same remote member.
bool membership::is_probe_target(const member_record& record) const {
    if (record.status == member_status::dead || record.status == member_status::left)
        return false;
    if (record.data_centre == self_.data_centre)
        return true;
    auto score = [&](const member_record& r) {
        return state::rendezvous_score(state::rendezvous_score(0, self_.name), r.name);
    };
    std::size_t higher_scores = 0;
    for (const auto& [name, it] : members_) {
        bool competes = it.record.data_centre == record.data_centre && name != record.name &&
                        it.record.status <= member_status::suspect;
        higher_scores += competes && score(it.record) > score(record) ? 1 : 0;
    }
    return higher_scores < settings_.remote_contacts;
}

void membership::add_seed(const member_record& record, instant now) {
    if (record.name == self_.name || members_.contains(record.name))
        return;
    // All instances read the list, so that the record needs no dissemination.
    member added{record, now, 0};
    added.record.status = member_status::alive;
    members_.emplace(record.name, added);
    changes_.push_back(added.record);
    // Peers must know a new instance before it needs an answer from them.
    if (is_probe_target(added.record))
        send_ping(record.name, now);
}

void membership::set_status(member& known, member_status status, std::uint64_t incarnation,
                            instant now) {
    bool changed = known.record.status != status;
    bool newer = known.record.incarnation != incarnation;
    known.record.status = status;
    known.record.incarnation = incarnation;
    if (!changed && !newer)
        return;
    known.sends_left = dissemination_limit();
    if (!changed)
        return;
    known.changed = now;
    changes_.push_back(known.record);
    // A live suspect must receive the suspicion in time to refute it.
    if (status == member_status::suspect && is_probe_target(known.record))
        send_ping(known.record.name, now);
}

void membership::refute(const member_record& record) {
    if (record.status == member_status::alive || record.incarnation < self_.incarnation ||
        self_.status == member_status::left)
        return;
    self_.incarnation = record.incarnation + 1;
}

void membership::merge_record(const member_record& record, instant now) {
    if (record.name == self_.name) {
        refute(record);
        return;
    }
    auto it = members_.find(record.name);
    if (it == members_.end()) {
        if (record.status != member_status::alive)
            return;
        members_.emplace(record.name, member{record, now, dissemination_limit()});
        changes_.push_back(record);
        return;
    }
    auto& known = it->second;
    bool newer = record.incarnation > known.record.incarnation;
    bool worse =
        record.incarnation == known.record.incarnation && record.status > known.record.status;
    if (!newer && !worse)
        return;
    known.record.address = record.address;
    set_status(known, record.status, record.incarnation, now);
}

std::vector<member_record> membership::next_records_to_send() {
    std::vector<member*> unsent;
    for (auto& [name, it] : members_) {
        if (it.sends_left > 0)
            unsent.push_back(&it);
    }
    // Records that were sent least often go first.
    std::stable_sort(unsent.begin(), unsent.end(),
                     [](const auto* a, const auto* b) { return a->sends_left > b->sends_left; });
    std::vector<member_record> records;
    for (auto* it : unsent) {
        if (records.size() == settings_.max_records_per_probe)
            break;
        --it->sends_left;
        records.push_back(it->record);
    }
    return records;
}

void membership::send(const std::string& address, probe message) {
    message.sender = self_;
    message.records = next_records_to_send();
    probes_.push_back({address, std::move(message)});
}

const membership::member* membership::find_member(const std::string& name) const {
    auto it = members_.find(name);
    return it == members_.end() ? nullptr : &it->second;
}

void membership::send_ping(const std::string& name, instant now) {
    const auto* it = find_member(name);
    if (it == nullptr)
        return;
    auto number = next_number_++;
    pings_.emplace(number, open_ping{name, now});
    probe message;
    message.number = number;
    message.kind = probe_kind::ping;
    // A suspect must receive its own record to refute the suspicion.
    auto record = it->record;
    send(it->record.address, message);
    if (record.status == member_status::suspect)
        probes_.back().message.records.push_back(record);
}

std::string membership::next_probe_target() {
    while (true) {
        if (probe_round_.empty()) {
            for (const auto& [name, it] : members_) {
                if (is_probe_target(it.record))
                    probe_round_.push_back(name);
            }
            std::shuffle(probe_round_.begin(), probe_round_.end(), random_);
            if (probe_round_.empty())
                return {};
        }
        auto name = probe_round_.back();
        probe_round_.pop_back();
        const auto* it = find_member(name);
        if (it != nullptr && it->record.status <= member_status::suspect)
            return name;
    }
}

void membership::probe_indirectly(const std::string& name, std::uint64_t number) {
    std::vector<const member*> relays;
    for (const auto& [other, it] : members_) {
        if (other != name && it.record.status == member_status::alive)
            relays.push_back(&it);
    }
    std::shuffle(relays.begin(), relays.end(), random_);
    relays.resize(std::min(relays.size(), static_cast<std::size_t>(settings_.indirect_probes)));
    for (const auto* it : relays) {
        probe message;
        message.number = number;
        message.kind = probe_kind::ping_request;
        message.target = name;
        send(it->record.address, message);
    }
}

void membership::on_probe(const probe& message, instant now) {
    merge_record(message.sender, now);
    for (const auto& it : message.records)
        merge_record(it, now);
    switch (message.kind) {
    case probe_kind::ping: {
        probe ack;
        ack.number = message.number;
        ack.kind = probe_kind::ack;
        ack.target = message.target;
        send(message.sender.address, ack);
        return;
    }
    case probe_kind::ping_request: {
        const auto* it = find_member(message.target);
        if (it == nullptr)
            return;
        probe relayed;
        relayed.number = message.number;
        relayed.kind = probe_kind::ping;
        relayed.target = message.sender.name;
        send(it->record.address, relayed);
        return;
    }
    case probe_kind::ack: {
        // The ack of a relayed ping is forwarded to the member that requested the ping.
        const auto* requester = message.target.empty() ? nullptr : find_member(message.target);
        if (requester != nullptr) {
            probe forwarded;
            forwarded.number = message.number;
            forwarded.kind = probe_kind::ack;
            send(requester->record.address, forwarded);
            return;
        }
        pings_.erase(message.number);
        return;
    }
    }
}

void membership::tick(instant now) {
    for (auto it = pings_.begin(); it != pings_.end();) {
        auto waited = now - it->second.sent;
        if (!it->second.indirect_sent && waited >= settings_.ack_timeout) {
            it->second.indirect_sent = true;
            probe_indirectly(it->second.name, it->first);
        }
        if (waited < settings_.period) {
            ++it;
            continue;
        }
        auto found = members_.find(it->second.name);
        if (found != members_.end() && found->second.record.status == member_status::alive)
            set_status(found->second, member_status::suspect, found->second.record.incarnation,
                       now);
        it = pings_.erase(it);
    }
    for (auto it = members_.begin(); it != members_.end();) {
        auto& m = it->second;
        auto age = now - m.changed;
        if (m.record.status == member_status::suspect && age >= suspicion_timeout())
            set_status(m, member_status::dead, m.record.incarnation, now);
        bool expired = m.record.status > member_status::suspect && age >= settings_.dead_member_ttl;
        it = expired ? members_.erase(it) : std::next(it);
    }
    if (now < next_probe_ || self_.status == member_status::left)
        return;
    next_probe_ = now + settings_.period;
    auto target = next_probe_target();
    if (!target.empty())
        send_ping(target, now);
}

void membership::announce_leave() {
    self_.status = member_status::left;
    ++self_.incarnation;
    // All members are notified directly. A member that misses the message detects the absence of
    // this instance by probing.
    for (const auto& [name, it] : members_) {
        if (it.record.status <= member_status::suspect) {
            probe message;
            message.number = next_number_++;
            send(it.record.address, message);
        }
    }
}

std::vector<member_record> membership::live_members() const {
    std::vector<member_record> list;
    for (const auto& [name, it] : members_) {
        if (it.record.status <= member_status::suspect)
            list.push_back(it.record);
    }
    return list;
}

} // namespace azureyoke::coordination
