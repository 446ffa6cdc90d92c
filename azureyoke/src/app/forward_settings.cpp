#include "azureyoke/src/app/forward_settings.h"

#include "azureyoke/src/app/settings_reader.h"

namespace azureyoke::app {

tl::expected<forward_settings, std::vector<state::error>>
parse_forward_settings(std::string_view text) {
    auto parsed = state::parse_json_text(text);
    if (!parsed)
        return tl::unexpected(std::vector<state::error>{parsed.error()});
    std::vector<state::error> faults;
    state::field_reader reader(*parsed, parsed->root, "", faults);
    forward_settings made;
    made.instance = reader.text("instance");
    made.data_centre = reader.text("data_centre");
    made.callers = read_address_field(reader, "callers");
    made.readiness = read_address_field(reader, "readiness");
    made.operators = read_address_field(reader, "operators");
    made.peers = read_address_field(reader, "peers");
    made.registry = read_address_field(reader, "registry");
    made.seeds = read_address_fields(reader, "seeds");
    made.drain_limit_ms = reader.integer("drain_limit_ms", 500, 600'000, made.drain_limit_ms);
    made.retry_share = reader.number("retry_share", 0, 10, made.retry_share);
    made.retry_reserve = reader.number("retry_reserve", 0, 1e6, made.retry_reserve);
    made.retry_window_ms = reader.integer("retry_window_ms", 100, 600'000, made.retry_window_ms);
    made.log_lines_per_second =
        reader.integer("log_lines_per_second", 0, 100'000, made.log_lines_per_second);
    made.limit_window_s = reader.number("limit_window_s", 0, 86'400, made.limit_window_s);
    made.weights_limit_ms =
        reader.integer("weights_limit_ms", 500, 86'400'000, made.weights_limit_ms);
    reader.refuse_unknown_fields();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return made;
}

} // namespace azureyoke::app
