#include "azureyoke/src/state/json_split.h"

#include <nlohmann/json.hpp>

#include "test/property.h"

using namespace azureyoke;
using nlohmann::json;

namespace {

/// \returns the text without its split: each placeholder is replaced by its part.
json joined(const state::json_split& split) {
    auto root = json::parse(split.outline);
    for (auto& list : root) {
        if (!list.is_array())
            continue;
        for (auto& it : list) {
            if (it.is_object())
                it = json::parse(
                    split.parts.at(it.at(std::string(state::element_index_field)).get<size_t>()));
        }
    }
    return root;
}

json random_value(int depth) {
    switch (*rc::gen::inRange(0, depth > 0 ? 6 : 4)) {
    case 0:
        return *rc::gen::inRange(-5, 5);
    case 1:
        return nullptr;
    case 2:
        return *rc::gen::element<std::string>("", "a\"b", "\\", "\\\"", "]}", "[{", "\xc3\xa4");
    case 3:
        return true;
    case 4: {
        auto list = json::array();
        for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
            list.push_back(random_value(depth - 1));
        return list;
    }
    default: {
        auto object = json::object();
        for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
            object[*rc::gen::element<std::string>("a", "b\"", "{", "#")] = random_value(depth - 1);
        return object;
    }
    }
}

} // namespace

Test(json_split, split_text_has_the_values_of_the_whole_text) {
    check_property("split and joined", [] {
        auto root = json::object();
        for (const char* name : {"one", "two"})
            root[name] = random_value(4);
        auto text = root.dump(*rc::gen::element(-1, 1));
        auto split = state::split_elements(text);
        RC_ASSERT(split.has_value());
        RC_ASSERT(joined(*split) == root);
    });
}

Test(json_split, text_whose_brackets_do_not_match_has_no_split) {
    for (const char* text : {"{", "}", "{\"a\":[}", "{\"a\":[{]}", "{\"a\":\"}", "[}"})
        cr_assert_not(state::split_elements(text).has_value(), "%s", text);
}

Test(json_split, long_strings_are_taken_out_and_others_stay) {
    const std::string value(20, 'v');
    const std::string escaped = std::string(20, 'w') + "\\n";
    const std::string text = "{\"a\":\"" + value + "\",\"b\":\"short\",\"c\":\"" + escaped + "\"}";
    auto split = state::split_long_strings(text, 10);
    cr_assert_eq(split.outline, "{\"a\":[0],\"b\":\"short\",\"c\":\"" + escaped + "\"}");
    cr_assert_eq(split.parts.size(), 1U);
    cr_assert(split.parts[0] == value);
}
