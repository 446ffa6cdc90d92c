#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "azureyoke/src/transport/http_client.h"
#include "standin/process.h"

namespace azureyoke::standin {

/// \brief Configuration of a fleet on loopback.
struct fleet_options {
    std::string product;   ///< Path of the `azureyoke` program.
    std::string standin;   ///< Path of the `azureyoke-standin` program.
    std::string directory; ///< For settings, documents and logs. Must exist.
    int instances = 3;
    int data_centres = 2;
    int engines = 4;
    double engine_speed = 20'000; ///< Prompt tokens that an engine computes per second.
    std::int64_t token_us = 2000;
    std::int64_t piece_bytes = 2000;
    /// Instances reach the engines, the service and the platform through the fault proxy. Each
    /// instance has its own platform link, named `platform-` followed by the instance's name.
    bool behind_proxy = false;
    std::int64_t tokens_per_second = 1'000'000;
    std::int64_t burst_tokens = 2'000'000;
    bool engines_check_fencing_token = true;
    std::int64_t body_bytes = 0; ///< Limit on the bodies of requests; 0: the product's default.
    std::int64_t memory_mb = 0;  ///< Memory of the machine as the settings state it; 0: not stated.
};

/// \brief One running instance of the product.
struct fleet_instance {
    std::string name;
    std::string data_centre;
    transport::address callers;
    transport::address operators;
    transport::address peers;
    transport::address platform; ///< Platform address that this instance uses.
    std::unique_ptr<process> child;
};

/// \brief A running engine or service.
struct fleet_server {
    std::string name;
    std::string data_centre;
    transport::address direct; ///< Address that the server listens on.
    transport::address routed; ///< Address in the document; may belong to the proxy.
    std::unique_ptr<process> child;
};

/// \brief Instances, engines, a service, the platform and the fault proxy as separate processes
/// on loopback, for tests, the demo, the benchmark and the soak.
class fleet {
public:
    explicit fleet(const fleet_options& options);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// \brief Starts all processes and waits until every instance is ready; throws when a process
    /// does not start.
    void start();

    /// \brief Sends one request and waits until its answer is complete.
    transport::result<transport::http_response> fetch(const transport::address& at,
                                                      const transport::http_request& request);
    /// \returns the JSON document at `path`, or null when there is no answer.
    nlohmann::json fetch_json(const transport::address& at, const std::string& path);
    /// \brief POSTs JSON text to a control address; throws when the request is not accepted.
    void control(const transport::address& at, const std::string& path, const std::string& body);

    /// \brief Increments the version, writes the document and runs `azureyoke apply`.
    /// \returns the exit code of `azureyoke apply`.
    int apply_document();
    /// \brief Waits until every running instance has the document's version in force.
    /// \returns false after `timeout_ms`.
    bool wait_in_force(int timeout_ms);
    /// \brief Runs the event loop until `holds` returns true. \returns false after `timeout_ms`.
    bool wait_until(const std::function<bool()>& holds, int timeout_ms);

    /// \brief Starts `azureyoke apply` with the current document, numbered `version`.
    std::unique_ptr<process> start_apply(const std::string& name, std::int64_t version);
    void start_instance(std::size_t number);
    void publish_instances();
    std::string describe() const;

    std::vector<fleet_instance>& instances() { return instances_; }

    std::vector<fleet_server>& engines() { return engines_; }

    fleet_server& service() { return service_; }

    const transport::address& platform() const { return platform_address_; }

    const transport::address& proxy() const { return proxy_address_; }

    /// \returns for each instance the address that callers use.
    std::vector<transport::address> callers() const;

    /// \brief All keys, by workspace; withdrawn keys are included.
    const std::map<std::string, std::string>& keys() const { return keys_; }

    const std::string& key(const std::string& workspace) const { return keys_.at(workspace); }

    void withdraw_key(const std::string& workspace) { withdrawn_workspaces_.push_back(workspace); }

    void grant_key(const std::string& workspace) { std::erase(withdrawn_workspaces_, workspace); }

    void set_version(std::int64_t version) { version_ = version; }

    /// \brief Sets the weights that the next document specifies.
    void set_weights(const std::string& weights) { weights_ = weights; }

    void set_draining(const std::string& server) { leaving_servers_.push_back(server); }

    std::int64_t version() const { return version_; }

    transport::event_loop& loop() { return loop_; }

    transport::http_client& client() { return client_; }

    const fleet_options& options() const { return options_; }

private:
    std::unique_ptr<process> start_standin(const std::vector<std::string>& arguments,
                                           const std::string& name, transport::address& at);
    transport::address through_proxy(const std::string& name, const transport::address& to);
    std::string document_text(std::int64_t version) const;
    std::string document_path() const;
    std::string file_path(const std::string& name) const;

    fleet_options options_;
    transport::event_loop loop_;
    transport::http_client client_;
    std::unique_ptr<process> platform_;
    transport::address platform_address_;
    std::unique_ptr<process> proxy_;
    transport::address proxy_address_;
    std::vector<fleet_server> engines_;
    fleet_server service_;
    std::vector<fleet_instance> instances_;
    std::map<std::string, std::string> keys_;
    std::vector<std::string> withdrawn_workspaces_;
    std::vector<std::string> leaving_servers_;
    std::string weights_ = "w1";
    std::int64_t version_ = 0;
};

/// \returns the name of data centre `number`: dc-a for 0, dc-b for 1 and so on.
std::string data_centre_name(int number);

} // namespace azureyoke::standin
