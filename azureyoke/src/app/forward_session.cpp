#include "azureyoke/src/app/forward_session.h"

#include <algorithm>
#include <cmath>

#include "azureyoke/src/app/forward_rules.h"

namespace azureyoke::app {

using coordination::call_outcome;

forward_session::forward_session(forward_services& services,
                                 std::shared_ptr<transport::front_exchange> exchange,
                                 request_origin origin)
    : services_(services), exchange_(std::move(exchange)), origin_(origin),
      held_bytes_(services.answer_bytes) {}

double forward_session::remaining_ms() const {
    return coordination::to_seconds(deadline_ - services_.loop.now()) * 1000;
}

void forward_session::start() {
    std::string why;
    auto info = services_.dialect.read_request(exchange_->request(), why);
    if (!info) {
        refuse(400, why);
        return;
    }
    request_info_ = std::move(*info);
    if (services_.refuse_all) {
        refuse(503, "this instance is about to end", min_retry_after_s);
        return;
    }
    policy_ = services_.state.policy.policy;
    if (!admit())
        return;
    exchange_->on_closed([self = shared_from_this()] { self->on_caller_closed(); });
    exchange_->on_ending([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->on_instance_ending();
    });
    deadline_timer_ =
        services_.loop.after(deadline_ - services_.loop.now(), [this] { on_deadline(); });
    if (origin_ == request_origin::instance && !may_help())
        return;
    if (origin_ == request_origin::caller)
        services_.state.retry_budget(pool_).on_request(services_.loop.now());
    if (cut_off() && hand_on())
        return;
    if (takes_up_stream())
        find_stream();
    else
        dispatch();
}

void forward_session::update_cache_salt() {
    const auto& policy = *services_.state.policy.policy;
    query_.cache_salt =
        workspace_ == nullptr ? policy.shared_cache_salt() : policy.cache_salt(workspace_->name);
}

bool forward_session::choose_server() {
    auto now = services_.loop.now();
    update_cache_salt();
    query_.uneven = services_.state.tells_slowdown(pool_, now);
    query_.target_ms = static_cast<double>(route_->latency_target_ms);
    query_.bytes = static_cast<std::int64_t>(exchange_->request().body.size());
    if (const auto* desired = services_.state.find_desired_weights(query_.model)) {
        query_.newest_weights = desired->newest_named_for(new_weights_grace, now);
        query_.oldest_weights =
            desired->newest_named_for(old_weights_grace(services_.settings), now);
    }
    query_.paced = services_.state.paced(pool_, now);
    if (services_.software != nullptr)
        services_.software->leave_out(route_->name, sends_ > 0, query_);
    choice_ = services_.state.router.choose(services_.state.directory, query_, now);
    if (!choice_ && services_.software != nullptr && services_.software->allow_others(query_))
        choice_ = services_.state.router.choose(services_.state.directory, query_, now);
    if (!choice_ && !query_.excluded.empty()) {
        query_.excluded.clear(); // every server has refused or failed it once: try all again
        choice_ = services_.state.router.choose(services_.state.directory, query_, now);
    }
    return choice_.has_value();
}

bool forward_session::hold_copy() {
    if (exchange_->hold_copy())
        return true;
    refuse(503, "this instance has no memory to send a request of this size now",
           bounded_retry_after(min_retry_after_s));
    return false;
}

void forward_session::dispatch() {
    if (services_.state.policy.policy != policy_ && !route_->allows_no_key &&
        services_.state.policy.policy->find_workspace(request_info_.key) == nullptr) {
        refuse(may_have_run_ ? 502 : 401, "the key was withdrawn");
        return;
    }
    if (cut_off() && hand_on())
        return;
    if (!pass_part_guard() || !hold_copy())
        return;
    if (!choose_server()) {
        refuse_no_server();
        return;
    }
    double limit_ms = first_answer_limit_ms(*route_, remaining_ms());
    if (query_.paced && !query_.beyond_pace && choice_->estimated_first_answer_ms > limit_ms) {
        // A server that ramps up may be quicker, and is no reason to refuse a request.
        query_.beyond_pace = true;
        bool found = choose_server();
        query_.beyond_pace = false;
        if (!found) {
            refuse_no_server();
            return;
        }
    }
    if (sends_ == 0 && choice_->estimated_first_answer_ms > limit_ms &&
        !choose_quickest_server(limit_ms)) {
        auto excess = (choice_->estimated_first_answer_ms - limit_ms) / 1000;
        last_server_ = choice_->server;
        last_estimate_ms_ = choice_->estimated_first_answer_ms;
        choice_.reset();
        refuse(503, "the wait would be longer than the caller's time",
               bounded_retry_after(excess + min_retry_after_s));
        return;
    }
    if (!pass_admission())
        return;
    if (services_.permits.required(choice_->server))
        request_permit();
    else
        send_request();
}

void forward_session::request_permit() {
    // Without a choice the request counts as not under way: nothing was sent yet.
    auto choice = *std::exchange(choice_, std::nullopt);
    services_.permits.acquire(choice.server, [self = shared_from_this(), choice](bool granted) {
        self->on_permit(choice, granted);
    });
}

void forward_session::on_permit(const coordination::server_choice& choice, bool granted) {
    if (finished_)
        return;
    if (granted) {
        choice_ = choice;
        send_request();
        return;
    }
    query_.unlimited_only = ++denied_permits_ >= max_denied_permits;
    dispatch();
}

forward_directive forward_session::make_directive() const {
    forward_directive directive;
    directive.server = choice_->server;
    directive.workspace = workspace_ == nullptr ? "" : workspace_->name;
    directive.deadline_ms = std::max<std::int64_t>(1, static_cast<std::int64_t>(remaining_ms()));
    if (choice_->weights > 0) {
        // Cached parts are valid only for the weights that computed them, on every server.
        directive.weights = choice_->weights;
        directive.cache_salt = query_.cache_salt + "#" + std::to_string(choice_->weights);
        directive.cache_source_address = cache_source_address();
        directive.cache_store_address = choice_->save ? cache_store_address() : std::string();
    } else if (!query_.model.empty()) {
        // Parts of unknown weights are of no use to another request.
        directive.cache_salt = query_.cache_salt + "#?" + request_info_.request_id;
    }
    if (services_.settings.server_urgency &&
        services_.state.overload_control(pool_, services_.loop.now()))
        directive.urgency = std::clamp(rank(), 0, max_urgency);
    directive.last_event = relay_.last_id().empty() ? request_info_.last_event : relay_.last_id();
    return directive;
}

std::string forward_session::cache_store_address() const {
    for (const auto& it : policy_->pools()) {
        if (!it.cache_store_address.empty())
            return it.cache_store_address;
    }
    return {};
}

std::string forward_session::cache_source_address() const {
    if (!choice_->fetch)
        return {};
    const auto* holder = services_.state.directory.find(choice_->cache_source);
    return holder == nullptr ? cache_store_address() : holder->address;
}

void forward_session::send_request() {
    const auto* server = services_.state.directory.find(choice_->server);
    auto address = transport::parse_address(server == nullptr ? "" : server->address);
    if (!address) {
        pass_over_choice("server has no usable address");
        return;
    }
    if (continues_stream() && !may_continue_at(*server)) {
        pass_over_choice("server may have another software version now");
        return;
    }
    auto match = transport::answer_match::by_id(request_info_.request_id);
    if (services_.paths.lost() && !services_.backends.has_idle(*address, match)) {
        auto choice = std::exchange(choice_, std::nullopt);
        if (hand_on())
            return;
        choice_ = choice; // nobody helps, and the server may be reached all the same
    }
    update_cache_salt(); // a wait for a permit may have come since the choice
    auto directive = make_directive();
    const auto& original = exchange_->request();
    transport::http_request request{original.method,
                                    original.target,
                                    services_.dialect.request_fields(original, directive),
                                    {}};
    ++sends_;
    ++possible_runs_;
    sent_at_ = services_.loop.now();
    versions_were_current_ = services_.streams.versions_are_current();
    head_seen_ = false;
    first_answer_seen_ = false;
    reported_progress_ = {};
    success_ = false;
    server_error_ = false;
    answer_mode_ = answer_mode::pass_through;
    buffered_ = {};
    last_server_ = choice_->server;
    last_address_ = server->address;
    last_started_ms_ = server->started_ms;
    last_software_ = server->software;
    last_estimate_ms_ = choice_->estimated_first_answer_ms;
    last_uncached_tokens_ = choice_->uncached_tokens;
    add_step("sent to " + last_server_ + " for " + std::to_string(last_uncached_tokens_) +
             " uncached prompt tokens, first answer expected in " +
             std::to_string(std::lround(last_estimate_ms_)) + " ms, cache salt \"" +
             directive.cache_salt + "\"");
    if (!relay_.last_id().empty() || !request_info_.last_event.empty())
        log_resumption(server->software);
    run_began_ = false;
    run_left_behind_ = false;
    services_.state.router.on_sent(query_, *choice_, sent_at_);
    services_.paths.on_sent();
    if (services_.software != nullptr)
        software_attempt_ = services_.software->on_sent(route_->name, pool_, *choice_);
    if (services_.state.server_limits.limit_of(last_server_))
        services_.measures.count("azureyoke_limited_sends_total", "backend_server", last_server_);
    if (services_.backends.has_failed(*address, request_info_.request_id))
        services_.measures.count("azureyoke_repeated_ids_total", "sender",
                                 sends_ > 1 ? "same_request" : "another_request");
    call_ = services_.backends.send(*address, request, original.body, match, shared_from_this());
    last_event_at_ = sent_at_;
    if (route_->rule == state::execution_rule::stream)
        check_event_gap();
}

void forward_session::pass_over_choice(const std::string& why) {
    last_server_ = choice_->server;
    query_.excluded.push_back(last_server_);
    choice_.reset();
    retry_or_refuse(why);
}

void forward_session::check_event_gap() {
    auto self = shared_from_this();
    auto limit = coordination::from_seconds(max_event_gap_ms(*route_) / 1000);
    auto gap = services_.loop.now() - last_event_at_;
    // Reading from the server may be paused while the caller is slow.
    bool caller_reads = exchange_->unwritten() == 0;
    if (gap >= limit && caller_reads) {
        run_began_ = true;
        on_failure({transport::errc::timed_out,
                    "no event for " + std::to_string(gap / std::chrono::milliseconds(1)) + " ms",
                    true});
        return;
    }
    answer_timer_ =
        services_.loop.after(gap < limit ? limit - gap : limit, [this] { check_event_gap(); });
}

void forward_session::on_not_run() {
    auto self = shared_from_this();
    note_not_run();
    end_call(call_outcome::shed);
    --possible_runs_;
    query_.excluded.push_back(last_server_);
    retry_or_refuse("the server did not run it");
}

// Something on the way may accept connections in place of a server that is not reached.
bool forward_session::ended_without_answer(const transport::error& ec) const {
    return ec.code == transport::errc::connection_lost && ec.ended_by_peer && !head_seen_ &&
           call_ != nullptr && !call_->on_kept_connection();
}

void forward_session::on_failure(const transport::error& ec) {
    if (finished_)
        return;
    const char* result = !ec.may_have_sent_bytes ? "unreachable"
                         : first_answer_seen_    ? "broken off"
                                                 : "lost";
    services_.measures.count("azureyoke_failed_attempts_total", "result", result);
    if (!ec.may_have_sent_bytes || ended_without_answer(ec))
        services_.paths.on_unreachable(last_server_);
    if (ec.may_have_sent_bytes && ec.code == transport::errc::connection_lost) {
        lost_sends_ += first_answer_seen_ ? 0 : 1;
        check_for_crash(false);
    }
    if (first_answer_seen_ && !bound_stream_.empty() && !software_is_certain()) {
        software_unknown_ = true;
        services_.streams.on_uncertain(bound_stream_, pool_);
    }
    end_call(ec.may_have_sent_bytes ? call_outcome::incomplete : call_outcome::unreachable);
    run_left_behind_ = ec.may_have_sent_bytes && !ec.ended_by_peer;
    if (ec.may_have_sent_bytes)
        may_have_run_ = true;
    else
        --possible_runs_;
    query_.excluded.push_back(last_server_);
    relay_.restart();
    retry_or_refuse(ec.what);
}

bool forward_session::may_retry() const {
    // A request that was lost twice before its answer, once in a crash, may be the cause.
    if (lost_sends_ > 1 && crashes_ > 0)
        return false;
    bool may_resume = route_->rule == state::execution_rule::stream && route_->resumable;
    bool repeats = route_->rule == state::execution_rule::repeatable || may_resume;
    if (continues_stream() && (software_unknown_ || !services_.streams.versions_are_current()))
        return false;
    bool safe = exchange_->started() ? may_resume : !may_have_run_ || repeats;
    return safe && !exchange_->finished() && possible_runs_ < route_->max_attempts &&
           sends_ < route_->max_attempts + max_unrun_sends && remaining_ms() > min_send_time_ms;
}

bool forward_session::try_acquire_retry() const {
    auto& state = services_.state;
    return may_retry() &&
           state.retry_budget(pool_).try_acquire(state.instances, services_.loop.now());
}

std::string forward_session::shared_parts_text() const {
    std::string text;
    for (std::size_t i = 0; i + 1 < query_.parts.size(); ++i)
        text += (i > 0 ? "," : "") + query_.parts[i].id;
    return text;
}

void forward_session::retry_or_refuse(const std::string& why) {
    add_step(last_server_ + ": " + why);
    std::int64_t left_out = 0;
    auto answered =
        first_answer_seen_ ? services_.loop.now() - first_answer_at_ : coordination::duration();
    if (services_.log_limiter.try_acquire(event_id::attempt_failed, services_.loop.now(), left_out))
        services_.log.warn(
            event_id::attempt_failed,
            {{"request", request_info_.request_id},
             {"backend_server", last_server_},
             {"why", why},
             {"began", first_answer_seen_ ? "yes" : "no"},
             {"answered_ms", std::to_string(answered / std::chrono::milliseconds(1))},
             {"left_behind", run_left_behind_ ? "yes" : "no"},
             {"parts", shared_parts_text()},
             {"left_out", std::to_string(left_out)}});
    bool stream = route_->rule == state::execution_rule::stream;
    if (stream && run_left_behind_ && run_began_ && may_retry())
        await_run_end(why);
    else
        retry_now_or_refuse(why);
}

void forward_session::retry_now_or_refuse(const std::string& why) {
    if (try_acquire_retry()) {
        dispatch();
        return;
    }
    refuse(503, why, return_after_refusal_s());
}

} // namespace azureyoke::app
