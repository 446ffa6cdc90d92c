#include "azureyoke/src/app/speed_section.h"

#include <algorithm>
#include <cmath>

namespace azureyoke::app {

namespace internal {
namespace {

/// A sender that was not heard for this long takes no share of the bytes.
constexpr transport::duration sender_timeout = std::chrono::seconds(2);
/// Least bytes that may gather, so that a share of a few bytes a second is used at all.
constexpr double min_burst_bytes = 300;
/// Bytes of the lists around the entries.
constexpr std::size_t frame_bytes = 16;

std::int64_t age_ms(transport::instant at, transport::instant now) {
    return std::max<std::int64_t>(0, (now - at) / std::chrono::milliseconds(1));
}

std::int64_t at_least_one(double value) {
    return std::max<std::int64_t>(1, std::llround(value));
}

std::int64_t percent_of(double slowdown) {
    return std::llround(slowdown * 100);
}

/// Moves entries to `taken` while they fit into `bytes_left`.
template <class Entry>
void take_fitting(const std::vector<Entry>& list, std::size_t& bytes_left,
                  std::vector<Entry>& taken) {
    for (const auto& it : list) {
        if (encoded_size(it) > bytes_left)
            break;
        bytes_left -= encoded_size(it);
        taken.push_back(it);
    }
}

} // namespace
} // namespace internal

std::size_t speed_section::allowance() {
    auto now = now_();
    std::erase_if(senders_,
                  [&](const auto& it) { return now - it.second > internal::sender_timeout; });
    double share =
        max_received_bytes / static_cast<double>(std::max<std::size_t>(1, senders_.size()));
    double gained = share * coordination::to_seconds(now - allowed_at_);
    allowed_at_ = now;
    allowed_bytes_ = std::min(std::max(share, internal::min_burst_bytes), allowed_bytes_ + gained);
    return std::min(static_cast<std::size_t>(allowed_bytes_), max_section_bytes);
}

speed_message speed_section::collect() {
    auto now = now_();
    auto& speeds = state_.router.speeds();
    speed_message message;
    for (const auto& it : speeds.take_unreported_slowdowns())
        message.slowdowns.push_back(
            {it.server, internal::percent_of(it.slowdown), internal::age_ms(it.told_at, now)});
    for (const auto& it : speeds.take_unreported())
        message.answers.push_back({it.server, internal::at_least_one(it.nominal_ms),
                                   internal::at_least_one(it.took_ms),
                                   internal::age_ms(it.answered_at, now),
                                   it.slowdown ? internal::percent_of(*it.slowdown) : 0});
    std::reverse(message.answers.begin(), message.answers.end());
    return message;
}

// Trust changes with answers, and a report is made at least every 500 ms.
void speed_section::log_trust_changes() {
    for (const auto& it : state_.router.speeds().take_trust_changes()) {
        if (it.trusted)
            log_.write(event_id::slowdown_trusted, {{"backend_server", it.server}});
        else
            log_.warn(event_id::slowdown_distrusted, {{"backend_server", it.server}});
    }
}

std::vector<std::string> speed_section::contents(report_scope scope) {
    if (scope == report_scope::fleet)
        return {};
    log_trust_changes();
    auto allowed = allowance();
    if (allowed <= internal::frame_bytes)
        return {};
    auto known = collect();
    if (known.slowdowns.empty() && known.answers.empty())
        return {};
    auto left = allowed - internal::frame_bytes;
    speed_message told;
    internal::take_fitting(known.slowdowns, left, told.slowdowns);
    internal::take_fitting(known.answers, left, told.answers);
    if (told.slowdowns.empty() && told.answers.empty())
        return {};
    // The receivers use them oldest first.
    std::reverse(told.answers.begin(), told.answers.end());
    auto bytes = to_bytes(told);
    allowed_bytes_ -= static_cast<double>(bytes.size());
    return {std::move(bytes)};
}

bool speed_section::on_content(const section_sender& sender, std::string_view content) {
    auto message = parse_speed_message(content);
    if (!message)
        return false;
    if (sender.data_centre != data_centre_)
        return true;
    auto now = now_();
    senders_[sender.instance] = now;
    auto& speeds = state_.router.speeds();
    auto at = [&](std::int64_t age) { return now - std::chrono::milliseconds(age); };
    for (const auto& it : message->slowdowns) {
        const auto* server = state_.directory.find(it.server);
        if (server == nullptr)
            continue;
        state_.on_slowdown_told(it.server, now);
        speeds.on_slowdown(
            {server->pool, it.server, static_cast<double>(it.percent) / 100, at(it.age_ms)}, now);
    }
    for (const auto& it : message->answers) {
        const auto* server = state_.directory.find(it.server);
        if (server == nullptr)
            continue;
        std::optional<double> slowdown;
        if (it.percent > 0) {
            slowdown = static_cast<double>(it.percent) / 100;
            state_.on_slowdown_told(it.server, now);
        }
        speeds.observe({server->pool, it.server, static_cast<double>(it.nominal_ms),
                        static_cast<double>(it.took_ms), slowdown, at(it.age_ms)},
                       now);
    }
    return true;
}

} // namespace azureyoke::app
