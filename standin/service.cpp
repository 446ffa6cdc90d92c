#include "standin/service.h"

#include <nlohmann/json.hpp>

namespace azureyoke::standin {

using nlohmann::json;

service::service(transport::event_loop& loop)
    : loop_(loop), server_(loop, {64 * 1024, 8 * 1024 * 1024, std::chrono::seconds(600)},
                           [this](const auto& exchange) { on_request(exchange); }) {}

transport::result<transport::address> service::listen(const transport::address& at) {
    return server_.listen(at);
}

void service::on_request(const exchange_ptr& exchange) {
    auto path = transport::path_of(exchange->request().target);
    if (path == "/control") {
        on_control(exchange);
        return;
    }
    if (path == "/stats") {
        exchange->reply(
            {200, {}, json({{"runs", runs_by_key_}, {"keys_seen", received_keys_}}).dump()});
        return;
    }
    for (const char* name : {"authorization", "x-api-key"}) {
        if (auto value = transport::find_field(exchange->request().fields, name))
            received_keys_.push_back(*value);
    }
    if (delay_ms_ == 0)
        run_request(exchange);
    else
        timers_.push_back(loop_.after(std::chrono::milliseconds(delay_ms_),
                                      [this, exchange] { run_request(exchange); }));
}

void service::run_request(const exchange_ptr& exchange) {
    auto key = transport::find_field(exchange->request().fields, "Idempotency-Key").value_or("");
    auto number = ++runs_by_key_[key];
    if (fault_ == "lose_answer")
        exchange->abort();
    else
        reply_with_run(exchange, key, number);
}

void service::reply_with_run(const exchange_ptr& exchange, const std::string& key, int run_number) {
    auto id = transport::find_field(exchange->request().fields, "x-request-id").value_or("");
    if (fault_ == "cross_answers")
        id = "another-request";
    exchange->reply({200,
                     {{"Content-Type", "application/json"}, {"x-request-id", id}},
                     json({{"key", key}, {"run", run_number}}).dump()});
}

void service::on_control(const exchange_ptr& exchange) {
    auto body = json::parse(exchange->request().body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        exchange->reply({400, {}, ""});
        return;
    }
    fault_ = body.value("fault", fault_);
    delay_ms_ = body.value("delay_ms", delay_ms_);
    exchange->reply({200, {}, "ok\n"});
}

} // namespace azureyoke::standin
