// Guards against an instance that ends, or serves by half, since one of its addresses is in use.
#include "azureyoke/src/app/address_binder.h"

#include <criterion/criterion.h>

using namespace azureyoke;

namespace {

struct binder_fixture {
    transport::event_loop loop;
    app::event_log log{"test"};
    app::address_binder binder{loop, log};
    std::vector<std::string> tried;
    int done = 0;

    /// \returns an attempt that fails so many times.
    app::address_binder::attempt attempt(const std::string& name, int failures) {
        return [this, name, failures]() mutable -> transport::result<void> {
            tried.push_back(name);
            if (failures-- > 0)
                return tl::unexpected(transport::bind_error(name, EADDRINUSE));
            return {};
        };
    }

    void run_until_done() {
        auto limit = loop.now() + std::chrono::seconds(5);
        auto wakeups = loop.every(std::chrono::milliseconds(10), [] {});
        while (done == 0 && loop.now() < limit)
            loop.run_once(true);
    }
};

} // namespace

Test(address_binder, addresses_that_are_free_are_bound_at_once) {
    binder_fixture it;
    it.binder.start({it.attempt("a", 0), it.attempt("b", 0)}, [&] { ++it.done; });
    cr_assert_eq(it.done, 1);
    cr_assert(it.binder.bound());
}

Test(address_binder, later_addresses_wait_for_one_in_use) {
    binder_fixture it;
    it.binder.start({it.attempt("a", 0), it.attempt("b", 2), it.attempt("c", 1)},
                    [&] { ++it.done; });
    cr_assert_eq(it.done, 0);
    cr_assert_not(it.binder.bound());
    it.run_until_done();
    cr_assert_eq(it.done, 1);
    const std::vector<std::string> expected = {"a", "b", "b", "b", "c", "c"};
    cr_assert(it.tried == expected);
}

Test(address_binder, error_names_the_address_and_the_reason) {
    auto failure = transport::bind_error("127.0.0.1:80", EADDRINUSE);
    cr_assert(failure.code == transport::errc::bind_failed);
    cr_assert_neq(failure.what.find("127.0.0.1:80"), std::string::npos);
    cr_assert_neq(failure.what.find("in use"), std::string::npos, "%s", failure.what.c_str());
}
