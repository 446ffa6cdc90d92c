#include "azureyoke/src/app/policy_service.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "azureyoke/src/transport/backend_fetch.h"

namespace azureyoke::app {

using coordination::policy_answer;
using coordination::policy_content;
using transport::http_response;

namespace internal {
namespace {

constexpr std::string_view whole_path = "/policy";
constexpr std::string_view changes_path = "/policy/since/";
/// Answers from this size on are sent to a few peers at a time, so that each of them arrives soon.
constexpr std::size_t min_large_bytes = 16 * 1024;
constexpr std::size_t max_large_answers = 3;
/// Bound on the text that changes may result in.
constexpr std::size_t max_policy_bytes = 16 * 1024 * 1024;

transport::fetch_limits limits_of(policy_content content) {
    transport::fetch_limits limits;
    if (content == policy_content::changes) {
        limits.head = std::chrono::milliseconds(500);
        limits.stall = std::chrono::milliseconds(500);
        limits.body = std::chrono::seconds(5);
    }
    return limits;
}

http_response make_page(const std::string& body, const char* type, std::size_t open_answers) {
    if (body.size() >= min_large_bytes && open_answers > max_large_answers)
        return {503, {}, "the policy is being sent to other instances\n"};
    return {200, {{"Content-Type", type}}, body};
}

const char* name_of(policy_content content) {
    return content == policy_content::whole ? "whole" : "changes";
}

} // namespace
} // namespace internal

policy_service::policy_service(transport::event_loop& loop, forward_state& state,
                               peer_directory& peers, fleet_registry& registry,
                               transport::backend_pool& backends, const event_log& log,
                               log_rate_limiter& log_limiter, metrics& measures, std::uint64_t seed,
                               policy_handler on_policy)
    : loop_(loop), state_(state), peers_(peers), registry_(registry), backends_(backends),
      log_(log), log_limiter_(log_limiter), metrics_(measures), on_policy_(std::move(on_policy)),
      catch_up_({}, seed) {}

std::int64_t policy_service::own_version() const {
    return state_.policy.policy ? state_.policy.policy->version() : 0;
}

void policy_service::on_registry_policy(const policy_copy& copy) {
    take(copy, "registry", copy.text.size());
}

void policy_service::take(const policy_copy& copy, const std::string& source, std::size_t bytes) {
    if (!state_.set_policy(copy, loop_.now()))
        return;
    auto since = catch_up_.behind_since();
    auto behind = since ? loop_.now() - *since : transport::duration(0);
    metrics_.count("azureyoke_policies_total", "source",
                   source == "registry" ? "registry" : "peer");
    log_.write(event_id::configuration_accepted,
               {{"version", std::to_string(copy.policy->version())},
                {"source", source},
                {"bytes", std::to_string(bytes)},
                {"read_us", std::to_string(copy.read_time.count())},
                {"parsed", std::to_string(copy.parsed_elements)},
                {"behind_ms", std::to_string(behind / std::chrono::milliseconds(1))}});
    history_.add(copy.policy->version(), copy.position, copy.text);
    catch_up_.on_policy();
    state_.newer_policy_exists = false;
    on_policy_(copy);
    on_peer(peers_.newest_policy(loop_.now()));
}

void policy_service::on_peer(std::int64_t version) {
    if (version <= own_version())
        return;
    state_.newer_policy_exists = true;
    catch_up_.on_newer_version(loop_.now());
    schedule();
}

void policy_service::tick() {
    if (state_.newer_policy_exists)
        state_.newer_policy_exists = peers_.newest_policy(loop_.now()) > own_version();
}

void policy_service::schedule() {
    auto at = catch_up_.next_request_at();
    if (timer_ == nullptr && at)
        timer_ = loop_.after(std::max(*at - loop_.now(), transport::duration(0)), [this] {
            timer_.reset();
            request();
        });
}

void policy_service::request() {
    auto now = loop_.now();
    auto next = catch_up_.next(own_version(), peers_.policy_sources(now),
                               registry_.receiving_policy(), now);
    auto at = next ? peers_.operators_of(next->instance) : std::nullopt;
    if (!next || !at) {
        if (next)
            catch_up_.on_answer(next->instance, policy_answer::failed, now);
        schedule();
        return;
    }
    transfer it{next->instance, next->content, own_version()};
    auto target = it.content == policy_content::whole
                      ? std::string(internal::whole_path)
                      : std::string(internal::changes_path) + std::to_string(it.own_version);
    transport::fetch(loop_, backends_, *at,
                     {"GET", target, {{"Host", transport::to_string(*at)}}, {}},
                     internal::limits_of(it.content), nullptr,
                     [this, it](auto answer) { on_answer(it, answer); });
}

void policy_service::on_answer(const transfer& it, const transport::result<http_response>& answer) {
    std::string why;
    auto result = policy_answer::failed;
    if (!answer)
        why = answer.error().what;
    else if (answer->status == 200)
        result = take_answer(it, *answer, why);
    else if (answer->status == 404 && it.content == policy_content::changes)
        result = policy_answer::unavailable;
    else
        why = "the peer answered " + std::to_string(answer->status);
    catch_up_.on_answer(it.peer, result, loop_.now());
    std::int64_t left_out = 0;
    if (!why.empty()) {
        metrics_.count("azureyoke_policy_transfers_failed_total", "content",
                       internal::name_of(it.content));
        if (log_limiter_.try_acquire(event_id::configuration_transfer_failed, loop_.now(),
                                     left_out))
            log_.warn(event_id::configuration_transfer_failed,
                      {{"peer", it.peer},
                       {"content", internal::name_of(it.content)},
                       {"version", std::to_string(it.own_version)},
                       {"why", why},
                       {"left_out", std::to_string(left_out)}});
    }
    schedule();
}

policy_answer policy_service::take_answer(const transfer& it, const http_response& answer,
                                          std::string& why) {
    if (own_version() != it.own_version)
        return policy_answer::taken; // the registry was faster
    std::string text = answer.body;
    state::record_version position;
    if (it.content == policy_content::changes) {
        auto changes = parse_policy_changes(answer.body);
        const auto* old_text = history_.newest();
        auto changed =
            changes && old_text != nullptr
                ? state::apply_delta(*old_text, changes->delta, internal::max_policy_bytes)
                : std::nullopt;
        if (!changed) {
            why = "the changes do not apply to version " + std::to_string(it.own_version);
            return policy_answer::unavailable;
        }
        text = std::move(*changed);
        position = changes->position;
    }
    auto copy = registry_.read_policy(text, why);
    if (!copy)
        return policy_answer::failed;
    if (copy->policy->version() <= it.own_version) {
        why = "version " + std::to_string(copy->policy->version()) + " is not newer";
        return policy_answer::failed;
    }
    copy->position = position;
    take(*copy, it.peer, answer.body.size());
    if (!position.absent())
        registry_.skip_policy(position);
    return policy_answer::taken;
}

std::optional<http_response> policy_service::page(std::string_view path, std::size_t open_answers) {
    if (path == internal::whole_path) {
        const auto* text = history_.newest();
        return text == nullptr ? http_response{404, {}, "this instance holds no policy yet\n"}
                               : internal::make_page(*text, "application/json", open_answers);
    }
    if (!path.starts_with(internal::changes_path))
        return std::nullopt;
    auto number = path.substr(internal::changes_path.size());
    std::int64_t version = 0;
    auto [end, ec] = std::from_chars(number.data(), number.data() + number.size(), version);
    const auto* changes = ec == std::errc() && end == number.data() + number.size()
                              ? history_.changes_since(version)
                              : nullptr;
    if (changes == nullptr)
        return http_response{404, {}, "no changes since this version are known\n"};
    return internal::make_page(*changes, "application/cbor", open_answers);
}

} // namespace azureyoke::app
