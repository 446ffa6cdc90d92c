#include "azureyoke/src/coordination/fair_queue.h"

#include <algorithm>

namespace azureyoke::coordination {

// The flow whose first request has the lowest virtual start time; end when no request is queued.
std::map<std::string, fair_queue::flow>::iterator fair_queue::next_flow() {
    auto best = flows_.end();
    for (auto it = flows_.begin(); it != flows_.end(); ++it) {
        bool has_request = !it->second.queue.empty();
        if (has_request && (best == flows_.end() ||
                            it->second.queue.front().start < best->second.queue.front().start))
            best = it;
    }
    return best;
}

bool fair_queue::push(const queued_request& request, instant now) {
    auto& it = flows_[request.workspace];
    if (it.queue.size() >= settings_.max_queued_per_workspace)
        return false;
    auto start = std::max(virtual_time_, it.finish);
    it.finish = start + static_cast<double>(request.tokens) / std::max(request.weight, 1);
    it.queue.push_back({request, start, now + settings_.longest_wait});
    ++size_;
    return true;
}

std::optional<queued_request> fair_queue::pop() {
    auto it = next_flow();
    if (it == flows_.end())
        return std::nullopt;
    auto first = it->second.queue.front();
    it->second.queue.pop_front();
    --size_;
    virtual_time_ = std::max(virtual_time_, first.start);
    // An empty flow whose finish time is not ahead of virtual time carries no state and is dropped.
    std::erase_if(flows_, [&](const auto& f) {
        return f.second.queue.empty() && f.second.finish <= virtual_time_;
    });
    return first.request;
}

void fair_queue::erase(std::uint64_t number) {
    for (auto& [name, it] : flows_) {
        size_ -= std::erase_if(it.queue, [&](const auto& w) { return w.request.number == number; });
    }
}

std::vector<queued_request> fair_queue::expire(instant now) {
    std::vector<queued_request> expired;
    for (auto& [name, it] : flows_) {
        while (!it.queue.empty() && it.queue.front().deadline <= now) {
            expired.push_back(it.queue.front().request);
            it.queue.pop_front();
            --size_;
        }
    }
    return expired;
}

} // namespace azureyoke::coordination
