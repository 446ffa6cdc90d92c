#include "azureyoke/src/app/event_log.h"

#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

#include "azureyoke/src/app/wall_clock.h"
#include "azureyoke/src/state/to_json_text.h"

namespace azureyoke::app {

const std::vector<catalogued_event>& event_catalogue() {
    static const std::vector<catalogued_event> list = {
        {event_id::instance_started, "instance_started"},
        {event_id::instance_stopping, "instance_stopping"},
        {event_id::instance_stopped, "instance_stopped"},
        {event_id::listening, "listening"},
        {event_id::loop_stalled, "loop_stalled"},
        {event_id::drain_finished, "drain_finished"},
        {event_id::settings_reloaded, "settings_reloaded"},
        {event_id::settings_refused, "settings_refused"},
        {event_id::address_in_use, "address_in_use"},
        {event_id::addresses_bound, "addresses_bound"},
        {event_id::connections_short, "connections_short"},
        {event_id::memory_short, "memory_short"},
        {event_id::configuration_accepted, "configuration_accepted"},
        {event_id::configuration_refused, "configuration_refused"},
        {event_id::platform_unreachable, "platform_unreachable"},
        {event_id::platform_row_unreadable, "platform_row_unreadable"},
        {event_id::platform_reached, "platform_reached"},
        {event_id::weights_named, "weights_named"},
        {event_id::registry_era, "registry_era"},
        {event_id::configuration_transfer_failed, "configuration_transfer_failed"},
        {event_id::registry_relay_role, "registry_relay_role"},
        {event_id::request_finished, "request_finished"},
        {event_id::request_refused, "request_refused"},
        {event_id::attempt_failed, "attempt_failed"},
        {event_id::stream_resumed, "stream_resumed"},
        {event_id::caller_left, "caller_left"},
        {event_id::answer_discarded, "answer_discarded"},
        {event_id::outcome_unknown, "outcome_unknown"},
        {event_id::answer_field_ignored, "answer_field_ignored"},
        {event_id::run_ended, "run_ended"},
        {event_id::overload_began, "overload_began"},
        {event_id::overload_ended, "overload_ended"},
        {event_id::replica_ejected, "replica_ejected"},
        {event_id::replica_restarted, "replica_restarted"},
        {event_id::replica_report_missing, "replica_report_missing"},
        {event_id::replica_removed, "replica_removed"},
        {event_id::replica_rests, "replica_rests"},
        {event_id::replica_leaves, "replica_leaves"},
        {event_id::replica_limits_rate, "replica_limits_rate"},
        {event_id::replica_limit_ended, "replica_limit_ended"},
        {event_id::part_suspected, "part_suspected"},
        {event_id::part_cleared, "part_cleared"},
        {event_id::replica_crashed, "replica_crashed"},
        {event_id::servers_unreachable, "servers_unreachable"},
        {event_id::servers_reached, "servers_reached"},
        {event_id::slowdown_distrusted, "slowdown_distrusted"},
        {event_id::slowdown_trusted, "slowdown_trusted"},
        {event_id::replica_ramp_began, "replica_ramp_began"},
        {event_id::replica_ramp_ended, "replica_ramp_ended"},
        {event_id::peer_connected, "peer_connected"},
        {event_id::peer_lost, "peer_lost"},
        {event_id::peer_message_refused, "peer_message_refused"},
        {event_id::member_suspected, "member_suspected"},
        {event_id::member_removed, "member_removed"},
        {event_id::member_joined, "member_joined"},
        {event_id::permit_unanswered, "permit_unanswered"},
        {event_id::trial_unanswered, "trial_unanswered"},
        {event_id::share_granted, "share_granted"},
        {event_id::share_lease_lapsed, "share_lease_lapsed"},
        {event_id::share_reclaimed, "share_reclaimed"},
        {event_id::audit_dropped, "audit_dropped"},
        {event_id::lease_taken, "lease_taken"},
        {event_id::replica_draining, "replica_draining"},
        {event_id::order_sent, "order_sent"},
        {event_id::order_refused, "order_refused"},
        {event_id::weights_in_place, "weights_in_place"},
        {event_id::rollout_ordered, "rollout_ordered"},
        {event_id::rollout_step, "rollout_step"},
        {event_id::rollout_completed, "rollout_completed"},
        {event_id::rollout_reverted, "rollout_reverted"},
        {event_id::rollout_status_written, "rollout_status_written"},
        {event_id::rollout_order_refused, "rollout_order_refused"},
        {event_id::rollout_paused, "rollout_paused"},
        {event_id::rollout_resumed, "rollout_resumed"},
        {event_id::memory_recalled, "memory_recalled"},
    };
    return list;
}

namespace internal {
namespace {

const char* name_of(event_id id) {
    const auto& list = event_catalogue();
    auto it = std::find_if(list.begin(), list.end(), [&](const auto& e) { return e.id == id; });
    return it == list.end() ? "unnamed" : it->name;
}

log4cxx::LoggerPtr logger() {
    static auto shared_logger = log4cxx::Logger::getLogger("azureyoke");
    return shared_logger;
}

} // namespace
} // namespace internal

event_log::event_log(std::string instance) : instance_(std::move(instance)) {}

std::string event_log::render(event_id id, const char* level,
                              const std::vector<log_field>& fields) const {
    nlohmann::ordered_json line;
    line["time_ms"] = wall_clock_ms();
    line["level"] = level;
    line["event"] = static_cast<int>(id);
    line["name"] = internal::name_of(id);
    line["instance"] = instance_;
    for (const auto& it : fields)
        line[it.name] = it.value;
    return state::to_json_text(line);
}

void event_log::write(event_id id, const std::vector<log_field>& fields) const {
    LOG4CXX_INFO(internal::logger(), render(id, "info", fields));
}

void event_log::warn(event_id id, const std::vector<log_field>& fields) const {
    LOG4CXX_WARN(internal::logger(), render(id, "warn", fields));
}

void start_logging(log_stream target) {
    // With a non-blocking output, a stalled reader loses log lines but never blocks requests.
    int fd = target == log_stream::output ? STDOUT_FILENO : STDERR_FILENO;
    (void)fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, target == log_stream::output ? log4cxx::ConsoleAppender::getSystemOut()
                                             : log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
}

} // namespace azureyoke::app
