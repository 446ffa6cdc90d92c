#include "azureyoke/src/transport/answer_completion.h"

namespace azureyoke::transport {

void answer_completion::decide(outcome decided) {
    if (outcome_ == outcome::open)
        outcome_ = decided;
}

void answer_completion::on_head(int status, http_framing framing) {
    if (status_ != 0 || is_interim(status))
        return;
    if (!is_final(status)) {
        decide(outcome::invalid_status);
        return;
    }
    status_ = status;
    framing_ = framing;
}

void answer_completion::on_framing_end() {
    if (status_ != 0 && framing_ != http_framing::until_close)
        decide(outcome::whole);
}

void answer_completion::on_connection_end(bool reset) {
    bool success = status_ >= 200 && status_ < 300;
    bool may_end_here = status_ != 0 && framing_ == http_framing::until_close;
    decide(may_end_here && !reset && (request_received_ || !success) ? outcome::whole
                                                                     : outcome::cut);
}

} // namespace azureyoke::transport
