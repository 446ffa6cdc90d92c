#include "standin/fleet.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "azureyoke/src/state/key_digest.h"
#include "standin/completion_call.h"

namespace azureyoke::standin {

using nlohmann::json;

namespace internal {
namespace {

constexpr int start_timeout_ms = 20'000;
constexpr const char* fleet_name = "standin-fleet";

std::vector<std::string> workspace_names() {
    return {"returns", "disputes", "pickups", "wallets", "yards"};
}

void write_file(const std::string& name, const std::string& text) {
    std::ofstream out(name, std::ios::binary);
    out << text;
}

transport::address parse_address_after(const std::string& line, const std::string& label) {
    auto at = line.find(label);
    if (at == std::string::npos)
        throw std::runtime_error("fleet: no address after \"" + label + "\" in: " + line);
    auto from = at + label.size();
    auto parsed =
        transport::parse_address(line.substr(from, line.find_first_of(" \"\n", from) - from));
    if (!parsed)
        throw std::runtime_error("fleet: " + parsed.error().what);
    return *parsed;
}

} // namespace
} // namespace internal

std::string data_centre_name(int number) {
    return std::string("dc-") + static_cast<char>('a' + number);
}

fleet::fleet(const fleet_options& options)
    : options_(options), client_(loop_, transport::http_client_limits{}) {
    for (const auto& it : internal::workspace_names())
        keys_[it] = "ky-" + it + "-0123456789";
}

fleet::~fleet() = default;

std::string fleet::file_path(const std::string& name) const {
    return options_.directory + "/" + name;
}

std::string fleet::document_path() const {
    return file_path("document.json");
}

std::unique_ptr<process> fleet::start_standin(const std::vector<std::string>& arguments,
                                              const std::string& name, transport::address& at) {
    std::vector<std::string> all = {options_.standin};
    all.insert(all.end(), arguments.begin(), arguments.end());
    auto created = std::make_unique<process>(all, file_path(name + ".log"));
    auto line = created->wait_for_line("listening ", internal::start_timeout_ms);
    if (!line)
        throw std::runtime_error("fleet: " + name + " did not start: " + created->output());
    at = internal::parse_address_after(*line, "listening ");
    return created;
}

transport::address fleet::through_proxy(const std::string& name, const transport::address& to) {
    if (!options_.behind_proxy)
        return to;
    json body = {{"name", name}, {"to", transport::to_string(to)}};
    auto answer = fetch(proxy_address_, {"POST", "/links", {}, body.dump()});
    if (!answer || answer->status != 200)
        throw std::runtime_error("fleet: the proxy opened no link to " + name);
    return *transport::parse_address(answer->body);
}

void fleet::start() {
    platform_ = start_standin({"platform"}, "platform", platform_address_);
    proxy_ = start_standin({"proxy"}, "proxy", proxy_address_);
    for (int i = 0; i < options_.engines; ++i) {
        fleet_server created;
        created.name = "engine-" + std::to_string(i + 1);
        created.data_centre = data_centre_name(i % options_.data_centres);
        created.child = start_standin(
            {"engine", "--speed=" + std::to_string(options_.engine_speed),
             "--token_us=" + std::to_string(options_.token_us),
             "--piece_bytes=" + std::to_string(options_.piece_bytes),
             "--seed=" + std::to_string(i + 1),
             options_.engines_check_fencing_token ? "--honours_fence" : "--nohonours_fence"},
            created.name, created.direct);
        created.routed = through_proxy(created.name, created.direct);
        engines_.push_back(std::move(created));
    }
    service_.name = "wallet-1";
    service_.data_centre = data_centre_name(0);
    service_.child = start_standin({"service"}, service_.name, service_.direct);
    service_.routed = through_proxy(service_.name, service_.direct);
    if (apply_document() != 0)
        throw std::runtime_error("fleet: the first document was refused");
    for (int i = 0; i < options_.instances; ++i) {
        fleet_instance created;
        created.name = "entry-" + std::to_string(i + 1);
        created.data_centre = data_centre_name(i % options_.data_centres);
        created.platform = through_proxy("platform-" + created.name, platform_address_);
        instances_.push_back(std::move(created));
        start_instance(static_cast<std::size_t>(i));
    }
    publish_instances();
    if (!wait_in_force(internal::start_timeout_ms))
        throw std::runtime_error("fleet: the instances did not become ready");
}

void fleet::start_instance(std::size_t number) {
    auto& it = instances_[number];
    // A restarted instance keeps its addresses, because the platform lists them.
    auto at = [](const transport::address& known) {
        return known.port == 0 ? std::string("127.0.0.1:0") : transport::to_string(known);
    };
    json settings = {{"instance", it.name},
                     {"fleet", internal::fleet_name},
                     {"data_centre", it.data_centre},
                     {"callers", at(it.callers)},
                     {"operators", at(it.operators)},
                     {"peers", at(it.peers)},
                     {"platform", transport::to_string(it.platform)},
                     {"piece_bytes", options_.piece_bytes},
                     {"platform_poll_ms", 200},
                     {"report_poll_ms", 100},
                     {"memory_period_ms", 500},
                     {"drain_grace_ms", 300},
                     {"first_byte_timeout_ms", 10'000},
                     {"idle_timeout_ms", 5'000}};
    if (options_.body_bytes > 0)
        settings["body_bytes"] = options_.body_bytes;
    if (options_.memory_mb > 0)
        settings["memory_mb"] = options_.memory_mb;
    auto path = file_path(it.name + ".json");
    internal::write_file(path, settings.dump(2));
    it.child = std::make_unique<process>(
        std::vector<std::string>{options_.product, "serve", "--settings=" + path},
        file_path(it.name + ".log"));
    auto line = it.child->wait_for_line("\"name\":\"listening\"", internal::start_timeout_ms);
    if (!line)
        throw std::runtime_error("fleet: " + it.name + " did not start: " + it.child->output());
    it.callers = internal::parse_address_after(*line, "\"callers\":\"");
    it.operators = internal::parse_address_after(*line, "\"operators\":\"");
    it.peers = internal::parse_address_after(*line, "\"peers\":\"");
}

void fleet::publish_instances() {
    auto list = json::array();
    for (const auto& it : instances_) {
        if (it.child != nullptr)
            list.push_back({{"name", it.name},
                            {"data_centre", it.data_centre},
                            {"peer_address", transport::to_string(it.peers)},
                            {"leaving", false}});
    }
    control(platform_address_, "/control", json({{"instances", list}}).dump());
}

std::string fleet::document_text(std::int64_t version) const {
    json doc;
    doc["name"] = "kopi-kavi";
    doc["version"] = version;
    for (int i = 0; i < options_.data_centres; ++i)
        doc["data_centres"].push_back({{"name", data_centre_name(i)}});
    doc["models"] = json::array({{{"name", model_name}, {"weights", weights_}}});
    for (const auto& [name, key] : keys_) {
        json workspace_json = {{"name", name},
                               {"tokens_per_second", options_.tokens_per_second},
                               {"burst_tokens", options_.burst_tokens},
                               {"models", {model_name}},
                               {"keys", json::array()}};
        if (std::find(withdrawn_workspaces_.begin(), withdrawn_workspaces_.end(), name) ==
            withdrawn_workspaces_.end())
            workspace_json["keys"].push_back(state::to_string(state::compute_digest(key)));
        doc["workspaces"].push_back(workspace_json);
    }
    for (const auto& it : engines_)
        doc["backend_servers"].push_back(
            {{"name", it.name},
             {"address", transport::to_string(it.routed)},
             {"data_centre", it.data_centre},
             {"models", {model_name}},
             {"leaving", std::find(leaving_servers_.begin(), leaving_servers_.end(), it.name) !=
                             leaving_servers_.end()}});
    doc["backend_servers"].push_back({{"name", service_.name},
                                      {"address", transport::to_string(service_.routed)},
                                      {"data_centre", service_.data_centre},
                                      {"kind", "service"}});
    doc["routes"] = json::array(
        {{{"path_prefix", "/wallet/refund"},
          {"backend_servers", {service_.name}},
          {"repeatable", false}},
         {{"path_prefix", "/wallet/balance"}, {"backend_servers", {service_.name}}},
         {{"path_prefix", "/pickups/"}, {"backend_servers", {service_.name}}, {"access", "open"}}});
    return "// Written by the stand-in fleet.\n" + doc.dump(2) + "\n";
}

int fleet::apply_document() {
    ++version_;
    return start_apply("document", version_)->wait();
}

std::unique_ptr<process> fleet::start_apply(const std::string& name, std::int64_t version) {
    auto path = file_path(name + ".json");
    internal::write_file(path, document_text(version));
    return std::make_unique<process>(
        std::vector<std::string>{options_.product, "apply",
                                 "--platform=" + transport::to_string(platform_address_), path},
        file_path(name + "-apply.log"));
}

transport::result<transport::http_response> fleet::fetch(const transport::address& at,
                                                         const transport::http_request& request) {
    transport::result<transport::http_response> created =
        tl::unexpected(transport::error{transport::errc::timed_out, "no answer", true});
    bool done = false;
    client_.fetch(at, request, [&](auto answer) {
        created = std::move(answer);
        done = true;
    });
    while (!done)
        loop_.run_once(true);
    return created;
}

json fleet::fetch_json(const transport::address& at, const std::string& path) {
    auto answer = fetch(at, {"GET", path, {}, {}});
    return answer ? json::parse(answer->body, nullptr, false) : json();
}

std::vector<transport::address> fleet::callers() const {
    std::vector<transport::address> list;
    for (const auto& it : instances_)
        list.push_back(it.callers);
    return list;
}

void fleet::control(const transport::address& at, const std::string& path,
                    const std::string& body) {
    auto answer = fetch(at, {"POST", path, {}, body});
    if (!answer || answer->status != 200)
        throw std::runtime_error("fleet: control " + path + " " + body + " was not accepted");
}

bool fleet::wait_until(const std::function<bool()>& holds, int timeout_ms) {
    auto until = loop_.now() + std::chrono::milliseconds(timeout_ms);
    while (!holds()) {
        if (loop_.now() >= until)
            return false;
        auto pause = loop_.after(std::chrono::milliseconds(20), [] {});
        loop_.run_once(true);
    }
    return true;
}

bool fleet::wait_in_force(int timeout_ms) {
    return wait_until(
        [this] {
            return std::all_of(instances_.begin(), instances_.end(), [this](auto& it) {
                if (it.child == nullptr || !it.child->running())
                    return true;
                auto answer = fetch(it.operators, {"GET", "/status", {}, {}});
                if (!answer || answer->status != 200)
                    return false;
                auto value = json::parse(answer->body, nullptr, false);
                const auto& docs = value["documents"];
                return value.value("share_part_millionths", 0) > 0 && docs.size() == 1 &&
                       docs[0]["version"] == version_;
            });
        },
        timeout_ms);
}

std::string fleet::describe() const {
    json body;
    for (const auto& it : instances_)
        body["instances"][it.name] = {{"callers", transport::to_string(it.callers)},
                                      {"operators", transport::to_string(it.operators)},
                                      {"peers", transport::to_string(it.peers)},
                                      {"data_centre", it.data_centre},
                                      {"pid", it.child == nullptr ? -1 : it.child->pid()}};
    for (const auto& it : engines_)
        body["engines"][it.name] = {{"address", transport::to_string(it.direct)},
                                    {"routed_address", transport::to_string(it.routed)},
                                    {"data_centre", it.data_centre},
                                    {"pid", it.child->pid()}};
    body["services"][service_.name] = {{"address", transport::to_string(service_.direct)},
                                       {"routed_address", transport::to_string(service_.routed)},
                                       {"pid", service_.child->pid()}};
    body["keys"] = keys_;
    body["models"] = {model_name};
    body["platform"] = {{"address", transport::to_string(platform_address_)},
                        {"pid", platform_->pid()}};
    body["fault_proxy"] = {{"control", transport::to_string(proxy_address_)},
                           {"pid", proxy_->pid()}};
    body["documents"]["kopi-kavi"] = document_path();
    return body.dump(2) + "\n";
}

} // namespace azureyoke::standin
