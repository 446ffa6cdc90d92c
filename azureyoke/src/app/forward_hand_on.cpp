// How forward_session hands a request on to an instance that reaches the backend servers. The
// request path is in forward_session.cpp.
#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/app/forward_session.h"

namespace azureyoke::app {

using transport::answer_verdict;

/// Passes the helper's answer on to the caller, whole or visibly cut.
class forward_session::helped_answer : public transport::backend_answer_sink {
public:
    helped_answer(std::shared_ptr<forward_session> session, std::string helper)
        : session_(std::move(session)), helper_(std::move(helper)) {}

    void on_request_written() override { session_->exchange_->release_copy(); }

    answer_verdict on_head(const transport::http_head& head) override {
        auto& it = *session_;
        if (it.finished_)
            return answer_verdict::reject;
        auto report = it.services_.dialect.read_answer(head);
        if (!report.request_id.empty() && report.request_id != it.request_info_.request_id)
            return answer_verdict::skip;
        refused_ = transport::find_field(head.fields, refused_help_field).has_value();
        if (!refused_) {
            it.services_.paths.on_help_served(helper_);
            it.start_answer(head);
        }
        return answer_verdict::accept;
    }

    void on_piece(std::string_view piece) override {
        auto& it = *session_;
        if (it.finished_)
            return;
        if (refused_)
            reason_.append(
                piece.substr(0, max_reason_bytes - std::min(max_reason_bytes, reason_.size())));
        else
            it.write_to_caller(piece);
    }

    void on_end() override {
        auto& it = *session_;
        if (it.finished_)
            return;
        if (refused_)
            it.on_help_refused(helper_, reason_);
        else
            it.on_help_complete(helper_);
    }

    void on_failure(const transport::error& ec) override {
        if (!session_->finished_)
            session_->on_help_lost(helper_, ec);
    }

private:
    static constexpr std::size_t max_reason_bytes = 200;

    std::shared_ptr<forward_session> session_;
    std::string helper_;
    std::string reason_; ///< Why the helper refused.
    bool refused_ = false;
};

bool forward_session::cut_off() const {
    return services_.paths.lost() && !services_.paths.open_connections_work();
}

bool forward_session::may_hand_on() const {
    return origin_ == request_origin::caller && possible_runs_ == 0 && !exchange_->started() &&
           help_refusals_ < max_help_refusals && trial_part_.empty() &&
           remaining_ms() > min_send_time_ms;
}

bool forward_session::may_help() {
    if (services_.paths.lost()) {
        refuse(503, "this instance reaches no backend server itself", min_retry_after_s);
        return false;
    }
    if (services_.helped >= services_.max_helped) {
        refuse(503, "this instance helps as many others as it can", min_retry_after_s);
        return false;
    }
    helps_ = true;
    ++services_.helped;
    return true;
}

bool forward_session::hand_on() {
    if (!may_hand_on() || !exchange_->hold_copy())
        return false;
    auto helper = services_.paths.choose_helper();
    if (!helper)
        return false;
    const auto& original = exchange_->request();
    transport::http_request request{
        original.method,
        original.target,
        services_.dialect.handed_on_fields(original, static_cast<std::int64_t>(remaining_ms())),
        {}};
    add_step("handed on to " + helper->name);
    ++possible_runs_;
    ++sends_;
    helper_ = helper->name;
    services_.paths.on_handed_on(helper_);
    call_ = services_.backends.send(helper->address, request, original.body,
                                    transport::answer_match::by_id(request_info_.request_id),
                                    std::make_shared<helped_answer>(shared_from_this(), helper_));
    return true;
}

void forward_session::end_help() {
    if (helper_.empty())
        return;
    services_.paths.on_help_ended(helper_);
    helper_.clear();
    call_.reset();
    exchange_->release_copy();
}

void forward_session::on_help_complete(const std::string& helper) {
    end_help();
    exchange_->end();
    finish(event_id::request_finished, "answered by way of " + helper);
}

void forward_session::on_help_refused(const std::string& helper, const std::string& why) {
    auto self = shared_from_this();
    end_help();
    --possible_runs_;
    --sends_;
    ++help_refusals_;
    services_.paths.on_help_refused(helper);
    add_step(helper + " did not run it: " + why);
    if (takes_up_stream())
        find_stream();
    else
        dispatch();
}

void forward_session::on_help_lost(const std::string& helper, const transport::error& ec) {
    auto self = shared_from_this();
    if (!ec.may_have_sent_bytes) {
        on_help_refused(helper, ec.what);
        return;
    }
    end_help();
    may_have_run_ = true;
    services_.paths.on_help_refused(helper);
    refuse(502, "the answer by way of " + helper + " was lost: " + ec.what);
}

} // namespace azureyoke::app
