#include "azureyoke/src/app/peer_directory.h"

#include <algorithm>
#include <utility>

#include "azureyoke/src/coordination/member_unresponsive_timeout.h"

namespace azureyoke::app {

namespace internal {
namespace {

constexpr transport::duration tick_period = std::chrono::milliseconds(250);
constexpr transport::duration report_period = std::chrono::milliseconds(500);
constexpr transport::duration unresponsive_timeout = coordination::member_unresponsive_timeout;
/// A peer counts as ended this long after its last report, or after its record was read if it has
/// sent no report.
constexpr transport::duration removal_timeout = std::chrono::seconds(20);
/// Time between reads of the list of instances; a new instance also sends reports itself.
constexpr transport::duration list_period = std::chrono::seconds(15);
constexpr transport::duration record_retry_delay = std::chrono::seconds(1);
constexpr const char* record_prefix = "instance/";

} // namespace
} // namespace internal

peer_directory::peer_directory(transport::event_loop& loop, const forward_settings& settings,
                               record_store& records, const event_log& log, report_source source,
                               report_handler on_report, message_handler on_message)
    : loop_(loop), settings_(settings), records_(records), log_(log), source_(std::move(source)),
      on_report_(std::move(on_report)), on_message_(std::move(on_message)),
      log_limiter_(static_cast<int>(settings.log_lines_per_second)),
      socket_(loop, [this](std::string_view bytes) { on_datagram(bytes); }) {
    add_seeds(settings.seeds);
}

void peer_directory::add_seeds(const std::vector<transport::address>& seeds) {
    // All instances use the same ports.
    for (const auto& it : seeds) {
        transport::address at{it.ip, settings_.peers.port};
        bool known = std::any_of(peers_.begin(), peers_.end(),
                                 [&](const auto& entry) { return entry.second.address == at; });
        if (at != settings_.peers && !known)
            seeds_.insert(at);
    }
}

transport::result<transport::address> peer_directory::start() {
    auto bound = socket_.bind(settings_.peers);
    if (!bound)
        return bound;
    started_ = loop_.now();
    tick_timer_ = loop_.every(internal::tick_period, [this] { tick(); });
    write_record();
    return bound;
}

void peer_directory::write_record() {
    records_.write(internal::record_prefix + settings_.instance, std::nullopt,
                   transport::to_string(settings_.peers),
                   [this](auto result, const auto& /*version*/) {
                       recorded_ = result == coordination::write_result::written;
                       if (recorded_)
                           next_list_ = {};
                       else
                           retry_timer_ = loop_.after(internal::record_retry_delay, [this] {
                               if (!leaving_)
                                   write_record();
                           });
                   });
}

void peer_directory::read_records() {
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
            peer entry;
            entry.address = *at;
            entry.listed_at = now;
            entry.is_unresponsive = true;
            seeds_.erase(*at);
            peers_.emplace(name, entry);
        }
    });
}

void peer_directory::tick() {
    auto now = loop_.now();
    if (now >= next_list_) {
        next_list_ = now + internal::list_period;
        read_records();
    }
    for (auto& [name, it] : peers_) {
        bool unresponsive = now - it.received_at > internal::unresponsive_timeout;
        if (unresponsive == it.is_unresponsive)
            continue;
        it.is_unresponsive = unresponsive;
        if (unresponsive)
            log_.warn(event_id::peer_lost,
                      {{"peer", name}, {"why", "no report received within the timeout"}});
    }
    if (now >= next_send_)
        send_now();
}

bool peer_directory::in_own_data_centre(const peer& it) const {
    return it.last_report.data_centre == settings_.data_centre;
}

std::vector<report_section> peer_directory::sections(report_scope scope) const {
    std::vector<report_section> list;
    for (auto* it : sections_) {
        for (auto& content : it->contents(scope))
            list.push_back({it->name(), std::move(content)});
    }
    return list;
}

bool peer_directory::sections_have_news() const {
    return std::any_of(sections_.begin(), sections_.end(),
                       [](const auto* it) { return it->has_news(); });
}

void peer_directory::pass_on_sections(const peer_report& report) {
    section_sender sender{report.instance, report.data_centre, report.incarnation};
    for (const auto& it : report.sections) {
        auto known = std::find_if(sections_.begin(), sections_.end(),
                                  [&](const auto* section) { return section->name() == it.name; });
        std::int64_t left_out = 0;
        if (known == sections_.end() || (*known)->on_content(sender, it.content) ||
            !log_limiter_.try_acquire(event_id::peer_message_refused, loop_.now(), left_out))
            continue;
        log_.warn(event_id::peer_message_refused,
                  {{"peer", report.instance},
                   {"why", "section \"" + it.name + "\" cannot be read"},
                   {"left_out", std::to_string(left_out)}});
    }
}

void peer_directory::send_now(report_scope scope) {
    auto now = loop_.now();
    auto report = source_(scope);
    report.leaving = leaving_;
    report.sections = sections(report_scope::data_centre);
    auto near_messages = to_messages(report, transport::max_datagram_bytes);
    if (near_messages.empty())
        log_.warn(event_id::peer_message_refused,
                  {{"why", "the report exceeds the maximum datagram size"}});
    unreported_placements_.insert(unreported_placements_.end(), report.placed.begin(),
                                  report.placed.end());
    std::vector<std::string> far_messages;
    if (scope == report_scope::fleet) {
        next_send_ = now + internal::report_period;
        report.placed = std::exchange(unreported_placements_, {});
        report.sections = sections(report_scope::fleet);
        far_messages = to_messages(std::move(report), transport::max_datagram_bytes);
    }
    std::set<transport::address> sent;
    auto send = [&](const transport::address& at, const std::vector<std::string>& messages) {
        if (messages.empty() || !sent.insert(at).second)
            return;
        for (const auto& bytes : messages)
            socket_.send(at, bytes);
    };
    for (const auto& [name, it] : peers_) {
        auto last_known = std::max(it.received_at, it.listed_at);
        if (now - last_known < internal::removal_timeout)
            send(it.address, in_own_data_centre(it) ? near_messages : far_messages);
    }
    for (const auto& it : seeds_)
        send(it, far_messages);
}

void peer_directory::on_datagram(std::string_view bytes) {
    auto report = parse_peer_report(bytes);
    if (!report && on_message_(bytes))
        return;
    auto at = report ? transport::parse_address(report->peers)
                     : transport::parse_address(std::string_view());
    if (!report || !at || report->instance == settings_.instance)
        return;
    auto [found, inserted] = peers_.try_emplace(report->instance);
    auto& it = found->second;
    if (!inserted && report->incarnation < it.last_report.incarnation)
        return; // sent before the peer restarted
    if (inserted || it.is_unresponsive)
        log_.write(event_id::peer_connected, {{"peer", report->instance}});
    it.is_unresponsive = false;
    it.address = *at;
    it.received_at = loop_.now();
    it.last_report = *report;
    it.last_report.sections.clear();
    seeds_.erase(*at);
    if (report->leaving)
        peers_.erase(found);
    on_report_(*report);
    pass_on_sections(*report);
}

void peer_directory::on_registry_era() {
    if (recorded_ && !leaving_)
        write_record();
}

void peer_directory::leave() {
    leaving_ = true;
    records_.erase(internal::record_prefix + settings_.instance);
    send_now();
}

peer_directory::members peer_directory::count(transport::instant now) const {
    members result;
    for (const auto& [name, it] : peers_) {
        if (now - std::max(it.received_at, it.listed_at) >= internal::removal_timeout)
            continue;
        ++result.all;
        result.unresponsive += now - it.received_at > internal::unresponsive_timeout ? 1 : 0;
    }
    // A new instance without connection knows the others only from its settings. They may be using
    // the shared limits, so they count as unresponsive members.
    if (now - started_ < internal::removal_timeout) {
        result.all += static_cast<int>(seeds_.size());
        result.unresponsive += static_cast<int>(seeds_.size());
    }
    return result;
}

std::optional<transport::address> peer_directory::address_of(const std::string& instance) const {
    auto found = peers_.find(instance);
    return found == peers_.end() ? std::nullopt : std::optional(found->second.address);
}

std::string peer_directory::data_centre_of(const std::string& instance) const {
    if (instance == settings_.instance)
        return settings_.data_centre;
    auto found = peers_.find(instance);
    return found == peers_.end() ? std::string() : found->second.last_report.data_centre;
}

std::vector<std::string> peer_directory::live(transport::instant now) const {
    std::vector<std::string> names = {settings_.instance};
    for (const auto& [name, it] : peers_) {
        if (now - it.received_at <= internal::unresponsive_timeout)
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<std::string> peer_directory::reaching_registry(transport::instant now) const {
    auto names = live(now);
    std::erase_if(names, [&](const auto& name) {
        auto found = peers_.find(name);
        return found != peers_.end() && !found->second.last_report.reaches_registry;
    });
    return names;
}

std::ptrdiff_t peer_directory::rank(transport::instant now) const {
    auto names = reaching_registry(now);
    return std::find(names.begin(), names.end(), settings_.instance) - names.begin();
}

std::optional<std::string> peer_directory::lease_holder(transport::instant now) const {
    for (const auto& [name, it] : peers_) {
        if (it.last_report.holds_lease && now - it.received_at <= internal::unresponsive_timeout)
            return name;
    }
    return std::nullopt;
}

std::int64_t peer_directory::newest_policy(transport::instant now) const {
    std::int64_t newest = 0;
    for (const auto& [name, it] : peers_) {
        if (now - it.received_at <= internal::unresponsive_timeout)
            newest = std::max(newest, it.last_report.policy_version);
    }
    return newest;
}

std::vector<coordination::policy_source>
peer_directory::policy_sources(transport::instant now) const {
    std::vector<coordination::policy_source> list;
    for (const auto& [name, it] : peers_) {
        if (now - it.received_at <= internal::unresponsive_timeout)
            list.push_back({name, in_own_data_centre(it), it.last_report.policy_version});
    }
    return list;
}

std::optional<transport::address> peer_directory::operators_of(const std::string& instance) const {
    auto found = peers_.find(instance);
    if (found == peers_.end())
        return std::nullopt;
    auto at = transport::parse_address(found->second.last_report.operators);
    return at ? std::optional(*at) : std::nullopt;
}

} // namespace azureyoke::app
