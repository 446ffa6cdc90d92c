#include "azureyoke/src/coordination/configuration_manager.h"

#include <algorithm>
#include <stdexcept>

namespace azureyoke::coordination {

namespace internal {
namespace {

constexpr std::size_t max_refusals = 256;

} // namespace
} // namespace internal

configuration_manager::configuration_manager()
    : current_(std::make_shared<state::configuration>(state::configuration::document_list())) {}

offer_result configuration_manager::refuse(const document_copy& copy, offer_status verdict,
                                           std::string reason) {
    offer_result result{verdict, std::move(reason)};
    if (refusals_.size() >= internal::max_refusals)
        refusals_.erase(refusals_.begin());
    refusals_.insert_or_assign(copy.stamp, result);
    return result;
}

offer_result configuration_manager::offer_document(const document_copy& copy) {
    auto held = documents_.find(copy.stamp.name);
    if (held != documents_.end()) {
        const auto& stamp = held->second.copy.stamp;
        if (copy.stamp == stamp)
            return {offer_status::already_held, {}};
        if (copy.stamp.version <= stamp.version)
            return {offer_status::stale,
                    "version " + std::to_string(stamp.version) + " is in force"};
    }
    // Only invalid documents are refused from memory: a conflict ends when the other document
    // changes.
    auto known = refusals_.find(copy.stamp);
    if (known != refusals_.end() && known->second.verdict == offer_status::invalid)
        return known->second;
    if (state::content_digest(copy.text) != copy.stamp.digest)
        return {offer_status::damaged, "the digest does not match the text"};
    auto parsed = state::parse_document(copy.text);
    if (!parsed)
        return refuse(copy, offer_status::invalid, state::to_string(parsed.error().front()));
    if (parsed->name != copy.stamp.name || parsed->version != copy.stamp.version)
        return refuse(copy, offer_status::invalid,
                      "name and version in the text must be those of the row");
    auto conflict = state::find_conflict(*parsed, current_->documents());
    if (!conflict.empty())
        return refuse(copy, offer_status::conflicts, conflict);
    auto document = std::make_shared<const state::document>(std::move(*parsed));
    documents_.insert_or_assign(copy.stamp.name, held_document{copy, std::move(document)});
    rebuild();
    return {offer_status::accepted, {}};
}

void configuration_manager::rebuild() {
    state::configuration::document_list list;
    for (const auto& [name, it] : documents_)
        list.push_back(it.parsed);
    current_ = std::make_shared<const state::configuration>(std::move(list));
}

std::vector<document_stamp> configuration_manager::stamps() const {
    std::vector<document_stamp> list;
    for (const auto& [name, it] : documents_)
        list.push_back(it.copy.stamp);
    return list;
}

const document_copy* configuration_manager::find_copy(const std::string& name) const {
    auto it = documents_.find(name);
    return it == documents_.end() ? nullptr : &it->second.copy;
}

std::vector<std::string>
configuration_manager::names_behind(const std::vector<document_stamp>& stamps) const {
    std::vector<std::string> names;
    for (const auto& it : stamps) {
        const auto* own = find_copy(it.name);
        bool refused = refusals_.contains(it);
        if (!refused && (own == nullptr || own->stamp.version < it.version))
            names.push_back(it.name);
    }
    return names;
}

std::vector<document_stamp>
configuration_manager::stamps_ahead(const std::vector<document_stamp>& stamps) const {
    std::vector<document_stamp> newer;
    for (const auto& [name, it] : documents_) {
        const auto& own = it.copy.stamp;
        bool known = std::any_of(stamps.begin(), stamps.end(), [&](const auto& s) {
            return s.name == own.name && s.version >= own.version;
        });
        if (!known)
            newer.push_back(own);
    }
    return newer;
}

std::string select_platform_reader(const std::vector<std::string>& instances, std::uint64_t round) {
    if (instances.empty())
        throw std::invalid_argument("select_platform_reader: instances must not be empty");
    return *std::max_element(instances.begin(), instances.end(), [&](const auto& a, const auto& b) {
        return state::rendezvous_score(round, a) < state::rendezvous_score(round, b);
    });
}

} // namespace azureyoke::coordination
