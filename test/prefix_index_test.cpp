// Guards against cache entries that outlive their replica's generation, and against memory growth.
#include "azureyoke/src/state/prefix_index.h"

#include <random>

#include <criterion/criterion.h>

using namespace azureyoke;
using state::prefix_index;

namespace {

const std::vector<state::piece_hash> prefix_hashes = {11, 22, 33};

prefix_index index_with_pieces(state::replica_number replica, std::size_t pieces) {
    prefix_index index(1024);
    for (std::size_t i = 0; i < pieces; ++i)
        index.insert(prefix_hashes[i], replica, 1);
    return index;
}

} // namespace

Test(prefix_index, match_counts_leading_pieces_only) {
    auto index = index_with_pieces(1, 2);
    index.insert(prefix_hashes[2], 2, 1); // no match without the pieces before it
    cr_assert_eq(index.match_length(prefix_hashes, 1), 2U);
    cr_assert_eq(index.match_length(prefix_hashes, 2), 0U);
    auto found = index.match(prefix_hashes);
    cr_assert_eq(found.size(), 1U);
    cr_assert(found[0] == (state::prefix_match{1, 2}));
}

Test(prefix_index, new_generation_drops_entries_of_its_replica_only) {
    auto index = index_with_pieces(1, 3);
    index.insert(prefix_hashes[0], 2, 1);
    index.begin_generation(1);
    cr_assert_eq(index.match_length(prefix_hashes, 1), 0U);
    cr_assert_eq(index.match_length(prefix_hashes, 2), 1U);
    index.insert(prefix_hashes[0], 1, 2);
    cr_assert_eq(index.match_length(prefix_hashes, 1), 1U);
}

Test(prefix_index, generation_wrap_around_restores_no_entries) {
    auto index = index_with_pieces(1, 1);
    for (int i = 0; i < 65'536; ++i)
        index.begin_generation(1);
    cr_assert_eq(index.match_length(prefix_hashes, 1), 0U);
}

Test(prefix_index, horizon_hides_older_entries) {
    prefix_index index(1024);
    index.insert(prefix_hashes[0], 1, 5);
    index.set_horizon(1, 6);
    cr_assert_eq(index.match_length(prefix_hashes, 1), 0U);
    index.insert(prefix_hashes[0], 1, 6);
    cr_assert_eq(index.match_length(prefix_hashes, 1), 1U);
}

Test(prefix_index, erased_piece_does_not_match) {
    auto index = index_with_pieces(1, 2);
    index.erase(prefix_hashes[0], 1);
    cr_assert_eq(index.match_length(prefix_hashes, 1), 0U);
}

Test(prefix_index, memory_is_fixed_and_the_oldest_entries_are_evicted) {
    prefix_index index(1024);
    auto bytes = index.memory_bytes();
    std::mt19937_64 random(1);
    for (state::index_tick i = 1; i <= 100'000; ++i)
        index.insert(random(), 1, i);
    index.insert(prefix_hashes[0], 1, 100'001);
    cr_assert_eq(index.match_length(prefix_hashes, 1), 1U);
    cr_assert_eq(index.memory_bytes(), bytes);
    cr_assert_eq(bytes, index.capacity() * 16);
}
