#include "azureyoke/src/state/prefix_hashes.h"

#include <stdexcept>

#include <xxhash.h>

namespace azureyoke::state {

namespace internal {
namespace {

/// Mixes the text's length into the seed, so that ("ab","c") and ("a","bc") hash differently.
/// The factor, 2^64 divided by the golden ratio, spreads the length over all bits.
std::uint64_t hash_with_seed(std::uint64_t seed, std::string_view text) {
    return XXH3_64bits_withSeed(text.data(), text.size(),
                                seed ^ (text.size() * 0x9e3779b97f4a7c15U));
}

} // namespace
} // namespace internal

std::vector<piece_hash> compute_prefix_hashes(const prefix_scope& scope, std::string_view prompt,
                                              std::size_t piece_bytes) {
    if (piece_bytes == 0)
        throw std::invalid_argument("compute_prefix_hashes: piece_bytes must be greater than 0");
    std::uint64_t seed = internal::hash_with_seed(0, scope.workspace);
    seed = internal::hash_with_seed(seed, scope.model);
    seed = internal::hash_with_seed(seed, scope.weights);
    std::vector<piece_hash> hashes;
    hashes.reserve(prompt.size() / piece_bytes);
    for (std::size_t offset = 0; offset + piece_bytes <= prompt.size(); offset += piece_bytes) {
        seed = internal::hash_with_seed(seed, prompt.substr(offset, piece_bytes));
        hashes.push_back(seed);
    }
    return hashes;
}

std::uint64_t rendezvous_score(std::uint64_t key, std::string_view candidate) {
    return internal::hash_with_seed(key, candidate);
}

} // namespace azureyoke::state
