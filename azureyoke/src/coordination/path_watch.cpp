#include "azureyoke/src/coordination/path_watch.h"

#include <algorithm>

namespace azureyoke::coordination {

bool path_watch::on_reached(instant now) {
    failed_.clear();
    if (!lost())
        return false;
    if (returns_++ == 0)
        first_return_ = now;
    if (returns_ < settings_.return_probes || now - first_return_ < settings_.return_time)
        return false;
    lost_since_.reset();
    returns_ = 0;
    return true;
}

void path_watch::drop_old_failures(instant now) {
    std::erase_if(failed_, [&](const auto& it) { return now - it.second > settings_.failure_age; });
}

bool path_watch::on_unreachable(const std::string& server, std::size_t servers, instant now) {
    returns_ = 0;
    drop_old_failures(now);
    failed_.insert_or_assign(server, now);
    if (lost())
        return false;
    auto first = std::min_element(failed_.begin(), failed_.end(),
                                  [](const auto& a, const auto& b) { return a.second < b.second; });
    bool heard_since = last_heard_ && *last_heard_ > first->second;
    auto needed = heard_since ? std::min(settings_.failed_servers_if_heard, servers)
                              : settings_.failed_servers;
    if (failed_.size() < std::max(needed, settings_.failed_servers) ||
        now - first->second < settings_.min_failing_time)
        return false;
    lost_since_ = now;
    return true;
}

void path_watch::set_waiting(std::size_t requests, instant now) {
    if (requests == 0)
        waiting_since_.reset();
    else if (!waiting_since_)
        waiting_since_ = now;
}

bool path_watch::probe_due(instant now) const {
    if (last_probe_ && now - *last_probe_ < settings_.probe_interval)
        return false;
    if (lost() || !failed_.empty())
        return true;
    if (!waiting_since_ || (last_probe_ && now - *last_probe_ < settings_.silence))
        return false;
    auto quiet_since = last_heard_ ? std::max(*last_heard_, *waiting_since_) : *waiting_since_;
    return now - quiet_since >= settings_.silence;
}

} // namespace azureyoke::coordination
