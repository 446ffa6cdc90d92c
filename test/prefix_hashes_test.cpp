// Guards against equal hashes for prompts of different workspaces, models, weights or prefixes.
#include "azureyoke/src/state/prefix_hashes.h"

#include <criterion/criterion.h>

using namespace azureyoke;

namespace {

const std::string prompt = std::string(100, 'a') + std::string(100, 'b') + "tail";

std::vector<state::piece_hash> hash_prompt(const std::string& workspace, const std::string& model,
                                           const std::string& weights,
                                           const std::string& text = prompt) {
    return state::compute_prefix_hashes({workspace, model, weights}, text, 100);
}

} // namespace

Test(prefix_hashes, only_whole_pieces_have_a_hash) {
    cr_assert_eq(hash_prompt("w", "m", "v1").size(), 2U);
    cr_assert(hash_prompt("w", "m", "v1", "short").empty());
}

Test(prefix_hashes, equal_prefixes_have_equal_hashes) {
    auto other = std::string(100, 'a') + std::string(100, 'c');
    auto a = hash_prompt("w", "m", "v1");
    auto b = hash_prompt("w", "m", "v1", other);
    cr_assert_eq(a[0], b[0]);
    cr_assert_neq(a[1], b[1]);
}

Test(prefix_hashes, equal_pieces_with_different_prefixes_have_different_hashes) {
    auto a = hash_prompt("w", "m", "v1", std::string(200, 'a'));
    cr_assert_neq(a[0], a[1]);
}

Test(prefix_hashes, workspace_model_and_weights_change_all_hashes) {
    auto own = hash_prompt("w", "m", "v1");
    for (const auto& other :
         {hash_prompt("x", "m", "v1"), hash_prompt("w", "n", "v1"), hash_prompt("w", "m", "v2"),
          hash_prompt("wm", "", "v1"), hash_prompt("", "wm", "v1")}) {
        cr_assert_neq(own[0], other[0]);
        cr_assert_neq(own[1], other[1]);
    }
}

Test(prefix_hashes, piece_size_of_zero_is_rejected) {
    bool rejected = false;
    try {
        (void)state::compute_prefix_hashes({"w", "m", "v1"}, prompt, 0);
    } catch (const std::invalid_argument& ec) {
        rejected = std::string(ec.what()).find("piece_bytes") != std::string::npos;
    }
    cr_assert(rejected);
}
