#include "azureyoke/src/state/cache_salt.h"

#include <set>

#include "azureyoke/src/state/key_digest.h"

namespace azureyoke::state {

namespace internal {
namespace {

constexpr char mark = '#';
constexpr std::size_t digits = 32; ///< Of the digest of a set.

} // namespace
} // namespace internal

// A shared salt is empty or a mark and hexadecimal digits. A name that could be taken for one gets
// two marks.
std::string shared_cache_salt(const std::vector<forward_workspace>& workspaces) {
    std::set<std::string_view> isolated;
    for (const auto& it : workspaces) {
        if (it.isolated)
            isolated.insert(it.name);
    }
    if (isolated.empty())
        return {};
    std::string text;
    for (auto name : isolated)
        text += std::to_string(name.size()) + ":" + std::string(name);
    return internal::mark + content_digest(text).substr(0, internal::digits);
}

std::string own_cache_salt(std::string_view workspace) {
    bool may_be_shared = workspace.empty() || workspace.front() == internal::mark;
    return std::string(may_be_shared ? 2 : 0, internal::mark) + std::string(workspace);
}

} // namespace azureyoke::state
