#include "azureyoke/src/coordination/stream_bindings.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace azureyoke::coordination {

void stream_bindings::add(const std::string& stream, const stream_binding& binding, instant now) {
    if (bindings_.size() >= settings_.max_bindings)
        expire(now);
    while (bindings_.size() >= settings_.max_bindings && !ends_.empty())
        drop_first();
    auto [entry, inserted] = bindings_.try_emplace(stream, binding);
    if (inserted)
        ends_.emplace(binding.until, stream);
    else if (binding.software == uncertain_software)
        entry->second.software = binding.software;
}

void stream_bindings::drop_first() {
    bindings_.erase(ends_.begin()->second);
    ends_.erase(ends_.begin());
}

void stream_bindings::remove(const std::string& stream) {
    auto found = bindings_.find(stream);
    if (found == bindings_.end())
        return;
    auto [begin, end] = ends_.equal_range(found->second.until);
    auto entry = std::find_if(begin, end, [&](const auto& it) { return it.second == stream; });
    ends_.erase(entry);
    bindings_.erase(found);
}

std::optional<stream_binding> stream_bindings::find(const std::string& stream, instant now) const {
    auto found = bindings_.find(stream);
    if (found == bindings_.end() || found->second.until <= now)
        return std::nullopt;
    return found->second;
}

void stream_bindings::expire(instant now) {
    while (!ends_.empty() && ends_.begin()->first <= now)
        drop_first();
}

std::vector<std::string> choose_keepers(const std::vector<std::string>& instances,
                                        std::string_view stream, std::size_t count) {
    auto hash = XXH64(stream.data(), stream.size(), 1);
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    scored.reserve(instances.size());
    for (const auto& name : instances)
        scored.emplace_back(XXH64(name.data(), name.size(), hash), name);
    auto wanted = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(wanted),
                      scored.end(), std::greater<>());
    std::vector<std::string> keepers;
    for (std::size_t i = 0; i < wanted; ++i)
        keepers.push_back(scored[i].second);
    return keepers;
}

} // namespace azureyoke::coordination
