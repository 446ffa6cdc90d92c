#include "azureyoke/src/coordination/registry_follower.h"

#include <xxhash.h>

namespace azureyoke::coordination {

namespace internal {
namespace {

/// Smaller data centres have few calls to save, and the loss of one reader is a large part of them.
constexpr std::size_t min_relaying_instances = 8;

} // namespace
} // namespace internal

relay_role choose_relay_role(const std::string& own, std::vector<std::string> names, int readers) {
    if (readers <= 0 || names.size() < internal::min_relaying_instances)
        return relay_role::none;
    auto count = std::min(names.size(), static_cast<std::size_t>(readers));
    auto rank = [](const std::string& name) {
        return std::pair(XXH64(name.data(), name.size(), 0), name);
    };
    auto last_reader = names.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(names.begin(), last_reader, names.end(),
                      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    bool reads = std::find(names.begin(), last_reader, own) != last_reader;
    return reads ? relay_role::reader : relay_role::follower;
}

} // namespace azureyoke::coordination
