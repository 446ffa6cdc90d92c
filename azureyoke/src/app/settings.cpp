#include "azureyoke/src/app/settings.h"

#include "azureyoke/src/app/settings_reader.h"

namespace azureyoke::app {

tl::expected<instance_settings, std::vector<state::error>> parse_settings(std::string_view text) {
    auto parsed = state::parse_json_text(text);
    if (!parsed)
        return tl::unexpected(std::vector<state::error>{parsed.error()});
    std::vector<state::error> faults;
    state::field_reader reader(*parsed, parsed->root, "", faults);
    instance_settings settings;
    settings.instance = reader.text("instance");
    settings.fleet = reader.text("fleet", "azureyoke");
    settings.data_centre = reader.text("data_centre");
    settings.callers = read_address_field(reader, "callers");
    settings.operators = read_address_field(reader, "operators");
    settings.peers = read_address_field(reader, "peers");
    settings.platform = read_address_field(reader, "platform");
    settings.seeds = read_address_fields(reader, "seeds");
    auto number = [&](const char* field, std::int64_t low, std::int64_t high, std::int64_t& value) {
        value = reader.integer(field, low, high, value);
    };
    number("body_bytes", 1024, INT64_C(1) << 30, settings.max_body_bytes);
    number("header_bytes", 1024, INT64_C(1) << 24, settings.max_header_bytes);
    number("read_timeout_ms", 1000, 600'000, settings.read_timeout_ms);
    number("connect_timeout_ms", 10, 60'000, settings.connect_timeout_ms);
    number("first_byte_timeout_ms", 100, 3'600'000, settings.first_byte_timeout_ms);
    number("idle_timeout_ms", 100, 3'600'000, settings.idle_timeout_ms);
    number("request_timeout_ms", 1000, 86'400'000, settings.request_timeout_ms);
    number("stream_buffer_bytes", 4096, INT64_C(1) << 26, settings.stream_buffer_bytes);
    number("piece_bytes", 16, INT64_C(1) << 24, settings.piece_bytes);
    number("index_entries", 1024, INT64_C(1) << 26, settings.index_entries);
    number("platform_poll_ms", 100, 60'000, settings.platform_poll_ms);
    number("report_poll_ms", 100, 60'000, settings.report_poll_ms);
    number("memory_period_ms", 100, 3'600'000, settings.memory_period_ms);
    number("drain_grace_ms", 0, 600'000, settings.drain_grace_ms);
    number("drain_limit_ms", 1000, 86'400'000, settings.drain_limit_ms);
    number("memory_mb", 0, 1'000'000'000, settings.memory_mb);
    reader.reject_unknown_fields();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

} // namespace azureyoke::app
