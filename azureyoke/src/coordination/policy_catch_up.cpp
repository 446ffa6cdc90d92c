#include "azureyoke/src/coordination/policy_catch_up.h"

#include <algorithm>

namespace azureyoke::coordination {

void policy_catch_up::on_newer_version(instant now) {
    if (behind_since_)
        return;
    behind_since_ = now;
    auto spread = std::uniform_int_distribution<std::int64_t>(0, settings_.spread.count());
    next_request_at_ = now + duration(spread(random_));
}

void policy_catch_up::on_policy() {
    behind_since_.reset();
    needs_whole_ = false;
    failed_.clear();
}

std::optional<policy_request> policy_catch_up::next(std::int64_t own_version,
                                                    const std::vector<policy_source>& sources,
                                                    bool registry_is_sending, instant now) {
    if (!behind_since_ || asking_ || now < next_request_at_)
        return std::nullopt;
    bool whole = needs_whole_ || own_version == 0;
    if (whole && (registry_is_sending || now < *behind_since_ + settings_.whole_delay)) {
        next_request_at_ = now + settings_.recheck;
        return std::nullopt;
    }
    auto list = candidates(own_version, sources, false, now);
    if (list.empty())
        list = candidates(own_version, sources, true, now);
    if (list.empty()) {
        behind_since_.reset(); // the peers with a newer version are gone
        return std::nullopt;
    }
    auto chosen = std::uniform_int_distribution<std::size_t>(0, list.size() - 1)(random_);
    asking_ = true;
    return policy_request{list[chosen]->instance,
                          whole ? policy_content::whole : policy_content::changes};
}

std::vector<const policy_source*>
policy_catch_up::candidates(std::int64_t own_version, const std::vector<policy_source>& sources,
                            bool with_failed, instant now) const {
    std::vector<const policy_source*> list;
    for (const auto& it : sources) {
        auto failed = failed_.find(it.instance);
        bool excluded = failed != failed_.end() && now - failed->second < settings_.exclusion;
        if (it.version > own_version && (with_failed || !excluded))
            list.push_back(&it);
    }
    auto near_end = std::stable_partition(list.begin(), list.end(),
                                          [](const auto* it) { return it->in_own_data_centre; });
    if (near_end != list.begin())
        list.erase(near_end, list.end());
    return list;
}

void policy_catch_up::on_answer(const std::string& instance, policy_answer answer, instant now) {
    asking_ = false;
    next_request_at_ = now + settings_.retry_delay;
    if (answer == policy_answer::failed)
        failed_[instance] = now;
    else if (answer == policy_answer::unavailable)
        needs_whole_ = true;
}

std::optional<instant> policy_catch_up::next_request_at() const {
    return behind_since_ && !asking_ ? std::optional(next_request_at_) : std::nullopt;
}

} // namespace azureyoke::coordination
