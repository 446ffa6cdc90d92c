// Guards against invariants that break only when several faults coincide.
#include <filesystem>
#include <string>

#include <criterion/criterion.h>

#include "standin/soak.h"

using namespace azureyoke;

// A short run of the soak; scripts/soak SEED runs longer. The checked invariants hold at any
// timing.
Test(soak, combined_faults_violate_no_invariant, .timeout = 180) {
    auto pattern = (std::filesystem::temp_directory_path() / "azureyoke-XXXXXX").string();
    std::string directory = mkdtemp(pattern.data());
    standin::fleet_options options;
    options.product = AZUREYOKE_PRODUCT;
    options.standin = AZUREYOKE_STANDIN;
    options.directory = directory;
    auto code = standin::run_soak(options, 7, 20);
    std::filesystem::remove_all(directory);
    cr_assert_eq(code, 0);
}
