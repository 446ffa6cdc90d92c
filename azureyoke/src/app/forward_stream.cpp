// How forward_session binds a stream to a software version. The request path is in
// forward_session.cpp.
#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/app/forward_session.h"

namespace azureyoke::app {

bool forward_session::takes_up_stream() const {
    return route_->rule == state::execution_rule::stream && route_->resumable &&
           !request_info_.last_event.empty();
}

bool forward_session::continues_stream() const {
    return takes_up_stream() || !relay_.last_id().empty() || !bound_stream_.empty();
}

bool forward_session::may_continue_at(const state::fleet_server& server) const {
    return server.software == stream_software_ && services_.streams.versions_are_current();
}

bool forward_session::software_is_certain() const {
    const auto* server = services_.state.directory.find(last_server_);
    return server == nullptr || server->started_ms == last_started_ms_ ||
           server->software == last_software_;
}

void forward_session::drop_answer() {
    end_call(coordination::call_outcome::cancelled);
    may_have_run_ = true;
    run_began_ = true;
    run_left_behind_ = true;
    query_.excluded.push_back(last_server_);
    relay_.restart();
    retry_or_refuse("the server may have another software version than the stream began on");
}

// A server may be slow to notice that the connection was closed, and work on meanwhile.
void forward_session::await_run_end(const std::string& why) {
    add_step("waits until " + last_server_ + " has stopped working on it");
    auto began = first_answer_seen_ ? first_answer_at_ : services_.loop.now();
    abandoned_run run{last_server_, last_address_, request_info_.request_id, began};
    run_watch_ = services_.runs.await_end(run, [weak = weak_from_this(), why] {
        auto self = weak.lock();
        if (self == nullptr || self->finished_)
            return;
        self->run_watch_.reset();
        self->run_left_behind_ = false;
        self->retry_now_or_refuse(why);
    });
}

void forward_session::find_stream() {
    services_.streams.find(
        request_info_.resumed_request, pool_,
        [self = shared_from_this()](const auto& found) { self->on_stream_found(found); });
}

void forward_session::on_stream_found(const stream_registry::answer& found) {
    if (finished_)
        return;
    if (!found.software) {
        std::optional<double> retry_after_s;
        if (found.may_be_found_later)
            retry_after_s = bounded_retry_after(retry_after_no_server_s);
        refuse(503, found.why, retry_after_s);
        return;
    }
    bind_stream(request_info_.resumed_request, *found.software);
    dispatch();
}

void forward_session::bind_stream(const std::string& stream, const std::string& software) {
    bound_stream_ = stream;
    stream_software_ = software;
    query_.software = software;
    if (!stream.empty())
        services_.streams.on_begun(stream, pool_, software, deadline_ - services_.loop.now());
}

void forward_session::log_resumption(const std::string& software) const {
    const char* by = relay_.last_id().empty() ? "caller" : "instance";
    services_.measures.count("azureyoke_resumptions_total", "by", by);
    const char* left_behind = run_left_behind_ ? "yes" : "no";
    if (!relay_.last_id().empty())
        services_.measures.count("azureyoke_moved_streams_total", "left_behind", left_behind);
    std::int64_t left_out = 0;
    if (services_.log_limiter.try_acquire(event_id::stream_resumed, sent_at_, left_out))
        services_.log.write(event_id::stream_resumed,
                            {{"request", request_info_.request_id},
                             {"by", by},
                             {"resumed_request", request_info_.resumed_request},
                             {"backend_server", last_server_},
                             {"software", software},
                             {"began_on", stream_software_},
                             {"left_behind", left_behind},
                             {"left_out", std::to_string(left_out)}});
}

} // namespace azureyoke::app
