#include "azureyoke/src/coordination/permit_issuer.h"

#include <algorithm>

#include <xxhash.h>

namespace azureyoke::coordination {

namespace internal {
namespace {

/// A permit is issued a little early, since clocks and messages are not exact.
constexpr double whole_permit = 0.95;

} // namespace
} // namespace internal

permit_decision permit_issuer::issue(const std::string& server, const std::string& instance,
                                     double per_second, double part, instant now) {
    double rate = per_second * part;
    auto [found, is_new] = buckets_.try_emplace(server);
    auto& it = found->second;
    if (is_new)
        it.filled_at = now; // other instances may have used up the limit just before
    double capacity = settings_.burst_permits + rate * settings_.burst_s;
    it.level = std::min(capacity, it.level + rate * to_seconds(now - it.filled_at));
    it.filled_at = now;
    end_past_visits(it, now);
    if (it.level >= internal::whole_permit) {
        it.level -= 1;
        end_visit(it, instance);
        return {true, {}};
    }
    auto visit = it.visits.find(instance);
    if (visit == it.visits.end()) {
        double missing = 1 - it.level + static_cast<double>(it.visits.size());
        double wait_s = std::min(missing / rate, to_seconds(settings_.max_wait));
        visit = it.visits.emplace(instance, now + from_seconds(wait_s)).first;
        it.visits_by_time.emplace(visit->second, instance);
    }
    return {false, visit->second - now};
}

void permit_issuer::end_visit(bucket& it, const std::string& instance) {
    auto visit = it.visits.find(instance);
    if (visit == it.visits.end())
        return;
    it.visits_by_time.erase({visit->second, instance});
    it.visits.erase(visit);
}

void permit_issuer::end_past_visits(bucket& it, instant now) {
    while (!it.visits_by_time.empty() && it.visits_by_time.begin()->first <= now) {
        it.visits.erase(it.visits_by_time.begin()->second);
        it.visits_by_time.erase(it.visits_by_time.begin());
    }
}

std::vector<std::string> permit_issuer::take_waiting(const std::string& server, instant now) {
    std::vector<std::string> waiting;
    auto found = buckets_.find(server);
    if (found == buckets_.end())
        return waiting;
    end_past_visits(found->second, now);
    for (const auto& [instance, at] : found->second.visits)
        waiting.push_back(instance);
    found->second.visits.clear();
    found->second.visits_by_time.clear();
    return waiting;
}

void permit_issuer::drop_unused(instant now) {
    std::erase_if(buckets_,
                  [&](const auto& it) { return now - it.second.filled_at > settings_.retention; });
}

std::string choose_issuer(const std::vector<std::string>& instances, std::string_view server) {
    auto hash = XXH64(server.data(), server.size(), 0);
    auto score = [&](const std::string& name) { return XXH64(name.data(), name.size(), hash); };
    return *std::max_element(instances.begin(), instances.end(), [&](const auto& a, const auto& b) {
        return std::pair(score(a), a) < std::pair(score(b), b);
    });
}

} // namespace azureyoke::coordination
