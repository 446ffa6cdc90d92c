#include "azureyoke/src/app/forward_session.h"

#include <algorithm>
#include <cmath>

#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/coordination/return_time.h"

namespace azureyoke::app {

using coordination::call_end;

forward_session::forward_session(forward_services& services,
                                 std::shared_ptr<transport::front_exchange> exchange)
    : services_(services), exchange_(std::move(exchange)) {}

double forward_session::ms_left() const {
    return coordination::to_seconds(deadline_ - services_.loop.now()) * 1000;
}

void forward_session::start() {
    std::string why;
    auto intent = services_.dialect.read_request(exchange_->request(), why);
    if (!intent) {
        refuse(400, why);
        return;
    }
    intent_ = std::move(*intent);
    if (services_.refuse_all) {
        refuse(503, "this instance is about to end", least_retry_s);
        return;
    }
    policy_ = services_.state.policy.policy;
    if (!admit())
        return;
    exchange_->on_closed([self = shared_from_this()] { self->on_caller_gone(); });
    time_over_ = services_.loop.after(deadline_ - services_.loop.now(), [this] { on_time_over(); });
    services_.state.retries(pool_).on_request(services_.loop.now());
    dispatch();
}

bool forward_session::admit() {
    if (policy_ == nullptr) {
        refuse(503, "this instance holds no policy yet", retry_when_ready_s);
        return false;
    }
    bool may_be_old = services_.state.policy_may_be_old;
    route_ = policy_->find_route(intent_.host, transport::path_of(exchange_->request().target));
    if (route_ == nullptr) {
        if (may_be_old)
            refuse(503, "no known route matches, and the policy may be old", retry_when_ready_s);
        else
            refuse(404, "no route of host \"" + intent_.host + "\" matches the path");
        return false;
    }
    if (!find_workspace())
        return false;
    auto limit_ms = route_->timeout_ms > 0 ? route_->timeout_ms : longest_request_ms;
    if (intent_.deadline_ms)
        limit_ms = std::min(limit_ms, *intent_.deadline_ms);
    deadline_ = exchange_->received() + std::chrono::milliseconds(limit_ms);
    pool_ = pool_of(*route_, intent_.request_id);
    question_.pool = pool_;
    const auto* pool = policy_->find_pool(pool_);
    if (pool != nullptr && !pool->models.empty())
        question_.model = intent_.model; // a plain service has no weights to go by
    question_.most_connections = pool == nullptr ? 0 : pool->most_connections;
    question_.parts = intent_.parts;
    question_.number = static_cast<std::int64_t>(std::hash<std::string>()(intent_.request_id));
    if (workspace_ != nullptr && workspace_->isolated)
        question_.cache_wall = workspace_->name;
    return within_limit();
}

bool forward_session::find_workspace() {
    if (route_->keyless)
        return true;
    workspace_ = policy_->find_workspace(intent_.key);
    if (workspace_ != nullptr)
        return true;
    if (services_.state.policy_may_be_old)
        refuse(503, "the key is not known, and the policy may be old", retry_when_ready_s);
    else
        refuse(401, "the key belongs to no workspace");
    return false;
}

bool forward_session::within_limit() {
    auto* limit = workspace_ == nullptr ? nullptr : services_.state.limit(workspace_->name);
    if (limit == nullptr)
        return true;
    auto now = services_.loop.now();
    double cost = 1;
    if (workspace_->counts_tokens)
        cost = static_cast<double>(intent_.tokens.value_or(workspace_->unknown_tokens));
    if (limit->take(cost, now)) {
        cost_ = cost;
        return true;
    }
    auto wait = std::max(limit->seconds_until(cost, now), least_retry_s);
    auto text = [](double value) { return std::to_string(std::lround(value)); };
    refuse(429,
           "workspace \"" + workspace_->name + "\" has used its rate and burst: " + text(cost) +
               " asked, " + text(limit->available(now)) + " left of " + text(limit->burst()) +
               " at " + text(limit->rate()) + " a second",
           soon(wait));
    return false;
}

bool forward_session::place() {
    auto now = services_.loop.now();
    if (const auto* wanted = services_.state.wanted(question_.model)) {
        question_.newest_weights = wanted->known_for(new_weights_grace, now);
        question_.oldest_weights = wanted->known_for(oldest_allowed(services_.settings), now);
    }
    choice_ = services_.state.router.choose(services_.state.directory, question_, now);
    if (!choice_ && !question_.excluded.empty()) {
        question_.excluded.clear(); // each has refused or failed it once: any may be tried again
        choice_ = services_.state.router.choose(services_.state.directory, question_, now);
    }
    return choice_.has_value();
}

void forward_session::dispatch() {
    if (services_.state.policy.policy != policy_ && !route_->keyless &&
        services_.state.policy.policy->find_workspace(intent_.key) == nullptr) {
        refuse(may_have_run_ ? 502 : 401, "the key was withdrawn");
        return;
    }
    if (!place()) {
        refuse_unplaced();
        return;
    }
    double patience = patience_ms(*route_, ms_left());
    if (sends_ == 0 && choice_->first_answer_ms > patience) {
        auto excess = (choice_->first_answer_ms - patience) / 1000;
        last_server_ = choice_->server;
        last_estimate_ms_ = choice_->first_answer_ms;
        choice_.reset();
        refuse(503, "the wait would be longer than the caller's time",
               soon(excess + least_retry_s));
        return;
    }
    send();
}

void forward_session::refuse_unplaced() {
    int status = may_have_run_ ? 502 : 503;
    auto rest =
        services_.state.router.rest_left(services_.state.directory, pool_, services_.loop.now());
    if (rest)
        refuse(status, "each usable backend server of pool \"" + pool_ + "\" asked for rest",
               coordination::to_seconds(coordination::return_after(*rest, question_.number)));
    else
        refuse(status, "no backend server of pool \"" + pool_ + "\" is usable",
               soon(retry_no_server_s));
}

forward_directive forward_session::directive() const {
    forward_directive made;
    made.server = choice_->server;
    made.workspace = workspace_ == nullptr ? "" : workspace_->name;
    made.deadline_ms = std::max<std::int64_t>(1, static_cast<std::int64_t>(ms_left()));
    if (choice_->weights > 0) {
        // Parts are told apart by the weights that made them, also in other servers' memory.
        made.weights = choice_->weights;
        made.cache_wall = question_.cache_wall + "#" + std::to_string(choice_->weights);
        made.cache_holder = cache_source();
        made.cache_keeper = choice_->save ? kept_cache() : std::string();
    }
    made.last_event = relay_.last_id().empty() ? intent_.last_event : relay_.last_id();
    return made;
}

std::string forward_session::kept_cache() const {
    for (const auto& it : policy_->pools()) {
        if (!it.kept_cache_address.empty())
            return it.kept_cache_address;
    }
    return {};
}

std::string forward_session::cache_source() const {
    if (!choice_->fetch)
        return {};
    const auto* holder = services_.state.directory.find(choice_->cache_holder);
    return holder == nullptr ? kept_cache() : holder->address;
}

void forward_session::send() {
    const auto* server = services_.state.directory.find(choice_->server);
    auto to = transport::parse_address(server == nullptr ? "" : server->address);
    if (!to) {
        question_.excluded.push_back(choice_->server);
        choice_.reset();
        try_again("server has no usable address");
        return;
    }
    const auto& asked = exchange_->request();
    transport::http_request request{asked.method, asked.target,
                                    services_.dialect.request_fields(asked, directive()),
                                    asked.body};
    ++sends_;
    ++runs_;
    sent_at_ = services_.loop.now();
    first_answer_seen_ = false;
    answer_failed_ = false;
    use_ = answer_use::pass;
    held_ = {};
    last_server_ = choice_->server;
    last_born_ms_ = server->born_ms;
    last_estimate_ms_ = choice_->first_answer_ms;
    last_new_tokens_ = choice_->new_tokens;
    note("sent to " + last_server_ + " for " + std::to_string(last_new_tokens_) +
         " prompt tokens to read, first answer expected in " +
         std::to_string(std::lround(last_estimate_ms_)) + " ms");
    services_.state.router.on_sent(question_, *choice_, sent_at_);
    call_ = services_.backends.send(*to, request, true, shared_from_this());
    last_event_at_ = sent_at_;
    if (route_->rule == state::run_rule::stream)
        watch_events();
}

void forward_session::watch_events() {
    auto keep = shared_from_this();
    auto limit = coordination::from_seconds(longest_gap_ms(*route_) / 1000);
    auto quiet = services_.loop.now() - last_event_at_;
    bool caller_reads = exchange_->unwritten() == 0; // else reading may have stopped for it
    if (quiet >= limit && caller_reads) {
        on_failure({transport::errc::timed_out,
                    "no event for " + std::to_string(quiet / std::chrono::milliseconds(1)) + " ms",
                    true});
        return;
    }
    answer_timer_ =
        services_.loop.after(quiet < limit ? limit - quiet : limit, [this] { watch_events(); });
}

void forward_session::on_not_run() {
    auto keep = shared_from_this();
    settle(call_end::shed);
    --runs_;
    question_.excluded.push_back(last_server_);
    try_again("the server did not run it");
}

void forward_session::on_failure(const transport::error& ec) {
    if (ended_)
        return;
    settle(ec.bytes_left ? call_end::broken : call_end::unreached);
    if (ec.bytes_left)
        may_have_run_ = true;
    else
        --runs_;
    question_.excluded.push_back(last_server_);
    relay_.restart();
    try_again(ec.what);
}

bool forward_session::may_send_again() const {
    bool goes_on = route_->rule == state::run_rule::stream && route_->resumable;
    bool repeats = route_->rule == state::run_rule::repeatable || goes_on;
    bool safe = exchange_->started() ? goes_on : !may_have_run_ || repeats;
    auto& state = services_.state;
    return safe && !exchange_->over() && runs_ < route_->most_attempts &&
           sends_ < route_->most_attempts + most_unrun_sends && ms_left() > least_time_to_send_ms &&
           state.retries(pool_).take(state.instances, services_.loop.now());
}

void forward_session::try_again(const std::string& why) {
    note(last_server_ + ": " + why);
    std::int64_t left_out = 0;
    if (services_.lines.take(event_id::attempt_failed, services_.loop.now(), left_out))
        services_.log.warn(event_id::attempt_failed, {{"request", intent_.request_id},
                                                      {"backend_server", last_server_},
                                                      {"why", why},
                                                      {"left_out", std::to_string(left_out)}});
    if (may_send_again()) {
        dispatch();
        return;
    }
    refuse(may_have_run_ ? 502 : 503, why, soon(retry_no_server_s));
}

void forward_session::on_time_over() {
    if (ended_)
        return;
    auto keep = shared_from_this();
    bool sent = choice_.has_value();
    if (sent)
        settle(first_answer_seen_ ? call_end::cancelled : call_end::broken);
    refuse(sent || may_have_run_ ? 504 : 503,
           exchange_->started() ? "its time is over" : "no answer in the route's time");
}

void forward_session::on_caller_gone() {
    if (ended_)
        return;
    if (choice_)
        settle(call_end::cancelled);
    finish(event_id::caller_left, "the caller closed the connection");
}

void forward_session::settle(call_end how) {
    services_.state.router.on_end(*choice_, how, services_.loop.now());
    choice_.reset();
    answer_timer_.reset();
    call_.reset();
}

double forward_session::soon(double seconds) const {
    return std::max(0.0, std::min(seconds, ms_left() / 3000));
}

void forward_session::refuse(int status, const std::string& why,
                             std::optional<double> retry_after_s) {
    if (ended_)
        return;
    if (exchange_->started()) {
        // No second head can follow the first: the caller must see the cut.
        exchange_->abort();
        finish(event_id::request_refused, "stream cut: " + why);
        return;
    }
    bool repeatable_later = status == 503 || status == 429;
    auto fields = services_.dialect.refusal_fields(intent_.request_id,
                                                   repeatable_later ? retry_after_s : std::nullopt);
    exchange_->reply({status, fields, why + "\n"});
    services_.measures.count("azureyoke_refusals_total", "status", std::to_string(status));
    finish(event_id::request_refused, std::to_string(status) + ": " + why);
}

void forward_session::note(std::string what) {
    auto at = services_.loop.now() - exchange_->received();
    steps_.push_back({at.count(), std::move(what)});
}

void forward_session::finish(event_id how, const std::string& detail) {
    if (ended_)
        return;
    ended_ = true;
    note(detail);
    services_.history.add({intent_.request_id, workspace_ == nullptr ? "" : workspace_->name,
                           route_ == nullptr ? "" : route_->name, std::move(steps_)});
    time_over_.reset();
    answer_timer_.reset();
    call_.reset();
    auto* limit = workspace_ == nullptr ? nullptr : services_.state.limit(workspace_->name);
    if (limit != nullptr && cost_ > 0 && sends_ == 0)
        limit->refund(cost_);
    std::int64_t left_out = 0;
    auto now = services_.loop.now();
    if (!services_.lines.take(how, now, left_out))
        return;
    auto took = (now - exchange_->received()).count();
    services_.log.write(how, {{"request", intent_.request_id},
                              {"workspace", workspace_ == nullptr ? "" : workspace_->name},
                              {"target", route_ == nullptr ? "" : route_->name},
                              {"took_us", std::to_string(took)},
                              {"detail", detail},
                              {"backend_server", last_server_},
                              {"sends", std::to_string(sends_)},
                              {"new_tokens", std::to_string(last_new_tokens_)},
                              {"estimate_ms", std::to_string(std::lround(last_estimate_ms_))},
                              {"first_answer_ms", std::to_string(std::lround(first_answer_ms_))},
                              {"policy", std::to_string(policy_ ? policy_->version() : 0)},
                              {"left_out", std::to_string(left_out)}});
}

} // namespace azureyoke::app
