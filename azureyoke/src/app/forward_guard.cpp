// How forward_session keeps requests back whose prompt parts crash servers. The request path is in
// forward_session.cpp.
#include <utility>

#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/app/forward_session.h"

namespace azureyoke::app {

bool forward_session::pass_part_guard() {
    if (!trial_part_.empty())
        return true;
    using verdict = coordination::part_assessment::verdict;
    auto assessed = services_.parts.assess(guarded_parts_);
    if (assessed.result == verdict::sound)
        return true;
    if (assessed.result == verdict::blocked)
        refuse_suspected(assessed.part, assessed.until - services_.loop.now());
    else
        services_.parts.acquire_trial(
            assessed.part,
            [self = shared_from_this(), part = assessed.part](bool granted, auto wait) {
                self->on_trial_decided(part, granted, wait);
            });
    return false;
}

void forward_session::on_trial_decided(const std::string& part, bool granted,
                                       coordination::duration wait) {
    if (finished_)
        return;
    if (!granted) {
        refuse_suspected(part, wait);
        return;
    }
    trial_part_ = part;
    dispatch();
}

coordination::answer_progress forward_session::progress() const {
    if (!first_answer_seen_)
        return {};
    return coordination::answer_progress::begun(services_.loop.now() - first_answer_at_);
}

void forward_session::report_progress(coordination::answer_progress reached) {
    if (!success_ || reached <= reported_progress_)
        return;
    reported_progress_ = reached;
    services_.parts.on_answer(guarded_parts_, reached);
}

void forward_session::report_complete() {
    if (!success_)
        return;
    if (ends_with_connection_)
        check_for_crash(true);
    else
        report_progress(coordination::answer_progress::complete());
}

void forward_session::check_for_crash(bool may_be_complete) {
    const auto* server = services_.state.directory.find(last_server_);
    auto address = transport::parse_address(server == nullptr ? "" : server->address);
    if (!address)
        return;
    services_.parts.on_lost({last_server_, last_started_ms_, *address, guarded_parts_,
                             std::exchange(trial_part_, {}), progress(), may_be_complete},
                            [weak = weak_from_this()] {
                                if (auto self = weak.lock())
                                    ++self->crashes_;
                            });
}

void forward_session::refuse_suspected(const std::string& part, coordination::duration wait) {
    services_.measures.count("azureyoke_part_refusals_total", "pool", pool_);
    auto seconds = std::max(coordination::to_seconds(wait), min_retry_after_s);
    refuse(503, "requests with \"" + part + "\" may crash backend servers",
           bounded_retry_after(seconds));
}

} // namespace azureyoke::app
