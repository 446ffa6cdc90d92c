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
/// A repeatable route may be tried on another backend server after a failure. A route that is not
/// repeatable is dispatched once: under a record in the table when the caller sent an
/// `Idempotency-Key`, and with no retry at all when it did not. Such a run goes on when the caller
/// leaves, so that its answer is kept for a repeat. Not thread safe.
class plain_session : public std::enable_shared_from_this<plain_session> {
public:
    plain_session(caller_services& services, std::shared_ptr<transport::front_exchange> exchange);

    void start();

private:
    std::optional<protocol::caller_error> admit();
    void start_recorded(const std::string& key);
    void run(const std::vector<coordination::attempt_action>& actions);
    void write_record(const coordination::attempt_action& action);
    void read_record();
    void dispatch();
    void on_answer(transport::result<transport::http_response> answer);
    void on_failure(const std::string& why, bool bytes_left);
    void answer(const coordination::attempt_action& action);
    void reply(const state::stored_answer& stored);
    void refuse(const protocol::caller_error& ec);

    bool another_server() const { return next_server_ < servers_.size(); }

    transport::http_request forwarded() const;

    caller_services& services_;
    request_scope scope_;
    state::route route_;
    std::string workspace_;
    std::vector<std::string> servers_; ///< Addresses, in the order of trying.
    std::size_t next_server_ = 0;
    std::string row_;
    std::string attempt_id_;
    std::optional<coordination::attempt_run> recorded_;
    bool bytes_left_ = false;
    int dispatches_ = 0;
};

} // namespace azureyoke::app
