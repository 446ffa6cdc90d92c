#include "azureyoke/src/app/completion_session.h"

#include <algorithm>

namespace azureyoke::app {

using protocol::caller_code;
using protocol::run_state;

namespace internal {
namespace {

constexpr std::size_t max_event_bytes = 1024 * 1024;
constexpr int retry_after_no_replica_seconds = 1;
constexpr int retry_after_queue_seconds = 2;

std::string describe_placement(const coordination::placement& placement,
                               const coordination::replica_tracker& tracker) {
    std::string text = "placed on " + tracker.info(placement.replica).name + "; estimates:";
    for (const auto& it : placement.estimates) {
        auto ms = [](double seconds) { return std::to_string(static_cast<int>(seconds * 1000)); };
        text += " " + tracker.info(it.replica).name + "(queue " + ms(it.queue_seconds) +
                " ms, compute " + ms(it.compute_seconds) + " ms, cached " +
                std::to_string(it.cached_tokens) + " tokens)";
    }
    return text;
}

} // namespace
} // namespace internal

/// Forwards the response of one attempt to the session until the attempt ends.
class completion_session::attempt_sink : public transport::http_response_sink {
public:
    explicit attempt_sink(std::shared_ptr<completion_session> session)
        : session_(std::move(session)) {}

    void detach() { session_.reset(); }

    void on_head(int status, const transport::http_fields& /*fields*/) override {
        if (auto session = session_)
            session->on_engine_head(status);
    }

    void on_piece(std::string_view piece) override {
        if (auto session = session_)
            session->on_engine_data(piece);
    }

    void on_end() override {
        if (auto session = session_)
            session->on_engine_end();
    }

    void on_failure(const transport::error& ec) override {
        if (auto session = session_)
            session->attempt_failed(ec.what, ec.may_have_sent_bytes);
    }

private:
    std::shared_ptr<completion_session> session_;
};

completion_session::completion_session(caller_services& services,
                                       std::shared_ptr<transport::front_exchange> exchange,
                                       protocol::completion_kind kind)
    : services_(services), scope_(services, std::move(exchange)), kind_(kind), relay_(scope_.id()) {
}

void completion_session::start() {
    self_ = shared_from_this();
    scope_.exchange().on_closed([this] { on_caller_disconnected(); });
    services_.retries.on_request();
    auto key = protocol::extract_key(scope_.request());
    if (!key) {
        refuse(key.error());
        return;
    }
    caller_key_ = *key;
    auto config = services_.configuration.current_configuration();
    auto space = authenticate(*config, caller_key_);
    if (!space) {
        refuse(space.error());
        return;
    }
    workspace_ = space->workspace->name;
    weight_ = space->workspace->weight;
    scope_.set_workspace(workspace_);
    auto parsed = protocol::parse_completion(kind_, scope_.request());
    if (!parsed) {
        refuse(parsed.error());
        return;
    }
    request_ = std::move(*parsed);
    const auto* model = config->find_model(*space, request_.model);
    if (model == nullptr) {
        refuse({caller_code::model_not_permitted,
                "model \"" + request_.model + "\" is not permitted for workspace \"" + workspace_ +
                    "\"",
                run_state::not_run,
                {}});
        return;
    }
    requested_weights_ = model->weights;
    admit();
}

void completion_session::admit() {
    prompt_tokens_ =
        static_cast<std::int64_t>(request_.prompt.size()) / protocol::bytes_per_token + 1;
    routed_request_.model = request_.model;
    routed_request_.prompt_tokens = prompt_tokens_;
    routed_request_.prefix_hashes = state::compute_prefix_hashes(
        {workspace_, request_.model, requested_weights_}, request_.prompt,
        static_cast<std::size_t>(services_.settings.piece_bytes));
    deadline_ = services_.loop.after(
        std::chrono::milliseconds(services_.settings.request_timeout_ms), [this] {
            refuse({may_have_run_ ? caller_code::outcome_unknown : caller_code::no_replica,
                    "the request did not end within its time limit",
                    may_have_run_ ? run_state::unknown : run_state::not_run,
                    {}});
        });
    auto cost = prompt_tokens_ + request_.max_output_tokens;
    std::weak_ptr<completion_session> weak = self_;
    auto ticket = services_.shares.request_admission(workspace_, cost, [weak](const auto& outcome) {
        if (auto it = weak.lock())
            it->on_admission(outcome);
    });
    ticket_ = ticket;
}

void completion_session::on_admission(const coordination::admission_outcome& outcome) {
    if (ended_)
        return;
    ticket_ = outcome.id;
    if (outcome.verdict == coordination::admission_result::refused) {
        refuse({caller_code::over_rate,
                "workspace \"" + workspace_ + "\" has used its rate and burst", run_state::not_run,
                outcome.retry_after_seconds});
        return;
    }
    admitted_ = true;
    scope_.add_trace_step("admitted");
    enqueue();
}

void completion_session::enqueue() {
    std::weak_ptr<completion_session> weak = self_;
    queue_entry_ = services_.queue.push(
        {0, workspace_, weight_, prompt_tokens_}, request_.model, [weak](bool in_time) {
            auto it = weak.lock();
            if (!it || it->ended_)
                return;
            it->queue_entry_ = 0;
            if (in_time)
                it->on_dequeued();
            else
                it->refuse({caller_code::queue_full,
                            "the request waited too long for a backend server", run_state::not_run,
                            internal::retry_after_queue_seconds});
        });
    if (queue_entry_ == 0)
        refuse({caller_code::queue_full,
                "workspace \"" + workspace_ + "\" has too many requests waiting",
                run_state::not_run, internal::retry_after_queue_seconds});
}

void completion_session::on_dequeued() {
    // The key may have been revoked while the request waited in the queue.
    auto config = services_.configuration.current_configuration();
    auto space = authenticate(*config, caller_key_);
    if (!space || space->workspace->name != workspace_) {
        refuse(space ? protocol::caller_error{caller_code::unknown_key,
                                              "the key now belongs to another workspace",
                                              run_state::not_run,
                                              {}}
                     : space.error());
        return;
    }
    dispatch();
}

void completion_session::dispatch() {
    auto now = services_.loop.now();
    auto placement = services_.router.choose(routed_request_, now);
    if (!placement && !routed_request_.excluded.empty() && !relay_.started()) {
        routed_request_.excluded.clear(); // every server has failed once: all become eligible again
        placement = services_.router.choose(routed_request_, now);
    }
    if (!placement) {
        refuse({relay_.started() ? caller_code::stream_interrupted : caller_code::no_replica,
                "no backend server serves model \"" + request_.model + "\" now",
                may_have_run_ ? run_state::unknown : run_state::not_run,
                internal::retry_after_no_replica_seconds});
        return;
    }
    send_to(*placement);
}

void completion_session::send_to(const coordination::placement& placement) {
    placement_ = placement;
    scope_.add_trace_step(internal::describe_placement(placement, services_.router.tracker()));
    const auto& name = services_.router.tracker().info(placement.replica).name;
    const auto* server = services_.configuration.current_configuration()->find_backend_server(name);
    auto at = transport::parse_address(server == nullptr ? "" : server->address);
    if (!at) {
        routed_request_.excluded.push_back(placement.replica);
        dispatch();
        return;
    }
    ++attempts_;
    attempt_start_ = services_.loop.now();
    routed_request_.call = services_.router.next_call();
    services_.router.on_dispatch(routed_request_, placement, services_.loop.now());
    services_.send_notices();
    protocol::engine_directive directive{scope_.id(), workspace_, weights_for(placement.replica),
                                         relay_.next_position(), 0};
    decoder_ = std::make_unique<protocol::sse_decoder>(internal::max_event_bytes);
    first_token_seen_ = false;
    end_mark_seen_ = false;
    sink_ = std::make_shared<attempt_sink>(self_);
    services_.measures.observe(
        measure::queue, "workspace", workspace_,
        coordination::to_seconds(services_.loop.now() - scope_.start_time()));
    call_ =
        services_.client.send(*at, protocol::make_engine_request(request_, directive), true, sink_);
}

// During a rollout a replica serves the weights that it has loaded. A resumed stream
// keeps the weights that it started with.
std::string completion_session::weights_for(coordination::replica_number replica) const {
    if (relay_.started())
        return relay_.weights();
    const auto& loaded = services_.router.tracker().weights(replica);
    return loaded.empty() ? requested_weights_ : loaded;
}

void completion_session::attempt_failed(const std::string& reason, bool may_have_sent_bytes) {
    if (sink_ == nullptr || ended_)
        return;
    sink_->detach();
    sink_.reset();
    call_.reset();
    may_have_run_ = may_have_run_ || may_have_sent_bytes;
    bool ejected =
        services_.router.on_failure(routed_request_, placement_.replica, services_.loop.now());
    services_.send_notices();
    const auto& name = services_.router.tracker().info(placement_.replica).name;
    services_.log.warn(event_id::attempt_failed,
                       {{"request", scope_.id()}, {"backend_server", name}, {"why", reason}});
    if (ejected)
        services_.log.warn(event_id::replica_ejected, {{"backend_server", name}});
    scope_.add_trace_step("attempt on " + name + " failed: " + reason);
    if (relay_.finished()) {
        finish_answer(); // all tokens have arrived; only the end mark is missing
        return;
    }
    retry_or_end(reason);
}

void completion_session::retry_or_end(const std::string& reason) {
    routed_request_.excluded.push_back(placement_.replica);
    if (services_.retries.try_acquire(attempts_)) {
        if (relay_.started()) {
            routed_request_.weights = relay_.weights();
            services_.log.write(
                event_id::stream_resumed,
                {{"request", scope_.id()}, {"position", std::to_string(relay_.next_position())}});
        }
        dispatch();
        return;
    }
    auto code = relay_.started() ? caller_code::stream_interrupted : caller_code::answer_invalid;
    refuse({code,
            "the backend server failed: " + reason,
            may_have_run_ ? run_state::unknown : run_state::not_run,
            {}});
}

void completion_session::on_caller_disconnected() {
    if (ended_)
        return;
    if (sink_ != nullptr) {
        services_.router.on_cancel(routed_request_, placement_.replica);
        services_.send_notices();
    }
    end(event_id::caller_left, "the caller closed the connection");
}

std::int64_t completion_session::charged_tokens() const {
    if (!may_have_run_ && !relay_.started() && attempts_ == 0)
        return 0;
    return prompt_tokens_ + relay_.next_position();
}

void completion_session::refuse(const protocol::caller_error& ec) {
    if (ended_)
        return;
    scope_.refuse(ec);
    end(event_id::request_refused, protocol::name_of(ec.code));
}

void completion_session::end(event_id outcome, const std::string& detail) {
    if (ended_)
        return;
    ended_ = true;
    if (sink_ != nullptr)
        sink_->detach();
    sink_.reset();
    call_.reset();
    if (queue_entry_ != 0)
        services_.queue.erase(queue_entry_);
    if (admitted_)
        services_.shares.finish_request(ticket_, charged_tokens());
    else if (ticket_ != 0)
        services_.shares.cancel_request(ticket_);
    scope_.close(outcome, detail);
    services_.loop.defer([self = std::move(self_)] { self->deadline_.reset(); });
}

} // namespace azureyoke::app
