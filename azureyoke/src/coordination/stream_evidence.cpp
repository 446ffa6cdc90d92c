#include "azureyoke/src/coordination/stream_evidence.h"

namespace azureyoke::coordination {

stream_decision decide(const stream_evidence& known) {
    using store_read = stream_evidence::store_read;
    bool confirmed = known.replies > 0 || known.store == store_read::done;
    if (confirmed && known.complete && known.versions.size() == 1)
        return stream_decision::go_on;
    if (known.store == store_read::not_begun)
        return stream_decision::read_store;
    if (known.store == store_read::under_way)
        return stream_decision::wait;
    return confirmed ? stream_decision::unknown_begin : stream_decision::unanswered;
}

} // namespace azureyoke::coordination
