// The end of a forward_session: refusals, timeouts and the log line. The request path is in
// forward_session.cpp.
#include <algorithm>
#include <cmath>
#include <utility>

#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/app/forward_session.h"
#include "azureyoke/src/coordination/retry_after.h"

namespace azureyoke::app {

using coordination::call_outcome;

void forward_session::refuse_no_server() {
    const auto& directory = services_.state.directory;
    auto& router = services_.state.router;
    auto now = services_.loop.now();
    auto backoff = router.backoff_remaining(directory, pool_, now);
    auto limited = router.limit_remaining(directory, pool_, now);
    if (limited && (!backoff || *limited < *backoff)) {
        auto latest = coordination::from_seconds(max_return_s());
        auto wait = services_.permits.book_return(pool_, *limited, latest);
        refuse(503, "each backend server of pool \"" + pool_ + "\" is at its rate limit",
               coordination::to_seconds(wait));
    } else if (backoff) {
        refuse(503, "each usable backend server of pool \"" + pool_ + "\" asked for rest",
               coordination::to_seconds(coordination::retry_after_delay(*backoff, query_.number)));
    } else if (!query_.software.empty()) {
        refuse(503, "no backend server of software version \"" + query_.software + "\" is usable",
               bounded_retry_after(retry_after_no_server_s));
    } else {
        refuse(503, "no backend server of pool \"" + pool_ + "\" is usable",
               bounded_retry_after(retry_after_no_server_s));
    }
}

void forward_session::on_deadline() {
    if (finished_)
        return;
    auto self = shared_from_this();
    bool under_way = choice_.has_value() || !helper_.empty();
    if (choice_)
        end_call(first_answer_seen_ ? call_outcome::cancelled : call_outcome::incomplete);
    refuse(under_way || may_have_run_ ? 504 : 503,
           exchange_->started() ? "its time is over" : "no answer in the route's time");
}

void forward_session::on_instance_ending() {
    if (finished_)
        return;
    bool under_way = choice_.has_value() || !helper_.empty();
    if (choice_)
        end_call(call_outcome::cancelled);
    refuse(under_way || may_have_run_ ? 502 : 503, "this instance ends before the answer is whole",
           min_retry_after_s);
}

void forward_session::on_caller_closed() {
    if (finished_)
        return;
    if (choice_)
        end_call(call_outcome::cancelled);
    finish(event_id::caller_left, "the caller closed the connection");
}

void forward_session::end_call(call_outcome outcome) {
    if (!first_answer_seen_ && outcome != call_outcome::shed)
        note_first_answer();
    if (outcome != call_outcome::shed &&
        services_.state.overload_control(pool_, services_.loop.now()))
        services_.state.admission.on_ended(pool_, services_.loop.now() - sent_at_,
                                           services_.loop.now());
    services_.state.router.on_call_outcome(*choice_, outcome, services_.loop.now(),
                                           first_answer_seen_);
    services_.paths.on_ended();
    constexpr int success_status = 200;
    if (services_.software != nullptr)
        services_.software->on_ended(software_attempt_, outcome,
                                     success_ ? success_status : buffered_.status);
    choice_.reset();
    answer_timer_.reset();
    call_.reset();
    exchange_->release_copy();
}

double forward_session::max_return_s() const {
    return std::max(0.0, remaining_ms() / 3000);
}

double forward_session::bounded_retry_after(double seconds) const {
    return std::max(0.0, std::min(seconds, max_return_s()));
}

void forward_session::refuse(int status, const std::string& why,
                             std::optional<double> retry_after_s) {
    if (finished_)
        return;
    if (exchange_->started()) {
        // A second head cannot be sent: the connection is aborted so that the caller sees the
        // error.
        exchange_->abort();
        finish(event_id::request_refused, "stream cut: " + why);
        return;
    }
    // Callers read some statuses as a promise. It holds only if no byte was sent, or if each server
    // that got one said that it did not run the request.
    if (means_not_run(status) && possible_runs_ > 0)
        status = 502;
    bool retry_useful = status == 503 || status == 429;
    auto fields = services_.dialect.refusal_fields(request_info_.request_id,
                                                   retry_useful ? retry_after_s : std::nullopt);
    if (origin_ == request_origin::instance && possible_runs_ == 0)
        fields.push_back({refused_help_field, "1"});
    exchange_->reply({status, fields, why + "\n"});
    services_.measures.count("azureyoke_refusals_total", "status", std::to_string(status));
    finish(event_id::request_refused, std::to_string(status) + ": " + why);
}

void forward_session::add_step(std::string what) {
    auto at = services_.loop.now() - exchange_->received();
    steps_.push_back({at.count(), std::move(what)});
}

void forward_session::finish(event_id event, const std::string& detail) {
    if (finished_)
        return;
    finished_ = true;
    add_step(detail);
    end_help();
    if (std::exchange(helps_, false))
        --services_.helped;
    services_.history.add({request_info_.request_id, workspace_ == nullptr ? "" : workspace_->name,
                           route_ == nullptr ? "" : route_->name, std::move(steps_)});
    deadline_timer_.reset();
    answer_timer_.reset();
    call_.reset();
    run_watch_.reset();
    (void)held_bytes_.set(0);
    auto* limit = workspace_ == nullptr ? nullptr : services_.state.find_limit(workspace_->name);
    if (limit != nullptr && charged_ > 0 && sends_ == 0)
        limit->refund(charged_);
    std::int64_t left_out = 0;
    auto now = services_.loop.now();
    if (!services_.log_limiter.try_acquire(event, now, left_out))
        return;
    auto duration_us = (now - exchange_->received()).count();
    services_.log.write(event, {{"request", request_info_.request_id},
                                {"workspace", workspace_ == nullptr ? "" : workspace_->name},
                                {"target", route_ == nullptr ? "" : route_->name},
                                {"took_us", std::to_string(duration_us)},
                                {"detail", detail},
                                {"backend_server", last_server_},
                                {"sends", std::to_string(sends_)},
                                {"new_tokens", std::to_string(last_uncached_tokens_)},
                                {"estimate_ms", std::to_string(std::lround(last_estimate_ms_))},
                                {"first_answer_ms", std::to_string(std::lround(first_answer_ms_))},
                                {"policy", std::to_string(policy_ ? policy_->version() : 0)},
                                {"left_out", std::to_string(left_out)}});
}

} // namespace azureyoke::app
