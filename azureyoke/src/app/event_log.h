#pragma once

#include <string>
#include <vector>

namespace azureyoke::app {

/// \brief Numbered log events, catalogued in docs/EVENTS.md.
enum class event_id : int {
    instance_started = 1001,
    instance_stopping = 1002,
    instance_stopped = 1003,
    listening = 1004,
    loop_stalled = 1005,
    drain_finished = 1006,
    settings_reloaded = 1007,
    settings_refused = 1008,
    address_in_use = 1009,
    addresses_bound = 1010,
    connections_short = 1011,
    memory_short = 1020,
    configuration_accepted = 2001,
    configuration_refused = 2002,
    platform_unreachable = 2003,
    platform_row_unreadable = 2004,
    platform_reached = 2005,
    weights_named = 2006,
    registry_era = 2007,
    configuration_transfer_failed = 2008,
    registry_relay_role = 2009,
    request_finished = 3001,
    request_refused = 3002,
    attempt_failed = 3003,
    stream_resumed = 3004,
    caller_left = 3005,
    answer_discarded = 3006,
    outcome_unknown = 3007,
    answer_field_ignored = 3008,
    run_ended = 3009,
    overload_began = 3030,
    overload_ended = 3031,
    replica_ejected = 4001,
    replica_restarted = 4002,
    replica_report_missing = 4003,
    replica_removed = 4004,
    replica_rests = 4005,
    replica_leaves = 4006,
    replica_limits_rate = 4007,
    replica_limit_ended = 4008,
    part_suspected = 4009,
    part_cleared = 4010,
    replica_crashed = 4011,
    servers_unreachable = 4012,
    servers_reached = 4013,
    slowdown_distrusted = 4020,
    slowdown_trusted = 4021,
    replica_ramp_began = 4030,
    replica_ramp_ended = 4031,
    peer_connected = 5001,
    peer_lost = 5002,
    peer_message_refused = 5003,
    member_suspected = 5004,
    member_removed = 5005,
    member_joined = 5006,
    permit_unanswered = 5007,
    trial_unanswered = 5008,
    share_granted = 6001,
    share_lease_lapsed = 6002,
    share_reclaimed = 6003,
    audit_dropped = 7001,
    lease_taken = 8001,
    replica_draining = 8002,
    order_sent = 8003,
    order_refused = 8004,
    weights_in_place = 8005,
    rollout_ordered = 8010,
    rollout_step = 8011,
    rollout_completed = 8012,
    rollout_reverted = 8013,
    rollout_status_written = 8014,
    rollout_order_refused = 8015,
    rollout_paused = 8016,
    rollout_resumed = 8017,
    memory_recalled = 9001
};

struct catalogued_event {
    event_id id = event_id::instance_started;
    const char* name = "";

    friend bool operator==(const catalogued_event&, const catalogued_event&) = default;
};

/// \returns all events, ordered by number.
const std::vector<catalogued_event>& event_catalogue();

/// \brief One named value of a log line.
struct log_field {
    std::string name;
    std::string value;
};

/// \brief Writes log lines through log4cxx, each a JSON object.
///
/// Callers must not pass keys or prompt text. Thread safe.
class event_log {
public:
    explicit event_log(std::string instance);

    void write(event_id id, const std::vector<log_field>& fields) const;
    void warn(event_id id, const std::vector<log_field>& fields) const;

private:
    std::string render(event_id id, const char* level, const std::vector<log_field>& fields) const;

    std::string instance_;
};

enum class log_stream { output, error };

/// \brief Directs the log to standard output or standard error. Call once per process.
void start_logging(log_stream target = log_stream::error);

} // namespace azureyoke::app
