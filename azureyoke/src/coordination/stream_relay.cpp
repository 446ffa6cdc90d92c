#include "azureyoke/src/coordination/stream_relay.h"

namespace azureyoke::coordination {

stream_relay::stream_relay(std::string request_id) : request_id_(std::move(request_id)) {}

relay_verdict stream_relay::on_event(const std::string& request_id, const std::string& weights,
                                     std::int64_t position, bool last) {
    if (request_id != request_id_ || (started() && weights != weights_))
        return relay_verdict::foreign;
    if (position < next_)
        return relay_verdict::repeat;
    if (finished_)
        return relay_verdict::after_end;
    if (position > next_)
        return relay_verdict::gap;
    weights_ = weights;
    ++next_;
    finished_ = last;
    return relay_verdict::pass;
}

} // namespace azureyoke::coordination
