#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "azureyoke/src/transport/event_loop.h"
#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::standin {

/// \brief A simulated platform: table, objects, list of instances and weight store.
///
/// `POST /control` accepts `outage` (true or false), `slow_ms`, `lose_answers` (probability that
/// the answer to a write is lost after the write took effect), `list_lag_ms` and `instances`, a new
/// list that is served after `list_lag_ms`.
class platform {
public:
    platform(transport::event_loop& loop, std::uint64_t seed);

    transport::result<transport::address> listen(const transport::address& at);

private:
    using exchange_ptr = std::shared_ptr<transport::front_exchange>;

    struct row {
        std::int64_t version = 0;
        std::string value;
    };

    void on_request(const exchange_ptr& exchange);
    void serve_request(const exchange_ptr& exchange);
    void on_control(const exchange_ptr& exchange);
    void on_table(const exchange_ptr& exchange, const std::string& name);
    void write_row(const exchange_ptr& exchange, const std::string& name);
    void list_rows(const exchange_ptr& exchange);
    void on_object(const exchange_ptr& exchange, const std::string& name);
    void list_objects(const exchange_ptr& exchange);
    void on_weights(const exchange_ptr& exchange);
    /// Answers a write that took effect, or loses its answer with the set probability.
    void acknowledge(const exchange_ptr& exchange, const transport::http_response& response);

    transport::event_loop& loop_;
    std::mt19937_64 random_;
    transport::front_server server_;
    std::map<std::string, row> table_;
    std::int64_t next_version_ = 1;
    std::map<std::string, std::string> objects_;
    std::string instances_ = "[]";
    bool outage_ = false;
    std::int64_t slow_ms_ = 0;
    double lost_answer_probability_ = 0;
    std::int64_t list_lag_ms_ = 0;
    std::int64_t reads_ = 0;
    std::int64_t writes_ = 0;
    double weight_fetch_tokens_ = 2;
    transport::instant weight_tokens_refilled_at_;
    std::vector<std::unique_ptr<transport::timer>> timers_;
};

} // namespace azureyoke::standin
