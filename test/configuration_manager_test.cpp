// Guards against stale, damaged, invalid or conflicting documents that replace the ones in force.
#include "azureyoke/src/coordination/configuration_manager.h"

#include <set>

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::configuration_manager;
using coordination::document_copy;
using coordination::instant;
using coordination::offer_status;

namespace {

std::string text_of(const std::string& name, int version, const std::string& workspace) {
    return "{\"name\":\"" + name + "\",\"version\":" + std::to_string(version) +
           ",\"data_centres\":[{\"name\":\"dc-a\"}],\"workspaces\":[{\"name\":\"" + workspace +
           "\",\"tokens_per_second\":1,\"burst_tokens\":1}]}";
}

document_copy copy_of(const std::string& name, int version, const std::string& workspace) {
    auto text = text_of(name, version, workspace);
    return {{name, version, state::content_digest(text)}, text};
}

} // namespace

Test(configuration_manager, higher_version_is_accepted_and_a_lower_one_never) {
    configuration_manager manager;
    cr_assert(manager.offer_document(copy_of("d", 2, "w2")).verdict == offer_status::accepted);
    cr_assert(manager.offer_document(copy_of("d", 1, "w1")).verdict == offer_status::stale);
    cr_assert(manager.current_configuration()->find_workspace("w2"));
    cr_assert(manager.offer_document(copy_of("d", 3, "w3")).verdict == offer_status::accepted);
    cr_assert(manager.current_configuration()->find_workspace("w3"));
    cr_assert_not(manager.current_configuration()->find_workspace("w2"));
}

Test(configuration_manager, same_version_with_another_text_changes_nothing) {
    configuration_manager manager;
    (void)manager.offer_document(copy_of("d", 2, "w"));
    cr_assert(manager.offer_document(copy_of("d", 2, "other")).verdict == offer_status::stale);
    cr_assert(manager.current_configuration()->find_workspace("w"));
}

Test(configuration_manager, damaged_text_is_refused_and_the_intact_one_still_accepted) {
    configuration_manager manager;
    auto damaged = copy_of("d", 1, "w");
    damaged.text[5] = 'x';
    cr_assert(manager.offer_document(damaged).verdict == offer_status::damaged);
    cr_assert(manager.offer_document(copy_of("d", 1, "w")).verdict == offer_status::accepted);
}

Test(configuration_manager, invalid_version_leaves_the_earlier_one_in_force) {
    configuration_manager manager;
    (void)manager.offer_document(copy_of("d", 1, "w"));
    std::string text = R"({"name":"d","version":2,"workspaces":[]})";
    document_copy bad{{"d", 2, state::content_digest(text)}, text};
    auto result = manager.offer_document(bad);
    cr_assert(result.verdict == offer_status::invalid);
    cr_assert(result.reason.find("data_centres") != std::string::npos);
    cr_assert(manager.current_configuration()->find_workspace("w"));
    cr_assert_eq(manager.names_behind({bad.stamp}).size(), 0U);
}

Test(configuration_manager, document_that_claims_the_workspace_of_another_is_refused_whole) {
    configuration_manager manager;
    (void)manager.offer_document(copy_of("a", 1, "shared"));
    auto result = manager.offer_document(copy_of("b", 1, "shared"));
    cr_assert(result.verdict == offer_status::conflicts);
    cr_assert(result.reason.find("shared") != std::string::npos);
    cr_assert_null(manager.find_copy("b"));
    // The same document is accepted after the other document has given up the workspace.
    (void)manager.offer_document(copy_of("a", 2, "own"));
    cr_assert(manager.offer_document(copy_of("b", 1, "shared")).verdict == offer_status::accepted);
}

Test(configuration_manager, stamps_show_which_documents_are_behind) {
    configuration_manager older;
    configuration_manager newer;
    (void)older.offer_document(copy_of("a", 1, "w"));
    (void)newer.offer_document(copy_of("a", 2, "w"));
    (void)newer.offer_document(copy_of("b", 1, "x"));
    auto names = older.names_behind(newer.stamps());
    cr_assert_eq(names.size(), 2U);
    cr_assert(newer.names_behind(older.stamps()).empty());
    cr_assert(older.stamps_ahead(newer.stamps()).empty());
    cr_assert_eq(newer.stamps_ahead(older.stamps()).size(), 2U);
    for (const auto& name : names)
        (void)older.offer_document(*newer.find_copy(name));
    cr_assert(older.stamps() == newer.stamps());
}

Test(configuration_manager, all_instances_select_the_same_reader_and_rounds_change_it) {
    std::vector<std::string> names = {"a", "b", "c", "d"};
    std::set<std::string> readers;
    for (std::uint64_t round = 0; round < 64; ++round)
        readers.insert(coordination::select_platform_reader(names, round));
    cr_assert_eq(readers.size(), 4U);
    auto reversed = std::vector<std::string>(names.rbegin(), names.rend());
    cr_assert_eq(coordination::select_platform_reader(names, 0),
                 coordination::select_platform_reader(reversed, 0));
}
