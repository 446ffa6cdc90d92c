#include "azureyoke/src/app/policy_changes.h"

#include <random>

#include <criterion/criterion.h>

using namespace azureyoke;

namespace {

std::string text_of(int version, int routes) {
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int i = 0; i < routes; ++i)
        text += "{\"name\":\"route-" + std::to_string(i) + "\",\"host\":\"h\",\"prefix\":\"/a/\"},";
    return text + "]}";
}

} // namespace

Test(policy_changes, encoded_changes_are_read_back) {
    app::policy_changes changes{3, 7, {2, 70}, state::make_delta(text_of(3, 20), text_of(7, 25))};
    auto read = app::parse_policy_changes(app::to_bytes(changes));
    cr_assert(read.has_value());
    cr_assert(*read == changes);
}

Test(policy_changes, mutated_bytes_are_refused_or_do_not_apply) {
    auto old_text = text_of(3, 20);
    auto new_text = text_of(7, 25);
    auto bytes = app::to_bytes({3, 7, {2, 70}, state::make_delta(old_text, new_text)});
    std::mt19937 random(1);
    constexpr std::size_t max_bytes = 1 << 20;
    for (int i = 0; i < 20'000; ++i) {
        auto mutated = bytes;
        for (auto n = random() % 4 + 1; n > 0; --n)
            mutated[random() % mutated.size()] = static_cast<char>(random());
        if (random() % 8 == 0)
            mutated.resize(random() % mutated.size());
        auto read = app::parse_policy_changes(mutated);
        auto applied = read ? state::apply_delta(old_text, read->delta, max_bytes) : std::nullopt;
        cr_assert(!applied || *applied == new_text, "mutation %d", i);
    }
}

Test(policy_changes, deeply_nested_bytes_are_refused) {
    constexpr char array_of_one = '\x81';
    constexpr std::size_t levels = 1 << 20;
    cr_assert_not(app::parse_policy_changes(std::string(levels, array_of_one)).has_value());
}

Test(policy_history, changes_since_a_recent_version_lead_to_the_newest) {
    app::policy_history history;
    cr_assert_null(history.newest());
    cr_assert_null(history.changes_since(1));
    for (int version = 1; version <= 10; ++version)
        history.add(version, {2, 10 * version}, text_of(version, 1440 + version));
    const auto* bytes = history.changes_since(8);
    cr_assert_not_null(bytes);
    constexpr std::size_t bound = 400;
    cr_assert_lt(bytes->size(), bound);
    auto changes = app::parse_policy_changes(*bytes);
    cr_assert_eq(changes->to, 10);
    cr_assert((changes->position == state::record_version{2, 100}));
    auto applied = state::apply_delta(text_of(8, 1448), changes->delta, 1 << 20);
    cr_assert(applied && *applied == *history.newest());
}

Test(policy_history, changes_since_an_old_version_or_too_large_ones_are_not_kept) {
    app::policy_history history;
    for (int version = 1; version <= 10; ++version)
        history.add(version, {2, 10 * version}, text_of(version, 10));
    cr_assert_null(history.changes_since(1));
    history.add(11, {2, 110}, text_of(11, 2000));
    cr_assert_null(history.changes_since(10), "the whole text serves as well");
    history.add(12, {2, 120}, text_of(12, 3200));
    cr_assert_not_null(history.changes_since(11), "less than half of the text");
}
