// What the instances tell each other about rollouts; the decisions are in
// software_rollout_service.cpp.
#include <algorithm>

#include "azureyoke/src/app/software_rollout_service.h"

namespace azureyoke::app {

bool software_rollout_service::is_over(const rollout& it) const {
    return it.ended_at && loop_.now() - *it.ended_at > retention_;
}

software_message software_rollout_service::message_of(const std::string& service,
                                                      const rollout& it) const {
    auto age = loop_.now() - it.decided.order().begun;
    software_message message{service,
                             it.decided.order().to,
                             std::max<std::int64_t>(0, age / std::chrono::milliseconds(1)),
                             it.decided.state(),
                             it.decided.reason(),
                             it.own,
                             it.begin_known};
    count_running(service, message.evidence);
    return message;
}

std::vector<std::string> software_rollout_service::contents(report_scope /*scope*/) {
    std::vector<std::string> list;
    has_news_ = false;
    for (const auto& [service, it] : rollouts_) {
        if (is_over(it))
            continue;
        auto parts = to_contents(message_of(service, it), max_section_bytes);
        list.insert(list.end(), parts.begin(), parts.end());
    }
    return list;
}

bool software_rollout_service::is_same_order(const rollout& known, transport::duration earlier,
                                             bool begin_known) {
    if (!known.begin_known) // both have read the order late, or the sender knows better
        return begin_known || earlier >= -order_spread;
    return earlier >= -order_spread && earlier <= order_spread;
}

bool software_rollout_service::on_content(const section_sender& sender, std::string_view content) {
    auto message = parse_software_message(content);
    if (!message)
        return false;
    auto found = rollouts_.find(message->service);
    if (found == rollouts_.end() || found->second.decided.order().to != message->to)
        return true; // the order has not arrived here, or not there
    auto& it = found->second;
    if (is_over(it))
        return true;
    auto now = loop_.now();
    auto begun = now - std::chrono::milliseconds(message->age_ms);
    auto earlier = it.decided.order().begun - begun;
    if (!is_same_order(it, earlier, message->begin_known))
        return true; // an earlier or a later order of the same version
    constexpr transport::duration precision = std::chrono::milliseconds(50);
    bool knows_better = message->begin_known && !it.begin_known;
    bool knows_as_much = message->begin_known == it.begin_known;
    if (knows_better || (knows_as_much && earlier > precision))
        it.decided.set_begun(begun);
    it.begin_known = it.begin_known || message->begin_known;
    auto& peer = it.peers[{sender.instance, sender.incarnation}];
    peer.received_at = now;
    auto take = [](coordination::side_counts& side, coordination::side_counts& seen) {
        side.running = seen.running;
        for (auto& [route, counts] : seen.routes)
            side.routes[route] = counts;
        for (auto& [server, counts] : seen.servers)
            side.servers[server] = counts;
    };
    take(peer.evidence.old_side, message->evidence.old_side);
    take(peer.evidence.new_side, message->evidence.new_side);
    it.decided.adopt(message->state, "verdict of " + sender.instance + ": " + message->reason);
    return true;
}

} // namespace azureyoke::app
