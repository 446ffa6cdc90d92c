#include "azureyoke/src/coordination/audit_buffer.h"

#include <algorithm>
#include <map>
#include <utility>

namespace azureyoke::coordination {

void audit_buffer::add(state::audit_entry entry, instant now) {
    if (entries_.empty())
        batch_wait_start_ = now;
    entries_.push_back(std::move(entry));
    if (entries_.size() > settings_.max_entries) {
        entries_.pop_front();
        ++dropped_;
    }
}

std::optional<audit_batch> audit_buffer::next_batch(instant now) {
    if (storing_ || now < retry_at_)
        return std::nullopt;
    if (!current_) {
        bool due = now - batch_wait_start_ >= settings_.max_batch_delay ||
                   entries_.size() >= settings_.max_batch_size;
        if (entries_.empty() || !due)
            return std::nullopt;
        current_.emplace();
        current_->number = next_batch_++;
        if (dropped_ > reported_dropped_) {
            auto drop_report = entries_.front();
            drop_report.what = "audit_dropped";
            drop_report.document.clear();
            drop_report.workspace.clear();
            drop_report.detail =
                std::to_string(dropped_ - reported_dropped_) + " entries were lost";
            current_->entries.push_back(std::move(drop_report));
            reported_dropped_ = dropped_;
        }
        auto count = std::min(entries_.size(), settings_.max_batch_size);
        for (std::size_t i = 0; i < count; ++i) {
            current_->entries.push_back(std::move(entries_.front()));
            entries_.pop_front();
        }
        batch_wait_start_ = now;
    }
    storing_ = true;
    return current_;
}

void audit_buffer::on_stored() {
    storing_ = false;
    current_.reset();
}

void audit_buffer::on_failed(instant now) {
    storing_ = false;
    retry_at_ = now + settings_.retry_delay;
}

namespace internal {
namespace {

/// \returns the name of the workspace of each key.
std::map<state::key_digest, std::string> workspaces_by_key(const state::document* doc) {
    std::map<state::key_digest, std::string> keys;
    if (doc == nullptr)
        return keys;
    for (const auto& workspace : doc->workspaces) {
        for (const auto& key : workspace.keys)
            keys.emplace(key, workspace.name);
    }
    return keys;
}

std::map<std::string, state::rate_limit> limits_by_workspace(const state::document* doc) {
    std::map<std::string, state::rate_limit> limits;
    if (doc == nullptr)
        return limits;
    for (const auto& workspace : doc->workspaces)
        limits.emplace(workspace.name, workspace.limit);
    return limits;
}

std::string text_of(const state::rate_limit& limit) {
    return std::to_string(limit.tokens_per_second) + " tokens/s, burst " +
           std::to_string(limit.burst_tokens);
}

} // namespace
} // namespace internal

std::vector<state::audit_entry> describe_changes(const state::document* before,
                                                 const state::document& after) {
    std::vector<state::audit_entry> list;
    auto add = [&](const char* event, const std::string& workspace, const std::string& detail) {
        list.push_back({0, {}, event, after.name, workspace, detail});
    };
    add("document_in_force", {}, "version " + std::to_string(after.version));
    auto old_keys = internal::workspaces_by_key(before);
    auto new_keys = internal::workspaces_by_key(&after);
    for (const auto& [key, workspace] : new_keys) {
        auto it = old_keys.find(key);
        if (it == old_keys.end() || it->second != workspace)
            add("key_granted", workspace, state::short_digest(key));
    }
    for (const auto& [key, workspace] : old_keys) {
        auto it = new_keys.find(key);
        if (it == new_keys.end() || it->second != workspace)
            add("key_withdrawn", workspace, state::short_digest(key));
    }
    auto old_limits = internal::limits_by_workspace(before);
    for (const auto& [workspace, limit] : internal::limits_by_workspace(&after)) {
        auto it = old_limits.find(workspace);
        if (it == old_limits.end())
            add("workspace_added", workspace, internal::text_of(limit));
        else if (it->second != limit)
            add("limit_changed", workspace,
                internal::text_of(it->second) + " to " + internal::text_of(limit));
        old_limits.erase(workspace);
    }
    for (const auto& [workspace, limit] : old_limits)
        add("workspace_removed", workspace, internal::text_of(limit));
    return list;
}

} // namespace azureyoke::coordination
