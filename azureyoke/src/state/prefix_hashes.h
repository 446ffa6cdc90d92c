#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace azureyoke::state {

/// \brief Hash of a prompt prefix that ends at a piece boundary.
using piece_hash = std::uint64_t;

/// \brief Properties besides the prompt text that must match for a cache entry to be reusable.
struct prefix_scope {
    std::string_view workspace;
    std::string_view model;
    std::string_view weights;
};

/// \brief Computes the prefix hashes of `prompt` at its piece boundaries, shortest prefix first.
///
/// Hash k covers pieces 0 to k and the scope, so that an entry of another workspace or of older
/// weights never matches. A last piece shorter than `piece_bytes` has no hash, because engines
/// cache whole pieces only. Thread safe.
///
/// \pre `piece_bytes` > 0; throws std::invalid_argument otherwise.
std::vector<piece_hash> compute_prefix_hashes(const prefix_scope& scope, std::string_view prompt,
                                              std::size_t piece_bytes);

/// \brief Computes the rendezvous-hashing score of `candidate` for `key`.
///
/// Every instance computes the same scores and so selects the same candidate, the highest-scoring.
std::uint64_t rendezvous_score(std::uint64_t key, std::string_view candidate);

} // namespace azureyoke::state
