#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/transport/event_loop.h"
#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::standin {

/// \brief A simulated plain service that counts the executed requests by idempotency key.
///
/// `POST /control` accepts `fault` (`none`, `lose_answer`, `cross_answers`) and `delay_ms`.
class service {
public:
    service(transport::event_loop& loop);

    transport::result<transport::address> listen(const transport::address& at);

private:
    using exchange_ptr = std::shared_ptr<transport::front_exchange>;

    void on_request(const exchange_ptr& exchange);
    void on_control(const exchange_ptr& exchange);
    void run_request(const exchange_ptr& exchange);
    void reply_with_run(const exchange_ptr& exchange, const std::string& key, int run_number);

    transport::event_loop& loop_;
    transport::front_server server_;
    std::map<std::string, int> runs_by_key_;
    std::string fault_ = "none";
    std::int64_t delay_ms_ = 0;
    std::vector<std::string> received_keys_;
    std::vector<std::unique_ptr<transport::timer>> timers_;
};

} // namespace azureyoke::standin
