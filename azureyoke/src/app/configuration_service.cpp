#include "azureyoke/src/app/configuration_service.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "azureyoke/src/app/wall_clock.h"
#include "azureyoke/src/state/to_json_text.h"

namespace azureyoke::app {

std::string to_row_text(const coordination::document_copy& copy, const std::string& write_id) {
    nlohmann::json value = {{"name", copy.stamp.name},         {"version", copy.stamp.version},
                            {"digest", copy.stamp.digest},     {"write", write_id},
                            {"accepted_ms", copy.accepted_ms}, {"text", copy.text}};
    return state::to_json_text(value);
}

std::optional<coordination::document_copy> parse_row_text(const std::string& text) {
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded() || !value.is_object())
        return std::nullopt;
    try {
        return coordination::document_copy{{value.at("name").get<std::string>(),
                                            value.at("version").get<std::int64_t>(),
                                            value.at("digest").get<std::string>()},
                                           value.at("text").get<std::string>(),
                                           value.value("accepted_ms", INT64_C(0))};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string write_id_of(const std::string& row_text) {
    auto value = nlohmann::json::parse(row_text, nullptr, false);
    if (!value.is_object())
        return {};
    auto it = value.find("write");
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
}

namespace internal {
namespace {

constexpr int polls_per_read_by_others = 10;

} // namespace
} // namespace internal

configuration_service::configuration_service(transport::event_loop& loop,
                                             protocol::table_service& table,
                                             coordination::configuration_manager& manager,
                                             const event_log& log, transport::duration period,
                                             change_handler on_change)
    : loop_(loop), table_(table), manager_(manager), log_(log), period_(period),
      on_change_(std::move(on_change)), started_ms_(wall_clock_ms()) {}

void configuration_service::start() {
    poll_timer_ = loop_.every(period_, [this] { read(); });
    read();
}

void configuration_service::read() {
    // The other instances poll at a tenth of the rate, in case the reader is unresponsive.
    bool due = is_reader_ || ++skipped_polls_ >= internal::polls_per_read_by_others;
    if (read_pending_ || !due)
        return;
    skipped_polls_ = 0;
    read_pending_ = true;
    ++read_count_;
    table_.list(document_rows, [this](auto rows) {
        read_pending_ = false;
        if (!rows) {
            if (platform_reachable_)
                log_.warn(event_id::platform_unreachable, {{"why", rows.error().what}});
            platform_reachable_ = false;
            return;
        }
        platform_reachable_ = true;
        for (const auto& it : *rows) {
            auto copy = parse_row_text(it.value);
            if (copy)
                offer_document(*copy, "platform");
            else
                log_.warn(event_id::platform_row_unreadable, {{"row", it.name}});
        }
    });
}

// If the instance started after the acceptance, the time would include the wait for its start.
void configuration_service::record_time_to_force(const coordination::document_copy& copy) {
    time_to_force_ms_.erase(copy.stamp.name);
    if (copy.accepted_ms < started_ms_)
        return;
    auto elapsed_ms = wall_clock_ms() - copy.accepted_ms;
    time_to_force_ms_[copy.stamp.name] = std::max<std::int64_t>(elapsed_ms, 0);
}

std::optional<std::int64_t>
configuration_service::time_to_force_ms(const std::string& document) const {
    auto it = time_to_force_ms_.find(document);
    return it == time_to_force_ms_.end() ? std::nullopt : std::optional(it->second);
}

void configuration_service::offer_document(const coordination::document_copy& copy,
                                           const std::string& source) {
    auto before = manager_.current_configuration()->find_document(copy.stamp.name);
    auto result = manager_.offer_document(copy);
    using coordination::offer_status;
    if (result.verdict == offer_status::already_held || result.verdict == offer_status::stale)
        return;
    std::vector<log_field> fields = {{"document", copy.stamp.name},
                                     {"version", std::to_string(copy.stamp.version)},
                                     {"source", source}};
    if (result.verdict == offer_status::accepted) {
        record_time_to_force(copy);
        if (auto elapsed_ms = time_to_force_ms(copy.stamp.name))
            fields.push_back({"after_ms", std::to_string(*elapsed_ms)});
        log_.write(event_id::configuration_accepted, fields);
        on_change_(before, manager_.current_configuration()->find_document(copy.stamp.name));
        return;
    }
    // Each refusal is logged once, although the row is read at every poll.
    auto [it, fresh] = reported_refusals_.try_emplace(copy.stamp, result.verdict);
    if (!fresh && it->second == result.verdict)
        return;
    it->second = result.verdict;
    fields.push_back({"why", result.reason});
    log_.warn(event_id::configuration_refused, fields);
}

} // namespace azureyoke::app
