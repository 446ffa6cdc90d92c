#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/coordination/registry_follower.h"
#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/coordination/weights_rollout.h"
#include "azureyoke/src/coordination/write_result.h"
#include "azureyoke/src/state/fleet_server.h"
#include "azureyoke/src/state/record_version.h"
#include "azureyoke/src/state/traffic_policy.h"
#include "azureyoke/src/transport/http_reader.h"

namespace azureyoke::app {

/// \brief A policy and the text it was parsed from, which is served to peers.
struct policy_copy {
    std::shared_ptr<const state::traffic_policy> policy;
    std::string text;
    coordination::duration read_time{}; ///< Time that parsing and checking took.
    std::size_t parsed_elements = 0;    ///< Routes and workspaces that were not known before.
    state::record_version position{};   ///< In the registry; default if not known.
};

/// \brief The operators' order to move a service to another software version.
struct rollout_order_row {
    std::string service;
    std::string to;
    coordination::duration length{};
    state::record_version version;
    bool just_written = false; ///< Otherwise the time of the order is not known.

    friend bool operator==(const rollout_order_row&, const rollout_order_row&) = default;
};

/// \brief Receives changes from a fleet's registry. Called on the event loop.
class registry_listener {
public:
    virtual ~registry_listener() = default;
    virtual void on_policy(const policy_copy& copy) = 0;
    /// \brief The desired weights of a model changed. `time_known` is false when the time of the
    /// change is unknown and may be long past.
    virtual void on_desired_weights(const std::string& model, std::int64_t version,
                                    bool time_known) = 0;
    /// \brief The complete list of backend servers, at the start and after missed changes.
    virtual void on_servers(const std::vector<state::fleet_server>& list) = 0;
    virtual void on_server(const state::fleet_server& entry) = 0;
    virtual void on_server_removed(const std::string& id) = 0;

    /// \brief A rollout was ordered, or the order was read again.
    virtual void on_rollout_order(const rollout_order_row& /*order*/) {}

    /// \brief A row of the registry could not be read.
    virtual void on_unreadable_row(const std::string& row, const std::string& why) = 0;
    virtual void on_registry_reachable(bool reachable, const std::string& why) = 0;
    /// \brief The registry's era is known for the first time, or the registry was restored from an
    /// older copy and has lost its latest writes. Called before any other event of that era.
    virtual void on_registry_era(std::int64_t era) = 0;
};

/// \brief Brings the list of backend servers up to date. Not thread safe.
class server_list_reader {
public:
    virtual ~server_list_reader() = default;
    /// \brief Reads the changes of the list that the registry has at this moment. `done` is called
    /// exactly once, possibly before this returns, with true after the listener got all of them.
    virtual void read_changes(std::function<void(bool)> done) = 0;
};

/// \brief Source of the policy and of the list of backend servers. Not thread safe.
class fleet_registry : public server_list_reader {
public:
    virtual void start(registry_listener& listener) = 0;
    /// \brief A peer received this era from the registry: data of older eras is no longer valid.
    virtual void note_era(std::int64_t era) = 0;
    /// \returns the newest known era; 0 before the first answer, or when the registry has no eras.
    virtual std::int64_t era() const = 0;
    /// \brief The policy at this position of the registry came from a peer: the registry's own copy
    /// is not needed.
    virtual void skip_policy(const state::record_version& position) = 0;
    /// \returns whether a changed policy, or another change of the operators, is being received.
    virtual bool receiving_policy() const = 0;
    /// \brief Sets what this instance does for the others about the list of backend servers.
    virtual void set_relay_role(coordination::relay_role role) = 0;
    /// \returns what a reader tells the others, in contents of at most `max_bytes` bytes.
    virtual std::vector<std::string> take_relayed(std::size_t max_bytes) = 0;
    /// \returns whether `take_relayed` would return changes.
    virtual bool has_relayed_changes() const = 0;
    /// \brief A reader told of this. \returns whether it could be read.
    virtual bool on_relayed(std::string_view content) = 0;
    /// \returns nothing, and the reason in `why`, when the text is not a valid policy.
    virtual std::optional<policy_copy> read_policy(const std::string& text, std::string& why) = 0;
};

/// \brief A record and its version; the version is absent when the record does not exist.
struct stored_record {
    std::string key;
    std::string value;
    state::record_version version;

    friend bool operator==(const stored_record&, const stored_record&) = default;
};

/// \brief Store of small records that outlive the instances, with conditional writes. Not thread
/// safe.
class record_store {
public:
    using write_handler =
        std::function<void(coordination::write_result, const state::record_version&)>;

    virtual ~record_store() = default;
    virtual void read(const std::string& key,
                      std::function<void(std::optional<stored_record>)> done) = 0;
    /// \brief Lists the records whose keys begin with `prefix`.
    virtual void list(const std::string& prefix,
                      std::function<void(std::optional<std::vector<stored_record>>)> done) = 0;
    /// \brief Writes if the record has `expected_version`; writes always if that is not given. A
    /// version of an older era than the store's is a conflict.
    virtual void write(const std::string& key,
                       const std::optional<state::record_version>& expected_version,
                       const std::string& value, write_handler done) = 0;
    virtual void erase(const std::string& key) = 0;
};

/// \brief State that a server reported about itself.
struct server_observation {
    std::map<std::string, std::int64_t> weights; ///< By model.
    std::int64_t orders = 0;
    bool busy = false; ///< The server is executing an order.

    friend bool operator==(const server_observation&, const server_observation&) = default;
};

/// \brief Sends orders to backend servers and reads their state. Not thread safe.
class server_order_client {
public:
    virtual ~server_order_client() = default;
    virtual void send_order(const state::fleet_server& server,
                            const coordination::weights_action& action, const std::string& holder,
                            std::int64_t fencing_token,
                            std::function<void(coordination::order_outcome)> done) = 0;
    virtual void observe(const state::fleet_server& server,
                         std::function<void(std::optional<server_observation>)> done) = 0;
};

/// \brief The requests that a server works on.
struct run_list {
    enum class source {
        report,      ///< The server's report, which may be about a second old.
        replaced,    ///< Another server has the address.
        unreachable, ///< No connection could be made.
        unanswered   ///< A connection was made, but no usable report came.
    };

    source from = source::unanswered;
    std::set<std::string> requests; ///< Their ids, if `from` is `report`.

    friend bool operator==(const run_list&, const run_list&) = default;
};

/// \brief Asks backend servers which requests they work on. Not thread safe.
class run_list_client {
public:
    virtual ~run_list_client() = default;
    /// \brief `done` is called exactly once, possibly before this returns.
    virtual void list_runs(const std::string& server, const std::string& address,
                           std::function<void(const run_list&)> done) = 0;
};

/// \brief Fields of a caller's request that decide how it is forwarded.
struct request_info {
    std::string request_id;
    std::string host;
    std::string key;
    std::optional<std::int64_t> deadline_ms;
    std::string model;
    std::vector<state::prompt_part> parts;
    std::optional<std::int64_t> tokens; ///< Upper bound of prompt and completion tokens, if given.
    std::string last_event;             ///< Last event received of a resumed stream, or empty.
    std::string resumed_request; ///< Id of the request that got the stream's first event, or empty.

    friend bool operator==(const request_info&, const request_info&) = default;
};

/// \brief Fields that an instance adds to the caller's own for a backend server.
struct forward_directive {
    std::string server;           ///< The only server that may run the request.
    std::string workspace;        ///< Empty on a keyless route.
    std::int64_t deadline_ms = 0; ///< Remaining time.
    std::string cache_salt;       ///< Cache salt: caches are shared only between equal salts.
    std::optional<std::int64_t> weights; ///< The only version that may run the request.
    std::string last_event;              ///< The stream continues after this event.
    std::string cache_source_address;    ///< Address to fetch cached parts from.
    std::string cache_store_address;     ///< Address of the cache store to save the parts to.
    std::optional<int> urgency;          ///< 0 is the most urgent.

    friend bool operator==(const forward_directive&, const forward_directive&) = default;
};

/// \brief Fields read from the head of a backend server's answer.
struct answer_info {
    std::string request_id; ///< Id of the answered request; empty when not given.
    bool not_run = false;   ///< The request did not and will not run on this server.
    bool wrong_server = false;
    /// The head has the server's stamp and no Content-Encoding; else a success answer is rejected.
    bool has_valid_stamp = true;
    std::optional<int> running;
    std::optional<int> waiting;
    std::optional<int> slots; ///< Requests that the server processes at once.
    /// How many times as long as usual work takes on the server's machine at this moment, as the
    /// server says; absent when it does not tell.
    std::optional<double> slowdown;
    std::optional<std::int64_t> weights;
    bool leaving = false;            ///< The server accepts no new requests from now on.
    std::optional<double> backoff_s; ///< Seconds of backoff that the server asked for.
    /// Requests a second that the server takes from all instances together, infinite when it names
    /// no limit; absent when the answer does not tell.
    std::optional<double> request_rate;
    std::string ignored_fields; ///< Field that was ignored or changed, and why; or empty.

    friend bool operator==(const answer_info&, const answer_info&) = default;
};

/// \brief Translates requests and answers of callers and backend servers. Thread safe.
class forward_dialect {
public:
    virtual ~forward_dialect() = default;
    /// \returns nothing, and the violated rule in `why`, when a field cannot be read.
    virtual std::optional<request_info> read_request(const transport::http_request& request,
                                                     std::string& why) const = 0;
    virtual transport::http_fields request_fields(const transport::http_request& request,
                                                  const forward_directive& directive) const = 0;
    /// \returns the fields of a request that is handed on to another instance, as the caller sent
    /// them but with the remaining time. \pre `remaining_ms` >= 0
    virtual transport::http_fields handed_on_fields(const transport::http_request& request,
                                                    std::int64_t remaining_ms) const = 0;
    virtual answer_info read_answer(const transport::http_head& head) const = 0;
    /// \returns the fields of an answer that the caller receives.
    virtual transport::http_fields answer_fields(const transport::http_head& head) const = 0;
    /// \returns the fields of this instance's own error answer.
    virtual transport::http_fields refusal_fields(const std::string& request_id,
                                                  std::optional<double> retry_after_s) const = 0;
};

} // namespace azureyoke::app
