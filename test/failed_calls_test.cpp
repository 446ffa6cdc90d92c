#include "azureyoke/src/transport/failed_calls.h"

#include <string>

#include <criterion/criterion.h>

using azureyoke::transport::failed_calls;

Test(failed_calls, contain_what_was_inserted_and_nothing_else) {
    failed_calls it;
    cr_assert_not(it.contains(""));
    for (std::size_t i = 0; i < failed_calls::capacity; ++i) {
        auto id = "q" + std::to_string(i);
        cr_assert_not(it.full());
        cr_assert_not(it.contains(id));
        it.insert(id);
        it.insert(id); // takes no room
        cr_assert(it.contains(id));
    }
    cr_assert(it.full());
    cr_assert_not(it.contains("q"));
}
