// A small deployment on loopback addresses for the cases of the review: the product's processes,
// the project's stand-in of the platform's store, and replicas that follow the users' pages.
#pragma once

#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "azureyoke/src/transport/backend_fetch.h"
#include "azureyoke/src/transport/datagram_socket.h"
#include "azureyoke/src/transport/front_server.h"
#include "azureyoke/src/transport/tcp_stream.h"
#include "platform/standin/store_standin.h"
#include "standin/process.h"

namespace review {

using azureyoke::platform::standin::store_fault;
using azureyoke::platform::standin::store_standin;
using azureyoke::standin::process;
using azureyoke::transport::address;
using azureyoke::transport::event_loop;
using azureyoke::transport::find_field;
using azureyoke::transport::front_exchange;
using azureyoke::transport::front_server;
using azureyoke::transport::http_fields;
using azureyoke::transport::http_request;
using azureyoke::transport::http_response;
using azureyoke::transport::instant;
using azureyoke::transport::timer;
using nlohmann::json;
using exchange_ptr = std::shared_ptr<front_exchange>;
using ms = std::chrono::milliseconds;

/// Exit codes of a case.
enum verdict { held = 0, broken = 1, not_run = 2 };

class deployment;

/// One replica. It registers in the store, writes its entry every 1.2 s, echoes Attempt-Id, signs
/// its answers, and refuses requests that expect another instance or other weights with 421.
class replica {
public:
    using handler = std::function<void(replica&, const exchange_ptr&)>;

    replica(deployment& world, std::string id, std::string service, std::string model,
            handler on_request);
    /// Ends all connections; the port refuses new ones until `start`.
    void stop();
    /// Starts again under the same id and address.
    void start(const std::string& software);
    /// The whole entry, as the replica itself writes it.
    json entry() const;
    /// Writes the entry, if the store takes it.
    void write_entry();
    http_fields answer_fields(const exchange_ptr& call) const;

    const std::string& id() const { return id_; }
    const std::string& software() const { return software_; }
    bool up() const { return server_ != nullptr; }

private:
    void on_call(const exchange_ptr& call);

    deployment& world_;
    std::string id_;
    std::string service_;
    std::string model_;
    handler on_request_;
    std::unique_ptr<front_server> server_;
    address at_{"127.0.0.1", 0};
    std::string software_ = "v1";
    std::int64_t born_ = 1'764'000'000'000;
    std::int64_t sequence_ = 0;
    std::unique_ptr<timer> heartbeat_;
};

/// One process of the product, started as the deploy file says.
struct machine {
    std::string name;
    std::string zone;
    std::string settings_file;
    address callers, ready, control, peers;
    std::unique_ptr<process> child;
};

class deployment {
public:
    /// `product` is the program, `directory` a temporary folder, `record_file` gets the record.
    deployment(std::string product, std::string directory, const std::string& record_file,
               std::size_t machines);

    event_loop loop;
    store_standin store{loop};
    std::vector<machine> machines;
    std::vector<std::unique_ptr<replica>> replicas;
    bool store_up = true;

    void add_replica(const std::string& id, const std::string& service, const std::string& model,
                     replica::handler handler);
    void configure(const json& routes, const json& services, const json& tenants);
    /// Starts the processes. \returns whether all count as ready within 10 s.
    bool start();
    void set_store_up(bool up);
    /// Runs the loop for this time.
    void run_for(ms time);
    bool run_until(const std::function<bool()>& done, ms limit);
    /// Calls `what` after this time.
    void after(ms time, std::function<void()> what);
    /// Adds a line to the record, with the time since the start.
    void note(const std::string& line);
    http_response get(const address& at, const std::string& path);
    std::string next_id();
    bool all_running();

private:
    void write_settings(const machine& it) const;

    std::string product_;
    std::string directory_;
    std::ofstream record_;
    instant began_;
    std::uint64_t ids_ = 0x9c41d07be2a30000;
    std::vector<std::unique_ptr<timer>> timers_;
    azureyoke::transport::backend_pool probes_{loop, {}};
};

/// A client's connection: it writes requests and reads answers in the order of its requests.
class client : private azureyoke::transport::tcp_stream_sink,
               private azureyoke::transport::http_reader_sink {
public:
    struct answer {
        int status = 0;
        http_fields fields;
        std::string body;
        bool complete = false; ///< False: the connection ended before or within the answer.
    };
    using handler = std::function<void(const answer&)>;

    client(event_loop& loop, const address& to);
    /// Sends a request. `done` gets the answer that comes at its place.
    void send(const http_request& request, handler done);
    /// Called for each piece of a body, before the answer is complete.
    std::function<void(std::string_view)> on_piece;
    void pause(bool paused) { stream_.pause(paused); }
    bool open() const { return !ended_; }
    std::size_t waiting() const { return handlers_.size(); }

private:
    void on_bytes(std::string_view bytes) override;
    void on_end(bool reset) override;
    void on_head(azureyoke::transport::http_head head) override;
    void on_body(std::string_view piece) override;
    void on_complete() override;
    void fail();

    azureyoke::transport::http_reader reader_;
    azureyoke::transport::tcp_stream stream_;
    std::deque<handler> handlers_;
    answer current_;
    bool ended_ = false;
};

/// Whether the disruption is played: not with TROUBLE=0.
inline bool trouble() {
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace review
