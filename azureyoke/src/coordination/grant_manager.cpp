#include "azureyoke/src/coordination/grant_manager.h"

#include <algorithm>

#include "azureyoke/src/coordination/share_account.h"

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Smaller differences of a part, in millionths, cause no write.
constexpr std::int64_t min_change = 10'000;

state::share_grant& find_or_insert_grant(state::grant_row& row, const std::string& owner) {
    auto it = std::lower_bound(row.grants.begin(), row.grants.end(), owner,
                               [](const auto& g, const auto& name) { return g.owner < name; });
    if (it == row.grants.end() || it->owner != owner)
        it = row.grants.insert(it, {owner, 0, {}, 0, 0});
    return *it;
}

} // namespace
} // namespace internal

grant_manager::grant_manager(const grant_settings& settings, std::string self,
                             std::uint64_t incarnation)
    : settings_(settings), self_(std::move(self)), incarnation_(incarnation) {}

void grant_manager::set_live_instances(std::set<std::string> names) {
    names.erase(self_);
    if (names == live_)
        return;
    live_ = std::move(names);
    next_read_ = instant(); // the division depends on the live instances
}

std::vector<grant_action> grant_manager::tick(instant now) {
    std::vector<grant_action> actions;
    if (request_pending_ && now - request_sent_ > settings_.answer_timeout) {
        request_pending_ = false;
        write_pending_ = false;
    }
    if (!request_pending_ && now >= next_read_ && !has_left_) {
        request_pending_ = true;
        request_sent_ = now;
        next_read_ = now + settings_.read_interval;
        actions.push_back({grant_step::read_row, 0, 0, {}, {}});
    }
    if (!lessor_.empty() && now >= next_ping_) {
        next_ping_ = now + settings_.ping_interval;
        actions.push_back({grant_step::ping_lessor, 0, 0, {}, lessor_});
    }
    return actions;
}

void grant_manager::on_read_failed() {
    request_pending_ = write_pending_;
}

void grant_manager::update_lessees(const state::grant_row& row, instant now) {
    std::map<std::string, lessee> kept;
    for (const auto& it : row.grants) {
        if (it.lessor != self_)
            continue;
        auto known = lessees_.find(it.owner);
        bool same = known != lessees_.end() && known->second.incarnation == it.incarnation;
        kept.emplace(it.owner, same ? known->second : lessee{it.incarnation, now, false});
    }
    lessees_ = std::move(kept);
}

std::vector<grant_action> grant_manager::on_row(std::int64_t version, const state::grant_row& row,
                                                instant sent, instant now) {
    // The answer is outdated by a write of this instance or by a newer answer.
    if (write_pending_ || version < version_)
        return {};
    request_pending_ = false;
    version_ = version;
    update_lessees(row, now);
    const auto* own = state::find_grant(row, self_);
    if (own != nullptr && own->incarnation == incarnation_) {
        extend_lease(*own, sent);
        adopt_own_grant(row, now);
    } else {
        part_ = 0;
        lessor_.clear();
        lease_end_ = std::min(lease_end_, now);
    }
    auto planned = plan_row(row, now);
    if (planned == row) {
        if (part_ == 0 && !leaving_)
            next_read_ = std::min(next_read_, now + settings_.read_interval_without_part);
        return {};
    }
    // The part that the write gives away must not be spent once the write is sent.
    const auto* after = state::find_grant(planned, self_);
    part_ = std::min(part_, after == nullptr ? 0 : after->part);
    // Once the write is sent, the lessor named in it may reclaim the grant.
    if (after != nullptr && !after->lessor.empty())
        lease_end_ = std::min(lease_end_, now + settings_.lease_duration);
    written_row_ = planned;
    request_pending_ = true;
    request_sent_ = now;
    write_pending_ = true;
    return {{grant_step::write_row, ++last_write_number_, version, std::move(planned), {}}};
}

// A grant without a lessor can be reclaimed only after its owner has ended, so that its lease does
// not expire during an outage of the platform.
void grant_manager::extend_lease(const state::share_grant& own, instant sent) {
    auto renewed_until = sent + settings_.lease_duration;
    if (own.lessor.empty())
        lease_end_ = instant::max();
    else if (lease_end_ == instant::max())
        lease_end_ = renewed_until;
    else
        lease_end_ = std::max(lease_end_, renewed_until);
}

void grant_manager::adopt_own_grant(const state::grant_row& row, instant now) {
    const auto* own = state::find_grant(row, self_);
    part_ = own->part;
    lessor_ = own->lessor;
    if (own->pending == 0)
        pending_usable_from_.reset();
    else if (!pending_usable_from_)
        pending_usable_from_ = now + settings_.lease_duration + settings_.clock_drift_margin;
}

void grant_manager::on_write(std::uint64_t number, write_result result, std::int64_t version,
                             instant now) {
    if (!write_pending_ || number != last_write_number_)
        return;
    request_pending_ = false;
    write_pending_ = false;
    if (result != write_result::written) {
        next_read_ = now; // the row shows whether the write was applied
        return;
    }
    version_ = version;
    update_lessees(written_row_, now);
    const auto* own = state::find_grant(written_row_, self_);
    if (own == nullptr) {
        part_ = 0;
        has_left_ = leaving_;
        return;
    }
    // The table applied the write after it was sent, so that the grant was valid at that time.
    extend_lease(*own, request_sent_);
    adopt_own_grant(written_row_, now);
}

bool grant_manager::may_reclaim(const state::share_grant& grant, instant now) const {
    if (grant.owner == self_)
        return false;
    auto it = lessees_.find(grant.owner);
    if (it != lessees_.end())
        return now - it->second.confirmed > settings_.lease_duration + settings_.clock_drift_margin;
    // Both owner and lessor have ended: only the platform, which ends instances, can report that.
    return ended_.contains(grant.owner) && (grant.lessor.empty() || ended_.contains(grant.lessor));
}

void grant_manager::plan_reclaims(state::grant_row& row, instant now) {
    std::int64_t reclaimed = 0;
    std::erase_if(row.grants, [&](const auto& it) {
        if (!may_reclaim(it, now))
            return false;
        auto known = lessees_.find(it.owner);
        if (known != lessees_.end())
            known->second.reclaiming = true;
        reclaimed += it.part + it.pending;
        return true;
    });
    if (reclaimed == 0)
        return;
    internal::find_or_insert_grant(row, self_).pending += reclaimed;
    pending_usable_from_.reset(); // the wait starts again with the write
}

void grant_manager::plan_return(state::grant_row& row) {
    auto& own = internal::find_or_insert_grant(row, self_);
    // A pending part must not become unallocated: another instance could spend it at once.
    if (own.pending > 0) {
        own.part = 0;
        return;
    }
    std::erase_if(row.grants, [&](const auto& it) { return it.owner == self_; });
}

std::string grant_manager::choose_lessor(const state::grant_row& row) const {
    std::string first_live;
    for (const auto& it : row.grants) {
        if (it.owner == self_ || !live_.contains(it.owner))
            continue;
        if (it.owner > self_)
            return it.owner;
        if (first_live.empty())
            first_live = it.owner;
    }
    return first_live;
}

void grant_manager::plan_own(state::grant_row& row, instant now) {
    auto& own = internal::find_or_insert_grant(row, self_);
    own.incarnation = incarnation_;
    if (own.pending > 0 && pending_usable_from_ && now >= *pending_usable_from_) {
        own.part += own.pending;
        own.pending = 0;
        pending_usable_from_.reset();
    }
    auto even_part = whole_limit_parts / static_cast<std::int64_t>(live_.size() + 1);
    auto unallocated = state::unallocated_part(row);
    bool others_below_even_part = std::any_of(live_.begin(), live_.end(), [&](const auto& name) {
        const auto* it = state::find_grant(row, name);
        return it == nullptr || it->part + it->pending < even_part - internal::min_change;
    });
    if (own.part > even_part + internal::min_change && others_below_even_part)
        own.part = even_part;
    else if (own.part + own.pending < even_part && unallocated > 0)
        own.part += std::min(unallocated, even_part - own.part - own.pending);
    if (own.lessor.empty() || !live_.contains(own.lessor))
        own.lessor = choose_lessor(row);
}

state::grant_row grant_manager::plan_row(const state::grant_row& row, instant now) {
    auto planned = row;
    if (leaving_) {
        if (state::find_grant(row, self_) != nullptr)
            plan_return(planned);
        else
            has_left_ = true;
        return planned;
    }
    plan_reclaims(planned, now);
    plan_own(planned, now);
    return planned;
}

void grant_manager::on_lease_renewed(const std::string& from, instant sent) {
    if (from == lessor_ && part_ > 0)
        lease_end_ = std::max(lease_end_, sent + settings_.lease_duration);
}

bool grant_manager::renew_lease_of(const std::string& owner, std::uint64_t incarnation,
                                   instant now) {
    auto it = lessees_.find(owner);
    if (it == lessees_.end() || it->second.incarnation != incarnation) {
        next_read_ = std::min(next_read_, now); // the row may name this instance by now
        return false;
    }
    if (it->second.reclaiming)
        return false;
    it->second.confirmed = now;
    return true;
}

} // namespace azureyoke::coordination
