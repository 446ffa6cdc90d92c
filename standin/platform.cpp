#include "standin/platform.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace azureyoke::standin {

using nlohmann::json;

namespace internal {
namespace {

constexpr std::string_view table_path = "/table/";
constexpr std::string_view object_path = "/objects/";
constexpr double weight_fetches_per_second = 2;

std::string etag(std::int64_t version) {
    return "\"" + std::to_string(version) + "\"";
}

std::string parse_prefix_query(const std::string& target) {
    auto at = target.find("prefix=");
    return at == std::string::npos ? "" : target.substr(at + 7);
}

} // namespace
} // namespace internal

platform::platform(transport::event_loop& loop, std::uint64_t seed)
    : loop_(loop), random_(seed),
      server_(loop, {64 * 1024, 64 * 1024 * 1024, std::chrono::seconds(600)},
              [this](const auto& exchange) { on_request(exchange); }) {}

transport::result<transport::address> platform::listen(const transport::address& at) {
    return server_.listen(at);
}

void platform::on_request(const exchange_ptr& exchange) {
    auto path = transport::path_of(exchange->request().target);
    if (path == "/control") {
        on_control(exchange);
        return;
    }
    if (path == "/stats") {
        exchange->reply({200, {}, json({{"reads", reads_}, {"writes", writes_}}).dump()});
        return;
    }
    if (outage_) {
        exchange->reply({503, {}, "outage\n"});
        return;
    }
    if (slow_ms_ == 0) {
        serve_request(exchange);
        return;
    }
    timers_.push_back(loop_.after(std::chrono::milliseconds(slow_ms_),
                                  [this, exchange] { serve_request(exchange); }));
}

void platform::serve_request(const exchange_ptr& exchange) {
    std::string path(transport::path_of(exchange->request().target));
    (exchange->request().method == "PUT" ? writes_ : reads_) += 1;
    if (path == "/table")
        list_rows(exchange);
    else if (path.starts_with(internal::table_path))
        on_table(exchange, path.substr(internal::table_path.size()));
    else if (path == "/objects")
        list_objects(exchange);
    else if (path.starts_with(internal::object_path))
        on_object(exchange, path.substr(internal::object_path.size()));
    else if (path == "/instances")
        exchange->reply({200, {}, instances_});
    else if (path.starts_with("/weights/"))
        on_weights(exchange);
    else
        exchange->reply({404, {}, ""});
}

void platform::acknowledge(const exchange_ptr& exchange, const transport::http_response& response) {
    if (std::uniform_real_distribution<>(0, 1)(random_) < lost_answer_probability_)
        exchange->abort();
    else
        exchange->reply(response);
}

void platform::on_table(const exchange_ptr& exchange, const std::string& name) {
    if (exchange->request().method == "PUT") {
        write_row(exchange, name);
        return;
    }
    auto it = table_.find(name);
    if (it == table_.end())
        exchange->reply({404, {}, ""});
    else
        exchange->reply({200, {{"ETag", internal::etag(it->second.version)}}, it->second.value});
}

void platform::write_row(const exchange_ptr& exchange, const std::string& name) {
    const auto& fields = exchange->request().fields;
    auto if_match = transport::find_field(fields, "If-Match");
    bool requires_absence = transport::find_field(fields, "If-None-Match").has_value();
    auto it = table_.find(name);
    bool precondition_holds = it == table_.end()
                                  ? requires_absence
                                  : (if_match && *if_match == internal::etag(it->second.version));
    if (!precondition_holds) {
        exchange->reply({412, {}, ""});
        return;
    }
    auto version = next_version_++;
    table_[name] = {version, exchange->request().body};
    acknowledge(exchange, {200, {{"ETag", internal::etag(version)}}, ""});
}

void platform::list_rows(const exchange_ptr& exchange) {
    auto prefix = internal::parse_prefix_query(exchange->request().target);
    auto list = json::array();
    for (auto it = table_.lower_bound(prefix); it != table_.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        list.push_back(
            {{"name", it->first}, {"version", it->second.version}, {"value", it->second.value}});
    }
    exchange->reply({200, {}, list.dump()});
}

void platform::on_object(const exchange_ptr& exchange, const std::string& name) {
    if (exchange->request().method == "PUT") {
        objects_[name] = exchange->request().body;
        acknowledge(exchange, {200, {}, ""});
        return;
    }
    auto it = objects_.find(name);
    if (it == objects_.end())
        exchange->reply({404, {}, ""});
    else
        exchange->reply({200, {}, it->second});
}

void platform::list_objects(const exchange_ptr& exchange) {
    auto prefix = internal::parse_prefix_query(exchange->request().target);
    auto list = json::array();
    for (const auto& [name, body] : objects_) {
        if (name.starts_with(prefix))
            list.push_back(name);
    }
    exchange->reply({200, {}, list.dump()});
}

void platform::on_weights(const exchange_ptr& exchange) {
    auto now = loop_.now();
    auto elapsed = std::chrono::duration<double>(now - weight_tokens_refilled_at_).count();
    weight_tokens_refilled_at_ = now;
    weight_fetch_tokens_ =
        std::min(2.0, weight_fetch_tokens_ + elapsed * internal::weight_fetches_per_second);
    if (weight_fetch_tokens_ < 1) {
        exchange->reply({429, {{"Retry-After", "1"}}, ""});
        return;
    }
    weight_fetch_tokens_ -= 1;
    exchange->reply({200, {}, "weights\n"});
}

void platform::on_control(const exchange_ptr& exchange) {
    auto body = json::parse(exchange->request().body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        exchange->reply({400, {}, ""});
        return;
    }
    outage_ = body.value("outage", outage_);
    slow_ms_ = body.value("slow_ms", slow_ms_);
    lost_answer_probability_ = body.value("lose_answers", lost_answer_probability_);
    list_lag_ms_ = body.value("list_lag_ms", list_lag_ms_);
    if (body.contains("instances")) {
        auto list = body["instances"].dump();
        timers_.push_back(loop_.after(std::chrono::milliseconds(list_lag_ms_),
                                      [this, list] { instances_ = list; }));
    }
    exchange->reply({200, {}, "ok\n"});
}

} // namespace azureyoke::standin
