#include "azureyoke/src/app/part_service.h"

#include <algorithm>
#include <iterator>

#include "azureyoke/src/coordination/permit_issuer.h"
#include "azureyoke/src/state/prefix_hashes.h"

namespace azureyoke::app {

using coordination::duration;

namespace internal {
namespace {

constexpr transport::duration probe_timeout = std::chrono::milliseconds(300);
/// A reply takes a round trip between data centres.
constexpr transport::duration trial_reply_timeout = std::chrono::milliseconds(200);
/// Wait after a request for a trial that was not answered.
constexpr duration unanswered_wait = std::chrono::milliseconds(300);
/// Peers that news are passed on to at once. With 4, a rumor reaches 98 in 100 of any number.
constexpr std::size_t rumor_peers = 4;
/// Peers that get everything in each period, which reaches those that missed the rumor.
constexpr std::size_t repeat_peers = 2;
constexpr transport::duration repeat_period = std::chrono::milliseconds(500);
/// Most parts of one round of news, and most datagrams for them.
constexpr std::size_t max_message_parts = 24;
constexpr std::size_t max_messages = 4;

std::uint64_t crash_id(const lost_request& lost) {
    return state::rendezvous_score(static_cast<std::uint64_t>(lost.started_ms), lost.server);
}

} // namespace
} // namespace internal

part_service::part_service(transport::event_loop& loop, const forward_settings& settings,
                           const peer_directory& peers, const event_log& log,
                           log_rate_limiter& log_limiter, metrics& measures, server_path& paths)
    : loop_(loop), settings_(settings), peers_(peers), log_(log), log_limiter_(log_limiter),
      measures_(measures), paths_(paths), suspicions_({}),
      random_(static_cast<std::minstd_rand::result_type>(
          state::rendezvous_score(1, settings.instance))) {}

coordination::part_assessment part_service::assess(const std::vector<std::string>& parts) const {
    return suspicions_.assess(parts, loop_.now());
}

void part_service::log_change(const std::string& part, bool was_suspected,
                              const std::string& said_by) {
    bool suspected = suspicions_.is_suspected(part);
    if (suspected == was_suspected)
        return;
    if (suspected)
        log_.warn(event_id::part_suspected, {{"part", part}, {"said_by", said_by}});
    else
        log_.write(event_id::part_cleared, {{"part", part}, {"said_by", said_by}});
}

void part_service::on_answer(const std::vector<std::string>& parts,
                             coordination::answer_progress reached) {
    if (suspicions_.empty())
        return;
    std::vector<std::string> suspected;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(suspected),
                 [&](const auto& part) { return suspicions_.is_suspected(part); });
    suspicions_.on_answer(parts, reached, loop_.now());
    for (const auto& part : suspected)
        log_change(part, true, "answer");
}

void part_service::on_lost(const lost_request& lost, crash_handler on_crash) {
    auto& check = checks_[lost.server];
    check.lost.emplace_back(lost, std::move(on_crash));
    if (check.probe != nullptr)
        return;
    check.lost_at = loop_.now();
    check.probe = std::make_unique<transport::connect_probe>(
        loop_, lost.address, internal::probe_timeout,
        [this, server = lost.server](auto result) { on_probed(server, result); });
}

void part_service::on_probed(const std::string& server, transport::connect_result result) {
    auto node = checks_.extract(server);
    auto check = std::make_shared<server_check>(std::move(node.mapped()));
    // The caller is a function of the probe.
    loop_.defer([check] { check->probe.reset(); });
    if (result != transport::connect_result::refused) {
        bool accepted = result == transport::connect_result::accepted;
        for (const auto& [lost, on_crash] : check->lost) {
            if (lost.may_be_complete && accepted)
                on_answer(lost.parts, coordination::answer_progress::complete());
        }
        return;
    }
    for (const auto& [lost, on_crash] : check->lost)
        on_crash();
    paths_.check(server, [this, server, check](bool others_reached) {
        if (others_reached)
            on_crash_confirmed(server, *check);
    });
}

void part_service::on_crash_confirmed(const std::string& server, const server_check& check) {
    for (const auto& [lost, on_crash] : check.lost)
        charge(lost, {internal::crash_id(lost), check.lost_at, lost.reached});
    auto begun = std::count_if(check.lost.begin(), check.lost.end(), [](const auto& it) {
        return it.first.reached > coordination::answer_progress();
    });
    log_.warn(event_id::replica_crashed, {{"backend_server", server},
                                          {"lost", std::to_string(check.lost.size())},
                                          {"begun", std::to_string(begun)}});
}

void part_service::charge(const lost_request& lost, const coordination::crash_mark& crash) {
    std::vector<bool> suspected;
    for (const auto& part : lost.parts)
        suspected.push_back(suspicions_.is_suspected(part));
    // A part that was cleared while its trial went on is not tried any more.
    bool trial = !lost.trial_part.empty() && suspicions_.is_suspected(lost.trial_part);
    suspicions_.on_crash(lost.parts, crash);
    if (trial) {
        suspicions_.on_trial_failed(lost.trial_part, crash);
        measures_.count("azureyoke_part_trials_total", "result", "crashed");
    }
    for (std::size_t i = 0; i < lost.parts.size(); ++i)
        log_change(lost.parts[i], suspected[i], "crash");
}

std::string part_service::decider_of(const std::string& part, const std::string& without) const {
    auto names = peers_.live(loop_.now());
    std::erase(names, without);
    return names.empty() ? settings_.instance : coordination::choose_issuer(names, part);
}

void part_service::on_peer(const std::string& instance, std::uint64_t incarnation) {
    auto [found, is_new] = incarnations_.try_emplace(instance);
    if (!is_new && found->second >= incarnation)
        return;
    found->second = incarnation;
    auto parts = suspicions_.active(internal::max_message_parts);
    std::erase_if(
        parts, [&](const auto& part) { return decider_of(part, instance) != settings_.instance; });
    send(instance, messages_about(parts));
}

void part_service::acquire_trial(const std::string& part, trial_handler done) {
    auto now = loop_.now();
    auto decider = decider_of(part);
    auto number = next_number_++;
    auto& pending = pending_[number];
    pending.part = part;
    pending.done = std::move(done);
    auto to = peers_.address_of(decider);
    if (decider == settings_.instance || !to) {
        bool granted = suspicions_.try_start_trial(part, now);
        end_trial_request(number, granted, suspicions_.next_trial(part, now) - now,
                          granted ? "granted" : "denied");
        return;
    }
    pending.timeout = loop_.after(internal::trial_reply_timeout, [this, number, decider] {
        std::int64_t left_out = 0;
        if (log_limiter_.try_acquire(event_id::trial_unanswered, loop_.now(), left_out))
            log_.warn(event_id::trial_unanswered, {{"part", pending_[number].part},
                                                   {"decider", decider},
                                                   {"left_out", std::to_string(left_out)}});
        end_trial_request(number, false, internal::unanswered_wait, "unanswered");
    });
    peers_.send(
        *to, to_bytes(trial_request{transport::to_string(settings_.peers), number, report_of(part)},
                      now));
}

void part_service::end_trial_request(std::uint64_t number, bool granted, duration wait,
                                     const char* result) {
    auto node = pending_.extract(number);
    if (node.empty())
        return; // it has timed out
    measures_.count("azureyoke_part_trials_total", "result", result);
    node.mapped().done(granted, wait);
}

part_report part_service::report_of(const std::string& part) const {
    return {part, suspicions_.evidence(part)};
}

void part_service::merge(const part_report& report) {
    bool suspected = suspicions_.is_suspected(report.part);
    suspicions_.merge(report.part, report.evidence, loop_.now());
    log_change(report.part, suspected, "peer");
}

void part_service::on_news(const part_news& news) {
    for (const auto& it : news.parts)
        merge(it);
}

void part_service::on_request(const trial_request& request) {
    auto reply_to = transport::parse_address(request.reply_to);
    if (!reply_to)
        return;
    auto now = loop_.now();
    merge(request.part);
    const auto& part = request.part.part;
    // An instance that chose another decider sees different peers for now.
    bool granted = decider_of(part) == settings_.instance && suspicions_.try_start_trial(part, now);
    auto wait = std::max(suspicions_.next_trial(part, now) - now, internal::unanswered_wait);
    peers_.send(*reply_to,
                to_bytes(trial_reply{request.number, granted, wait, report_of(part)}, now));
}

void part_service::on_reply(const trial_reply& reply) {
    merge(reply.part);
    end_trial_request(reply.number, reply.granted, reply.wait,
                      reply.granted ? "granted" : "denied");
}

bool part_service::on_datagram(std::string_view bytes) {
    auto message = parse_part_message(bytes, loop_.now());
    if (!message)
        return false;
    if (const auto* news = std::get_if<part_news>(&*message))
        on_news(*news);
    else if (const auto* request = std::get_if<trial_request>(&*message))
        on_request(*request);
    else
        on_reply(std::get<trial_reply>(*message));
    return true;
}

std::vector<std::string> part_service::messages_about(const std::vector<std::string>& parts) const {
    part_news news;
    for (const auto& part : parts)
        news.parts.push_back(report_of(part));
    return to_messages(news, loop_.now(), transport::max_datagram_bytes, internal::max_messages);
}

void part_service::send(const std::string& instance,
                        const std::vector<std::string>& messages) const {
    auto to = peers_.address_of(instance);
    for (std::size_t i = 0; to && i < messages.size(); ++i)
        peers_.send(*to, messages[i]);
}

void part_service::send_news(const std::vector<std::string>& parts, std::size_t peers) {
    if (parts.empty())
        return;
    auto messages = messages_about(parts);
    auto names = peers_.live(loop_.now());
    std::erase(names, settings_.instance);
    std::vector<std::string> chosen;
    std::sample(names.begin(), names.end(), std::back_inserter(chosen), peers, random_);
    for (const auto& name : chosen)
        send(name, messages);
}

void part_service::tick() {
    if (suspicions_.empty())
        return;
    auto now = loop_.now();
    suspicions_.expire(now);
    send_news(suspicions_.take_changed(internal::max_message_parts), internal::rumor_peers);
    if (now - repeated_at_ < internal::repeat_period)
        return;
    repeated_at_ = now;
    send_news(suspicions_.active(internal::max_message_parts), internal::repeat_peers);
}

} // namespace azureyoke::app
