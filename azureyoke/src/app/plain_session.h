#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/app/request_scope.h"
#include "azureyoke/src/coordination/attempt_run.h"

namespace azureyoke::app {

/// \brief Serves one request of a plain route.
///
/// After a failure, a request of a repeatable route may be sent to another backend server. A
/// request of any other route is sent again only if none of its bytes can have been sent. If the
/// caller sent an `Idempotency-Key`, such a request is dispatched under a record in the table, and
/// is also sent again if the route's servers honour the key. A recorded request continues after the
/// caller disconnects, so that its answer is stored for a repeat. Not thread safe.
class plain_session : public std::enable_shared_from_this<plain_session> {
public:
    plain_session(caller_services& services, std::shared_ptr<transport::front_exchange> exchange);

    void start();

private:
    std::optional<protocol::caller_error> admit();
    void start_recorded_attempt(const std::string& key);
    void run_actions(const std::vector<coordination::attempt_action>& actions);
    void write_record(const coordination::attempt_action& action);
    void read_record();
    void dispatch();
    void on_answer(transport::result<transport::http_response> answer);
    void on_failure(const std::string& reason, bool may_have_sent_bytes);
    void answer_caller(const coordination::attempt_action& action);
    void reply(const state::stored_answer& stored);
    void refuse(const protocol::caller_error& ec);

    bool has_untried_server() const { return next_server_ < server_addresses_.size(); }

    transport::http_request make_forwarded_request() const;

    caller_services& services_;
    request_scope scope_;
    state::route route_;
    std::string workspace_;
    std::vector<std::string> server_addresses_; ///< In the order of the attempts.
    std::size_t next_server_ = 0;
    std::string record_row_;
    std::string attempt_id_;
    std::optional<coordination::attempt_run> recorded_attempt_;
    bool may_have_sent_bytes_ = false;
    int dispatches_ = 0;
};

} // namespace azureyoke::app
