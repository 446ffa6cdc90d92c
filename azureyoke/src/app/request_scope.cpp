#include "azureyoke/src/app/request_scope.h"

namespace azureyoke::app {

request_scope::request_scope(caller_services& services,
                             std::shared_ptr<transport::front_exchange> exchange)
    : services_(services), exchange_(std::move(exchange)), id_(services.make_id()),
      start_time_(services.loop.now()) {
    trace_.request_id = id_;
    trace_.target = std::string(transport::path_of(request().target));
}

void request_scope::add_trace_step(const std::string& step) {
    trace_.steps.push_back({(services_.loop.now() - start_time_).count(), step});
}

void request_scope::refuse(const protocol::caller_error& ec) {
    services_.measures.count("azureyoke_refusals_total", "code", protocol::name_of(ec.code));
    if (exchange_->started()) {
        exchange_->write(protocol::render_event(ec, id_));
        exchange_->end();
    } else {
        exchange_->reply(protocol::render(ec, id_));
    }
    close(event_id::request_refused, protocol::name_of(ec.code));
}

void request_scope::close(event_id outcome, const std::string& detail) {
    if (closed_)
        return;
    closed_ = true;
    add_trace_step(detail);
    auto took = (services_.loop.now() - start_time_).count();
    services_.log.write(outcome, {{"request", id_},
                                  {"workspace", trace_.workspace},
                                  {"target", trace_.target},
                                  {"took_us", std::to_string(took)},
                                  {"detail", detail}});
    services_.history.add(trace_);
}

tl::expected<state::workspace_ref, protocol::caller_error>
authenticate(const state::configuration& config, const std::optional<state::key_digest>& key) {
    using protocol::caller_error;
    if (config.empty())
        return tl::unexpected(caller_error{protocol::caller_code::not_ready,
                                           "this instance holds no configuration yet",
                                           protocol::run_state::not_run, 1});
    if (!key)
        return tl::unexpected(caller_error{protocol::caller_code::unknown_key,
                                           "a key is required in field Authorization or x-api-key",
                                           protocol::run_state::not_run,
                                           {}});
    auto space = config.find_workspace(*key);
    if (!space)
        return tl::unexpected(caller_error{protocol::caller_code::unknown_key,
                                           "the key belongs to no workspace",
                                           protocol::run_state::not_run,
                                           {}});
    return space;
}

} // namespace azureyoke::app
