// Guards against a decision about a forgotten stream that rests on an instance's own view, or on
// how many peers it knows of.
#include "azureyoke/src/coordination/stream_evidence.h"

#include <criterion/criterion.h>

using namespace azureyoke::coordination;
using store_read = stream_evidence::store_read;

namespace {

constexpr store_read store_reads[] = {store_read::not_begun, store_read::under_way,
                                      store_read::done, store_read::failed};

/// Calls `check` with all combinations of what may be known.
template <class Check>
void for_each_evidence(Check check) {
    for (const auto& versions : {std::set<std::string>{}, {"v1"}, {"v1", "v2"}}) {
        for (bool complete : {false, true}) {
            for (std::size_t replies : {0, 1, 3}) {
                for (auto store : store_reads)
                    check(stream_evidence{versions, complete, replies, store});
            }
        }
    }
}

} // namespace

Test(stream_evidence, stream_goes_on_only_at_one_version_that_a_peer_or_the_store_confirmed) {
    for_each_evidence([](const stream_evidence& known) {
        bool confirmed = known.replies > 0 || known.store == store_read::done;
        bool may_go_on = confirmed && known.complete && known.versions.size() == 1;
        cr_assert_eq(decide(known) == stream_decision::go_on, may_go_on);
    });
}

Test(stream_evidence, no_stream_is_refused_before_the_store_was_read) {
    for_each_evidence([](const stream_evidence& known) {
        auto decision = decide(known);
        if (known.store == store_read::not_begun)
            cr_assert(decision == stream_decision::go_on ||
                      decision == stream_decision::read_store);
        if (known.store == store_read::under_way)
            cr_assert(decision == stream_decision::go_on || decision == stream_decision::wait);
    });
}

Test(stream_evidence, every_question_ends_once_the_store_was_read_or_failed) {
    for_each_evidence([](const stream_evidence& known) {
        if (known.store != store_read::done && known.store != store_read::failed)
            return;
        auto decision = decide(known);
        cr_assert(decision != stream_decision::read_store && decision != stream_decision::wait);
    });
}
