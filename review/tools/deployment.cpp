#include "review/tools/deployment.h"

#include <cstdio>

#include <unistd.h>

namespace review {

namespace names {
constexpr const char* id = "Attempt-Id";
} // namespace names

replica::replica(deployment& world, std::string id, std::string service, std::string model,
                 handler on_request)
    : world_(world), id_(std::move(id)), service_(std::move(service)), model_(std::move(model)),
      on_request_(std::move(on_request)) {
    start("v1");
}

void replica::start(const std::string& software) {
    software_ = software;
    ++born_;
    sequence_ = 0;
    server_ = std::make_unique<front_server>(world_.loop, azureyoke::transport::front_limits(),
                                             [this](const auto& call) { on_call(call); });
    auto bound = server_->listen(at_);
    if (!bound) {
        std::cerr << "replica " << id_ << ": " << bound.error().what << "\n";
        std::exit(not_run);
    }
    at_ = *bound;
    write_entry();
    heartbeat_ = world_.loop.every(ms(1200), [this] { write_entry(); });
}

void replica::stop() {
    heartbeat_.reset();
    server_.reset();
}

json replica::entry() const {
    json models = json::array();
    if (!model_.empty())
        models.push_back({{"name", model_}, {"version", 1}, {"adapters", json::array()}});
    json made = {{"service", service_}, {"address", azureyoke::transport::to_string(at_)},
                 {"zone", "z1"},        {"version", software_},
                 {"slots", 64},         {"state", "ready"},
                 {"coldRemainingMs", 0}, {"sequence", sequence_},
                 {"born", born_}};
    if (!model_.empty()) {
        made["stage"] = "both";
        made["models"] = models;
    }
    return made;
}

void replica::write_entry() {
    if (!world_.store_up)
        return;
    ++sequence_;
    world_.store.put("servers", id_, entry().dump());
}

http_fields replica::answer_fields(const exchange_ptr& call) const {
    http_fields fields = {
        {names::id, find_field(call->request().fields, names::id).value_or("")},
        {"Server-Stamp", "stamp." + id_}};
    if (!model_.empty())
        fields.push_back({"Weight-Versions", "1"});
    return fields;
}

void replica::on_call(const exchange_ptr& call) {
    const auto& fields = call->request().fields;
    auto id = find_field(fields, names::id).value_or("");
    auto expected = find_field(fields, "Expect-Instance");
    auto weights = find_field(fields, "Expect-Version");
    if ((expected && *expected != id_) || (weights && *weights != "1")) {
        call->reply({421, {{names::id, id}, {"Not-Executed", "1"}}, {}});
        return;
    }
    if (call->request().target == "/report") {
        json body = {{"stage", "both"},
                     {"models", {{{"name", model_}, {"version", 1}, {"adapters", json::array()}}}},
                     {"busy", false},
                     {"sequence", 0},
                     {"queued", 0},
                     {"active", 0}};
        call->reply({200, {{"Content-Type", "application/json"}}, body.dump()});
        return;
    }
    if (id.empty()) {
        call->reply({400, {{"Not-Executed", "1"}}, {}});
        return;
    }
    on_request_(*this, call);
}

deployment::deployment(std::string product, std::string directory, const std::string& record_file,
                       std::size_t count)
    : product_(std::move(product)), directory_(std::move(directory)), record_(record_file),
      began_(loop.now()) {
    // Each machine has an address of its own, since all use the same ports. The ports lie below those
    // that the kernel gives to outgoing connections, and each is tried once, so that nothing takes
    // one between this choice and the start of its machine.
    constexpr int first_port = 12000;
    constexpr int last_port = 31000;
    int next_port = first_port + static_cast<int>(getpid()) * 37 % (last_port - first_port);
    auto advance = [&] {
        next_port = next_port >= last_port ? first_port : next_port + 1;
        return static_cast<std::uint16_t>(next_port);
    };
    auto free_port = [&](const std::string& ip) {
        for (int i = first_port; i < last_port; ++i) {
            azureyoke::transport::tcp_listener probe(loop, [](int) {});
            if (auto bound = probe.listen({ip, advance()}))
                return bound->port;
        }
        std::cerr << "no free port at " << ip << "\n";
        std::exit(not_run);
    };
    auto free_datagram_port = [&] {
        for (int i = first_port; i < last_port; ++i) {
            auto port = advance();
            bool free = true;
            for (std::size_t n = 0; n < count && free; ++n) {
                azureyoke::transport::datagram_socket probe(loop, [](std::string_view) {});
                free = probe.bind({"127.0.3." + std::to_string(n + 1), port}).has_value();
            }
            if (free)
                return port;
        }
        std::cerr << "no free port for datagrams\n";
        std::exit(not_run);
    };
    auto peer_port = free_datagram_port();
    for (std::size_t i = 0; i < count; ++i) {
        machine made;
        auto ip = "127.0.3." + std::to_string(i + 1);
        made.name = "edge-z1-" + std::to_string(i + 1);
        made.zone = "z1";
        made.settings_file = directory_ + "/" + made.name + ".json";
        made.callers = {ip, free_port(ip)};
        made.ready = {ip, free_port(ip)};
        made.control = {ip, free_port(ip)};
        made.peers = {ip, peer_port};
        machines.push_back(std::move(made));
    }
}

void deployment::write_settings(const machine& it) const {
    json seeds = json::array();
    for (std::size_t i = 0; i < machines.size() && i < 3; ++i)
        seeds.push_back(azureyoke::transport::to_string(machines[i].control));
    // As deploy/settings.json.in, with the bounds of the smallest sheets.
    json text = {{"instance", it.name},
                 {"data_centre", it.zone},
                 {"callers", azureyoke::transport::to_string(it.callers)},
                 {"readiness", azureyoke::transport::to_string(it.ready)},
                 {"operators", azureyoke::transport::to_string(it.control)},
                 {"peers", azureyoke::transport::to_string(it.peers)},
                 {"registry", azureyoke::transport::to_string(store.at())},
                 {"seeds", seeds},
                 {"drain_limit_ms", 7400},
                 {"retry_share", 0.2},
                 {"retry_reserve", 56},
                 {"limit_window_s", 8},
                 {"weights_limit_ms", 6000}};
    std::ofstream(it.settings_file) << text.dump(2) << "\n";
}

void deployment::add_replica(const std::string& id, const std::string& service,
                             const std::string& model, replica::handler handler) {
    replicas.push_back(std::make_unique<replica>(*this, id, service, model, std::move(handler)));
}

void deployment::configure(const json& routes, const json& services, const json& tenants) {
    json all = {{"version", 1},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 4194304},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}},
                {"tenants", tenants}};
    store.put("op", "config", all.dump());
}

bool deployment::start() {
    for (auto& it : machines) {
        write_settings(it);
        setenv("AZUREYOKE_CONFIG", it.settings_file.c_str(), 1);
        it.child = std::make_unique<process>(std::vector<std::string>{product_, "route"},
                                             directory_ + "/" + it.name + ".log");
        note("start " + it.name + " pid " + std::to_string(it.child->pid()));
    }
    auto limit = loop.now() + ms(10000);
    for (auto& it : machines) {
        while (get(it.ready, "/readyz").status != 200) {
            if (loop.now() > limit)
                return false;
            run_for(ms(50));
        }
    }
    run_for(ms(1500)); // the machines find each other
    return true;
}

bool deployment::all_running() {
    bool all = true;
    for (auto& it : machines)
        all = all && it.child != nullptr && it.child->running();
    return all;
}

void deployment::set_store_up(bool up) {
    store_up = up;
    store.set_default_fault(up ? store_fault::none : store_fault::unavailable);
    note(up ? "store: answers again" : "store: answers 503 to every call");
    if (up) {
        for (auto& it : replicas) {
            if (it->up())
                it->write_entry();
        }
    }
}

void deployment::run_for(ms time) {
    (void)run_until([] { return false; }, time);
}

bool deployment::run_until(const std::function<bool()>& done, ms limit) {
    auto until = loop.now() + limit;
    auto poll = loop.every(ms(5), [] {});
    while (!done()) {
        if (loop.now() >= until)
            return false;
        loop.run_once(true);
    }
    return true;
}

void deployment::after(ms time, std::function<void()> what) {
    timers_.push_back(loop.after(time, std::move(what)));
}

void deployment::note(const std::string& line) {
    auto at = (loop.now() - began_) / ms(1);
    record_ << at << " ms  " << line << std::endl;
}

http_response deployment::get(const address& at, const std::string& path) {
    std::optional<http_response> got;
    azureyoke::transport::fetch(
        loop, probes_, at, {"GET", path, {{"Host", "h"}}, {}}, ms(2000),
        [&](auto answer) { got = answer ? *answer : http_response(); });
    run_until([&] { return got.has_value(); }, ms(3000));
    return got.value_or(http_response());
}

std::string deployment::next_id() {
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++ids_));
    return text;
}

client::client(event_loop& loop, const address& to)
    : reader_(azureyoke::transport::http_reader_kind::answers, 65536, *this),
      stream_(loop, to, *this) {}

void client::send(const http_request& request, handler done) {
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    azureyoke::transport::append_fields(out, request.fields);
    if (!request.body.empty() || request.method == "POST")
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    out += "\r\n" + request.body;
    handlers_.push_back(std::move(done));
    if (ended_)
        fail();
    else
        stream_.write(out);
}

void client::on_bytes(std::string_view bytes) {
    while (!bytes.empty() && !ended_) {
        bytes.remove_prefix(reader_.feed(bytes));
        if (!reader_.failure().empty()) {
            fail();
            return;
        }
    }
}

void client::on_end(bool reset) {
    if (!reset && !ended_)
        reader_.feed_end();
    fail();
}

void client::on_head(azureyoke::transport::http_head head) {
    current_ = {};
    current_.status = head.status;
    current_.fields = head.fields;
}

void client::on_body(std::string_view piece) {
    current_.body.append(piece);
    if (on_piece)
        on_piece(piece);
}

void client::on_complete() {
    if (handlers_.empty())
        return;
    current_.complete = true;
    auto done = std::move(handlers_.front());
    handlers_.pop_front();
    done(std::exchange(current_, {}));
}

void client::fail() {
    ended_ = true;
    auto left = std::exchange(handlers_, {});
    for (auto& it : left)
        it(std::exchange(current_, {}));
}

} // namespace review
