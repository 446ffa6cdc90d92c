#include "azureyoke/src/app/ramp_service.h"

#include <algorithm>
#include <exception>
#include <sstream>

#include <nlohmann/json.hpp>

namespace azureyoke::app {

using coordination::pace_evidence;
using nlohmann::json;

namespace internal {
namespace {

/// Servers in one content; each takes some 40 bytes.
constexpr std::size_t servers_per_content = 12;
constexpr std::size_t counters_per_server = 4;
/// Unchanged counters are repeated no more often, since messages may be lost.
constexpr transport::duration repeat_period = std::chrono::milliseconds(450);
/// Longer names come from no registration.
constexpr std::size_t max_name_bytes = 200;

bool is_count(const json& value) {
    return value.is_number_integer() && value.get<std::int64_t>() >= 0 &&
           value.get<std::int64_t>() < (std::int64_t{1} << 40);
}

bool read_counters(const json& row, pace_evidence& to) {
    if (!row.is_array() || row.size() != counters_per_server)
        return false;
    for (const auto& it : row) {
        if (!is_count(it))
            return false;
    }
    to = {row[0].get<std::int64_t>(), row[1].get<std::int64_t>(), row[2].get<std::int64_t>(),
          row[3].get<std::int64_t>()};
    return true;
}

std::string to_content(const json& rows) {
    std::string bytes;
    json::to_cbor(rows, bytes);
    return bytes;
}

} // namespace
} // namespace internal

ramp_service::ramp_service(transport::event_loop& loop, forward_state& state, const event_log& log,
                           log_rate_limiter& log_limiter)
    : loop_(loop), state_(state), log_(log), log_limiter_(log_limiter) {}

void ramp_service::on_server_started(const std::string& server, bool known) {
    const auto* entry = state_.directory.find(server);
    if (entry == nullptr || !state_.paced(entry->pool, loop_.now()))
        return;
    auto cause = known ? coordination::ramp_cause::restarted : coordination::ramp_cause::added;
    state_.router.on_server_started(state_.directory, *entry, cause, loop_.now());
}

void ramp_service::on_servers(const std::map<std::string, state::fleet_server>& before) {
    if (before.empty())
        return; // whether servers of a first list have just started is unknown
    for (const auto& [id, it] : state_.directory.all()) {
        auto known = before.find(id);
        if (known == before.end() || known->second.started_ms != it.started_ms)
            on_server_started(id, known != before.end());
    }
}

void ramp_service::on_server_removed(const std::string& server) {
    state_.router.on_server_removed(server, loop_.now());
}

void ramp_service::tick() {
    auto now = loop_.now();
    state_.router.set_instances(std::max(1, state_.instances));
    for (const auto& it : state_.router.take_ramp_changes(now)) {
        auto id = it.began ? event_id::replica_ramp_began : event_id::replica_ramp_ended;
        std::int64_t left_out = 0;
        if (!log_limiter_.try_acquire(id, now, left_out))
            continue;
        std::vector<log_field> fields = {
            {"backend_server", it.server}, {"pool", it.pool}, {"cause", name_of(it.cause)}};
        if (!it.began) {
            fields.push_back({"why", name_of(it.end)});
            fields.push_back({"took_ms", std::to_string(it.took / std::chrono::milliseconds(1))});
        }
        fields.push_back({"left_out", std::to_string(left_out)});
        log_.write(id, fields);
    }
}

bool ramp_service::has_news() const {
    auto found = reported_.find(report_scope::data_centre);
    auto counted = state_.router.pace_counts(loop_.now());
    return found == reported_.end() ? !counted.empty() : counted != found->second.told;
}

// The counters are absolute, so that a lost message is made up for by the next one.
std::vector<std::string> ramp_service::contents(report_scope scope) {
    auto counted = state_.router.pace_counts(loop_.now());
    auto& before = reported_[scope];
    auto now = loop_.now();
    std::vector<std::string> list;
    if (counted == before.told && now - before.at < internal::repeat_period)
        return list;
    json rows = json::object();
    for (const auto& [server, it] : counted) {
        rows[server] = {it.in_time, it.slow, it.refused, it.failed};
        if (rows.size() < internal::servers_per_content)
            continue;
        list.push_back(internal::to_content(rows));
        rows = json::object();
    }
    if (!rows.empty())
        list.push_back(internal::to_content(rows));
    before = {std::move(counted), now};
    return list;
}

bool ramp_service::on_content(const section_sender& sender, std::string_view content) {
    json rows;
    try {
        // from_cbor throws on impossible sizes even with exceptions disabled.
        rows = json::from_cbor(content.begin(), content.end(), true, false);
    } catch (const std::exception&) {
        return false;
    }
    if (!rows.is_object())
        return false;
    counts seen;
    for (const auto& [server, row] : rows.items()) {
        if (server.size() > internal::max_name_bytes || !internal::read_counters(row, seen[server]))
            return false;
    }
    state_.router.on_peer_pace(sender.instance, seen, loop_.now());
    return true;
}

std::string ramp_gauge(const forward_state& state) {
    std::map<std::string, int> by_pool;
    for (const auto& [server, window] : state.router.ramp_windows()) {
        if (const auto* entry = state.directory.find(server))
            ++by_pool[entry->pool];
    }
    std::ostringstream out;
    out << "# TYPE azureyoke_ramping_servers gauge\n";
    for (const auto& [pool, n] : by_pool)
        out << "azureyoke_ramping_servers{pool=\"" << pool << "\"} " << n << "\n";
    return by_pool.empty() ? std::string() : out.str();
}

} // namespace azureyoke::app
