#include "azureyoke/src/app/forward_settings.h"

#include <algorithm>

#include "azureyoke/src/app/settings_reader.h"

namespace azureyoke::app {

namespace internal {
namespace {

constexpr const char* overload_feature = "pressure";

} // namespace
} // namespace internal

bool forward_settings::overload_control() const {
    return std::find(features.begin(), features.end(), internal::overload_feature) !=
           features.end();
}

tl::expected<forward_settings, std::vector<state::error>>
parse_forward_settings(std::string_view text) {
    auto parsed = state::parse_json_text(text);
    if (!parsed)
        return tl::unexpected(std::vector<state::error>{parsed.error()});
    std::vector<state::error> errors;
    state::field_reader reader(*parsed, parsed->root, "", errors);
    forward_settings result;
    result.instance = reader.text("instance");
    result.data_centre = reader.text("data_centre");
    result.callers = read_address_field(reader, "callers");
    result.readiness = read_address_field(reader, "readiness");
    result.operators = read_address_field(reader, "operators");
    result.peers = read_address_field(reader, "peers");
    result.registry = read_address_field(reader, "registry");
    result.seeds = read_address_fields(reader, "seeds");
    result.drain_limit_ms = reader.integer("drain_limit_ms", 500, 600'000, result.drain_limit_ms);
    result.retry_share = reader.number("retry_share", 0, 10, result.retry_share);
    result.retry_reserve = reader.number("retry_reserve", 0, 1e6, result.retry_reserve);
    result.retry_window_ms =
        reader.integer("retry_window_ms", 100, 600'000, result.retry_window_ms);
    result.log_lines_per_second =
        reader.integer("log_lines_per_second", 0, 100'000, result.log_lines_per_second);
    result.limit_window_s = reader.number("limit_window_s", 0, 86'400, result.limit_window_s);
    result.weights_limit_ms =
        reader.integer("weights_limit_ms", 500, 86'400'000, result.weights_limit_ms);
    result.registry_readers = reader.integer("registry_readers", 0, 64, result.registry_readers);
    result.server_urgency = reader.boolean("server_urgency", result.server_urgency);
    result.server_pace = reader.boolean("server_pace", result.server_pace);
    result.memory_mb = reader.integer("memory_mb", 0, 1'000'000'000, result.memory_mb);
    if (reader.has("features"))
        result.features = reader.texts("features");
    reader.reject_unknown_fields();
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return result;
}

} // namespace azureyoke::app
