#include "azureyoke/src/state/text_delta.h"

#include <numeric>

#include "test/property.h"

using namespace azureyoke;

namespace {

constexpr std::size_t max_bytes = 1 << 20;

std::string random_text() {
    std::string text = "{\"version\":" + std::to_string(*rc::gen::inRange(0, 9));
    for (int n = *rc::gen::inRange(0, 30); n > 0; --n)
        text += ",{\"route\":" + std::to_string(*rc::gen::inRange(0, 40)) + "}";
    return text + *rc::gen::element<std::string>("", "}", "}}", "\n");
}

std::string routes(int count, int version) {
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int i = 0; i < count; ++i)
        text += "{\"name\":\"r" + std::to_string(i) + "\",\"prefix\":\"/a/\"},";
    return text + "]}";
}

std::size_t new_bytes(const state::text_delta& delta) {
    return std::accumulate(delta.pieces.begin(), delta.pieces.end(), std::size_t{0},
                           [](std::size_t sum, const auto& it) {
                               const auto* bytes = std::get_if<std::string>(&it);
                               return sum + (bytes == nullptr ? 0 : bytes->size());
                           });
}

} // namespace

Test(text_delta, delta_of_any_two_texts_gives_the_new_one) {
    check_property("delta and apply", [] {
        auto old_text = random_text();
        auto new_text = random_text();
        auto delta = state::make_delta(old_text, new_text);
        auto applied = state::apply_delta(old_text, delta, max_bytes);
        RC_ASSERT(applied.has_value());
        RC_ASSERT(*applied == new_text);
    });
}

Test(text_delta, delta_does_not_apply_to_another_text) {
    auto delta = state::make_delta("{\"a\":1}", "{\"a\":2}");
    cr_assert_not(state::apply_delta("{\"a\":3}", delta, max_bytes).has_value());
}

Test(text_delta, delta_with_a_range_outside_the_text_or_a_larger_result_is_invalid) {
    auto text = routes(10, 1);
    auto delta = state::make_delta(text, text);
    cr_assert_not(state::apply_delta(text, delta, text.size() - 1).has_value());
    for (auto range : {state::text_range{text.size() + 1, 0}, state::text_range{1, text.size()},
                       state::text_range{1, SIZE_MAX}}) {
        auto bad = delta;
        bad.pieces = {range};
        cr_assert_not(state::apply_delta(text, bad, max_bytes).has_value());
    }
}

Test(text_delta, size_of_a_delta_depends_on_the_change_and_not_on_the_texts) {
    constexpr std::size_t bound = 200;
    for (int count : {40, 1440, 5000}) {
        auto changed = routes(count, 2);
        changed.replace(changed.find("\"r20\""), 5, "\"r-new\"");
        auto delta = state::make_delta(routes(count, 1), changed);
        cr_assert_lt(new_bytes(delta), bound, "%d routes", count);
        cr_assert_leq(delta.pieces.size(), 5U, "%d routes", count);
    }
}
