#include "azureyoke/src/app/peer_board.h"

#include <algorithm>
#include <utility>

#include "azureyoke/src/coordination/member_silence.h"

namespace azureyoke::app {

namespace internal {
namespace {

constexpr transport::duration tick_period = std::chrono::milliseconds(250);
constexpr transport::duration report_period = std::chrono::milliseconds(500);
constexpr transport::duration silence = coordination::member_silence;
/// A peer that was not heard for this long, and not listed anew, has ended.
constexpr transport::duration gone_after = std::chrono::seconds(20);
/// Between readings of the list of instances; a new one also makes itself heard.
constexpr transport::duration list_period = std::chrono::seconds(15);
constexpr transport::duration record_retry = std::chrono::seconds(1);
constexpr const char* record_prefix = "instance/";

} // namespace
} // namespace internal

peer_board::peer_board(transport::event_loop& loop, const forward_settings& settings,
                       record_store& records, const event_log& log, report_source source,
                       report_handler on_report)
    : loop_(loop), settings_(settings), records_(records), log_(log), source_(std::move(source)),
      on_report_(std::move(on_report)),
      socket_(loop, [this](std::string_view bytes) { on_datagram(bytes); }) {
    add_seeds(settings.seeds);
}

void peer_board::add_seeds(const std::vector<transport::address>& seeds) {
    // All instances use the same ports.
    for (const auto& it : seeds) {
        transport::address at{it.ip, settings_.peers.port};
        bool known = std::any_of(peers_.begin(), peers_.end(),
                                 [&](const auto& entry) { return entry.second.at == at; });
        if (at != settings_.peers && !known)
            seeds_.insert(at);
    }
}

transport::result<transport::address> peer_board::start() {
    auto bound = socket_.bind(settings_.peers);
    if (!bound)
        return bound;
    started_ = loop_.now();
    tick_timer_ = loop_.every(internal::tick_period, [this] { tick(); });
    write_record();
    return bound;
}

void peer_board::write_record() {
    records_.write(internal::record_prefix + settings_.instance, std::nullopt,
                   transport::to_string(settings_.peers),
                   [this](auto result, const auto& /*version*/) {
                       recorded_ = result == coordination::write_result::written;
                       if (recorded_)
                           next_list_ = {};
                       else
                           retry_timer_ = loop_.after(internal::record_retry, [this] {
                               if (!leaving_)
                                   write_record();
                           });
                   });
}

void peer_board::read_records() {
    records_.list(internal::record_prefix, [this](auto list) {
        if (!list)
            return;
        auto now = loop_.now();
        for (const auto& it : *list) {
            auto name = it.key.substr(std::string_view(internal::record_prefix).size());
            auto at = transport::parse_address(it.value);
            if (!at) {
                log_.warn(event_id::platform_row_unreadable,
                          {{"row", it.key}, {"why", at.error().what}});
                continue;
            }
            if (name == settings_.instance || peers_.contains(name))
                continue;
            peer made;
            made.at = *at;
            made.listed = now;
            made.is_silent = true;
            seeds_.erase(*at);
            peers_.emplace(name, made);
        }
    });
}

void peer_board::tick() {
    auto now = loop_.now();
    if (now >= next_list_) {
        next_list_ = now + internal::list_period;
        read_records();
    }
    for (auto& [name, it] : peers_) {
        bool silent = now - it.heard > internal::silence;
        if (silent == it.is_silent)
            continue;
        it.is_silent = silent;
        if (silent)
            log_.warn(event_id::peer_lost, {{"peer", name}, {"why", "no report came"}});
    }
    if (now >= next_send_)
        send_now();
}

bool peer_board::is_near(const peer& it) const {
    return it.last.data_centre == settings_.data_centre;
}

void peer_board::send_now(reach to) {
    auto now = loop_.now();
    auto report = source_(to);
    report.leaving = leaving_;
    auto near = to_messages(report, transport::most_datagram_bytes);
    if (near.empty())
        log_.warn(event_id::peer_message_refused, {{"why", "a report is larger than a datagram"}});
    untold_.insert(untold_.end(), report.placed.begin(), report.placed.end());
    std::vector<std::string> far;
    if (to == reach::fleet) {
        next_send_ = now + internal::report_period;
        report.placed = std::exchange(untold_, {});
        far = to_messages(std::move(report), transport::most_datagram_bytes);
    }
    std::set<transport::address> sent;
    auto send = [&](const transport::address& at, const std::vector<std::string>& messages) {
        if (messages.empty() || !sent.insert(at).second)
            return;
        for (const auto& bytes : messages)
            socket_.send(at, bytes);
    };
    for (const auto& [name, it] : peers_) {
        auto known = std::max(it.heard, it.listed);
        if (now - known < internal::gone_after)
            send(it.at, is_near(it) ? near : far);
    }
    for (const auto& it : seeds_)
        send(it, far);
}

void peer_board::on_datagram(std::string_view bytes) {
    auto report = parse_peer_report(bytes);
    auto at = report ? transport::parse_address(report->peers)
                     : transport::parse_address(std::string_view());
    if (!report || !at || report->instance == settings_.instance)
        return;
    auto [found, fresh] = peers_.try_emplace(report->instance);
    auto& it = found->second;
    if (!fresh && report->incarnation < it.last.incarnation)
        return; // sent before its restart
    if (fresh || it.is_silent)
        log_.write(event_id::peer_connected, {{"peer", report->instance}});
    it.is_silent = false;
    it.at = *at;
    it.heard = loop_.now();
    it.last = *report;
    seeds_.erase(*at);
    if (report->leaving)
        peers_.erase(found);
    on_report_(*report);
}

void peer_board::on_registry_era() {
    if (recorded_ && !leaving_)
        write_record();
}

void peer_board::leave() {
    leaving_ = true;
    records_.erase(internal::record_prefix + settings_.instance);
    send_now();
}

peer_board::members peer_board::count(transport::instant now) const {
    members made;
    for (const auto& [name, it] : peers_) {
        if (now - std::max(it.heard, it.listed) >= internal::gone_after)
            continue;
        ++made.all;
        made.silent += now - it.heard > internal::silence ? 1 : 0;
    }
    // A fresh instance that is cut off knows the others only from its settings: they may spend.
    if (now - started_ < internal::gone_after) {
        made.all += static_cast<int>(seeds_.size());
        made.silent += static_cast<int>(seeds_.size());
    }
    return made;
}

std::vector<std::string> peer_board::live(transport::instant now) const {
    std::vector<std::string> names = {settings_.instance};
    for (const auto& [name, it] : peers_) {
        if (now - it.heard <= internal::silence)
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<std::string> peer_board::able(transport::instant now) const {
    auto names = live(now);
    std::erase_if(names, [&](const auto& name) {
        auto found = peers_.find(name);
        return found != peers_.end() && !found->second.last.reaches_registry;
    });
    return names;
}

std::ptrdiff_t peer_board::place(transport::instant now) const {
    auto names = able(now);
    return std::find(names.begin(), names.end(), settings_.instance) - names.begin();
}

std::optional<std::string> peer_board::lease_holder(transport::instant now) const {
    for (const auto& [name, it] : peers_) {
        if (it.last.holds_lease && now - it.heard <= internal::silence)
            return name;
    }
    return std::nullopt;
}

std::optional<transport::address> peer_board::holder_of_newer_policy(std::int64_t version,
                                                                     transport::instant now) const {
    for (const auto& [name, it] : peers_) {
        if (it.last.policy_version <= version || now - it.heard > internal::silence)
            continue;
        auto at = transport::parse_address(it.last.operators);
        if (at)
            return *at;
    }
    return std::nullopt;
}

} // namespace azureyoke::app
