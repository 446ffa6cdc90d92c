#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/coordination/weights_rollout.h"
#include "azureyoke/src/coordination/write_result.h"
#include "azureyoke/src/state/fleet_server.h"
#include "azureyoke/src/state/record_version.h"
#include "azureyoke/src/state/traffic_policy.h"
#include "azureyoke/src/transport/http_reader.h"

namespace azureyoke::app {

/// \brief A policy and the text from which it was read, which peers hand on.
struct policy_copy {
    std::shared_ptr<const state::traffic_policy> policy;
    std::string text;
};

/// \brief Receives what a fleet's registry says. Calls come from the loop.
class registry_listener {
public:
    virtual ~registry_listener() = default;
    virtual void on_policy(const policy_copy& copy) = 0;
    /// \brief New weights are wanted. `just_named` is false when they may have been for long.
    virtual void on_named_weights(const std::string& model, std::int64_t version,
                                  bool just_named) = 0;
    /// \brief The whole list of backend servers, at the start and after a gap.
    virtual void on_servers(const std::vector<state::fleet_server>& list) = 0;
    virtual void on_server(const state::fleet_server& entry) = 0;
    virtual void on_server_gone(const std::string& id) = 0;
    /// \brief A row holds nothing that can be used.
    virtual void on_unreadable(const std::string& row, const std::string& why) = 0;
    virtual void on_registry(bool reachable, const std::string& why) = 0;
    /// \brief The registry's era is known for the first time, or it came back from an older copy,
    /// without what was written to it lately. Called before anything is told of that era.
    virtual void on_registry_era(std::int64_t era) = 0;
};

/// \brief Where configuration and backend servers are found. Not thread safe.
class fleet_registry {
public:
    virtual ~fleet_registry() = default;
    virtual void start(registry_listener& listener) = 0;
    /// \brief A peer is told this era by the registry: what comes of older ones is not believed.
    virtual void note_era(std::int64_t era) = 0;
    /// \returns the newest era known; 0 before the first answer, or when the registry has none.
    virtual std::int64_t era() const = 0;
    /// \returns nothing, and the reason in `why`, when the text is no policy.
    virtual std::optional<policy_copy> read_policy(const std::string& text, std::string& why) = 0;
};

/// \brief A record and its version, absent when there is none.
struct stored_record {
    std::string key;
    std::string value;
    state::record_version version;

    friend bool operator==(const stored_record&, const stored_record&) = default;
};

/// \brief Small records that outlive every instance, changed under a condition. Not thread safe.
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
    /// \brief Writes on condition that the record has `expected_version`; without one, in any case.
    /// A condition of an older era than the store's is a conflict.
    virtual void write(const std::string& key,
                       const std::optional<state::record_version>& expected_version,
                       const std::string& value, write_handler done) = 0;
    virtual void erase(const std::string& key) = 0;
};

/// \brief What a server said of itself.
struct server_look {
    std::map<std::string, std::int64_t> weights; ///< By model.
    std::int64_t orders = 0;
    bool busy = false; ///< It carries out an order.

    friend bool operator==(const server_look&, const server_look&) = default;
};

/// \brief Gives orders to backend servers. Not thread safe.
class server_orders {
public:
    virtual ~server_orders() = default;
    virtual void order(const state::fleet_server& server, const coordination::weights_action& what,
                       const std::string& holder, std::int64_t fence,
                       std::function<void(coordination::order_outcome)> done) = 0;
    virtual void look(const state::fleet_server& server,
                      std::function<void(std::optional<server_look>)> done) = 0;
};

/// \brief What a caller's request says of itself.
struct caller_intent {
    std::string request_id;
    std::string host;
    std::string key;
    std::optional<std::int64_t> deadline_ms;
    std::string model;
    std::vector<state::prompt_part> parts;
    std::optional<std::int64_t> tokens; ///< Read and written at most; absent when not said.
    std::string last_event;             ///< Where a resumed stream goes on; empty otherwise.

    friend bool operator==(const caller_intent&, const caller_intent&) = default;
};

/// \brief What an instance tells a backend server beside the caller's own fields.
struct forward_directive {
    std::string server;                  ///< Only this one may run it.
    std::string workspace;               ///< Empty on a keyless route.
    std::int64_t deadline_ms = 0;        ///< What is left.
    std::string cache_wall;              ///< Caches are shared only under the same text.
    std::optional<std::int64_t> weights; ///< Only these may run it.
    std::string last_event;              ///< The stream goes on after this event.
    std::string cache_holder;            ///< Address to fetch cached parts from.
    std::string cache_keeper;            ///< Address of the store that shall keep the parts.
    std::optional<int> urgency;          ///< 0 is first.

    friend bool operator==(const forward_directive&, const forward_directive&) = default;
};

/// \brief What the head of a backend server's answer says.
struct answer_note {
    std::string request_id; ///< Of the request that it answers; empty when not said.
    bool not_run = false;   ///< The request did not and will not run there.
    bool wrong_server = false;
    bool whole = true; ///< It bears what a server's own answer must bear.
    std::optional<int> running;
    std::optional<int> waiting;
    std::optional<std::int64_t> weights;
    bool leaving = false;         ///< The server takes no new requests from now on.
    std::optional<double> rest_s; ///< The server wants no request from this instance so long.
    std::string ignored;          ///< Which field was not taken as it came, and why; or empty.

    friend bool operator==(const answer_note&, const answer_note&) = default;
};

/// \brief How callers and backend servers spell requests and answers. Thread safe.
class forward_dialect {
public:
    virtual ~forward_dialect() = default;
    /// \returns nothing, and the rule that was broken in `why`, when a field can't be read.
    virtual std::optional<caller_intent> read_request(const transport::http_request& request,
                                                      std::string& why) const = 0;
    virtual transport::http_fields request_fields(const transport::http_request& request,
                                                  const forward_directive& directive) const = 0;
    virtual answer_note read_answer(const transport::http_head& head) const = 0;
    /// \brief Fields of an answer as the caller gets them.
    virtual transport::http_fields answer_fields(const transport::http_head& head) const = 0;
    /// \brief Fields of a refusal by this instance itself.
    virtual transport::http_fields refusal_fields(const std::string& request_id,
                                                  std::optional<double> retry_after_s) const = 0;
};

} // namespace azureyoke::app
