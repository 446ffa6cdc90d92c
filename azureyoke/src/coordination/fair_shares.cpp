#include "azureyoke/src/coordination/fair_shares.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace azureyoke::coordination {

void fair_shares::add(const std::string& workspace, double tokens, instant now) {
    if (usages_.size() >= max_workspaces && !usages_.contains(workspace)) {
        std::erase_if(
            usages_, [&](const auto& it) { return it.second.asked.get(fading, now) < min_tokens; });
        if (usages_.size() >= max_workspaces)
            return;
    }
    usages_[workspace].asked.add(tokens, fading, now);
}

void fair_shares::on_asked(const std::string& workspace, double tokens, instant now) {
    add(workspace, tokens, now);
    if (usages_.contains(workspace))
        own_[workspace] += tokens;
}

void fair_shares::on_admitted(const std::string& workspace, double tokens, double fraction,
                              instant now) {
    auto found = usages_.find(workspace);
    if (found != usages_.end())
        found->second.admitted.add(tokens * fraction, fading, now);
}

// The first counter of a workspace only sets the base: it may be old.
void fair_shares::on_peer(const std::string& peer, std::uint64_t incarnation,
                          const std::map<std::string, double>& totals, double all, instant now) {
    auto& known = peers_[peer];
    if (incarnation < known.incarnation)
        return;
    if (incarnation != known.incarnation)
        known = {incarnation, {}, now};
    known.at = now;
    double filled = all < 1 ? level(all, now) : 0; // not needed where nothing is refused
    for (const auto& [workspace, total] : totals) {
        if (known.totals.size() >= max_workspaces && !known.totals.contains(workspace))
            continue;
        auto [found, inserted] = known.totals.try_emplace(workspace, counter{total, now});
        auto& last = found->second;
        bool has_base = !inserted && now - last.at <= counter_validity;
        last.at = now;
        if (total <= last.total)
            continue;
        double rise = total - std::exchange(last.total, total);
        if (!has_base)
            continue;
        add(workspace, rise, now);
        auto used = usages_.find(workspace);
        if (used == usages_.end())
            continue;
        double admitted = all >= 1 ? 1 : fraction_at(filled, used->second, now);
        used->second.admitted.add(rise * admitted, fading, now);
    }
}

void fair_shares::forget_peers(duration retention, instant now) {
    std::erase_if(peers_, [&](const auto& it) { return now - it.second.at > retention; });
}

std::map<std::string, double> fair_shares::totals(std::size_t n, instant now) const {
    std::vector<std::pair<double, const std::string*>> list;
    for (const auto& [workspace, total] : own_) {
        auto found = usages_.find(workspace);
        list.emplace_back(found == usages_.end() ? 0 : found->second.asked.get(fading, now),
                          &workspace);
    }
    std::sort(list.begin(), list.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    std::map<std::string, double> result;
    for (std::size_t i = 0; i < std::min(n, list.size()); ++i)
        result.emplace(*list[i].second, own_.at(*list[i].second));
    return result;
}

// Each workspace is filled up to the same level, counted from what it got in the last seconds, by
// no more than it asked for in as long. Between the points where a workspace begins or ceases to be
// filled the sum is linear in the level.
double fair_shares::level(double all, instant now) const {
    std::vector<std::pair<double, int>> points;
    double left = 0;
    for (const auto& [name, it] : usages_) {
        double asked = it.asked.get(fading, now);
        if (asked < min_tokens)
            continue;
        double admitted = std::min(asked, it.admitted.get(fading, now));
        points.emplace_back(admitted, 1);
        points.emplace_back(admitted + asked, -1);
        left += asked * all;
    }
    std::sort(points.begin(), points.end());
    double at = 0;
    int filling = 0;
    for (const auto& [next, change] : points) {
        double needed = (next - at) * filling;
        if (filling > 0 && needed >= left)
            return at + left / filling;
        left -= needed;
        at = next;
        filling += change;
    }
    return at;
}

double fair_shares::fraction_at(double level, const usage& it, instant now) const {
    double asked = it.asked.get(fading, now);
    if (asked < min_tokens)
        return 1;
    double admitted = std::min(asked, it.admitted.get(fading, now));
    return std::clamp((level - admitted) / asked, 0.0, 1.0);
}

double fair_shares::fraction(const std::string& workspace, double all, instant now) const {
    auto own = usages_.find(workspace);
    if (all >= 1 || own == usages_.end() || own->second.asked.get(fading, now) < min_tokens)
        return all;
    return fraction_at(level(all, now), own->second, now);
}

} // namespace azureyoke::coordination
