#include "azureyoke/src/app/commands.h"

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "azureyoke/src/app/apply_run.h"
#include "azureyoke/src/app/audit_run.h"
#include "azureyoke/src/app/check_command.h"
#include "azureyoke/src/app/instance.h"
#include "azureyoke/src/app/machine_memory.h"
#include "azureyoke/src/transport/descriptor_limit.h"

DEFINE_string(settings, "", "file of process settings, JSON with comments (serve)");
DEFINE_string(platform, "", "IP:PORT of the platform (apply, audit)");
DEFINE_int64(since_ms, 0, "only entries from this time on, milliseconds since 1970 (audit)");
DEFINE_int64(until_ms, 0, "only entries before this time; 0 for no limit (audit)");
DEFINE_string(document, "", "only entries of this document (audit)");
DEFINE_string(workspace, "", "only entries of this workspace (audit)");
DEFINE_string(operators, "", "IP:PORT of an instance's operator address (status, explain, check)");

namespace azureyoke::app {

std::optional<std::string> read_file(const std::string& name) {
    std::ifstream in(name, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void print_faults(const std::string& name, const std::vector<state::error>& faults) {
    for (const auto& it : faults)
        std::cerr << name << ": " << state::to_string(it) << "\n";
}

exit_code report_missing_file(const std::string& name) {
    std::cerr << "azureyoke: file \"" << name << "\" is not readable\n";
    return exit_code::no_input;
}

namespace internal {
namespace {

constexpr const char* version_text = "azureyoke 0.1.0";

std::optional<transport::address> parse_address_flag(const std::string& flag,
                                                     const std::string& text) {
    auto at = transport::parse_address(text);
    if (at)
        return *at;
    std::cerr << "azureyoke: flag --" << flag << ": " << at.error().what << "\n";
    return std::nullopt;
}

/// Calls `start` and runs the loop until the function passed to `start` is called.
void run_until_done(transport::event_loop& loop,
                    const std::function<void(std::function<void()>)>& start) {
    bool done = false;
    start([&] {
        done = true;
        loop.stop();
    });
    if (!done)
        loop.run();
}

exit_code serve(const std::vector<std::string>& /*words*/) {
    auto text = read_file(FLAGS_settings);
    if (!text)
        return report_missing_file(FLAGS_settings);
    auto settings = parse_settings(*text);
    if (!settings) {
        print_faults(FLAGS_settings, settings.error());
        return exit_code::bad_input;
    }
    start_logging();
    return_large_blocks();
    transport::event_loop loop;
    instance server(loop, *settings, transport::raise_descriptor_limit());
    server.start();
    for (int number : {SIGTERM, SIGINT})
        loop.on_signal(number, [&] { server.drain(); });
    loop.run();
    return exit_code::ok;
}

/// The text of a document file and the document parsed from it.
struct document_file {
    std::string text;
    state::document doc;
};

/// Reads and validates the document file that is the only argument of `command`.
tl::expected<document_file, exit_code> read_document(const std::string& command,
                                                     const std::vector<std::string>& words) {
    if (words.size() != 1) {
        std::cerr << help_text(command);
        return tl::unexpected(exit_code::usage);
    }
    auto text = read_file(words[0]);
    if (!text)
        return tl::unexpected(report_missing_file(words[0]));
    auto doc = state::parse_document(*text);
    if (!doc) {
        print_faults(words[0], doc.error());
        return tl::unexpected(exit_code::bad_input);
    }
    return document_file{std::move(*text), std::move(*doc)};
}

/// Runs the operation that `make` creates against the platform of --platform until it ends.
template <class Make>
exit_code with_platform(Make make) {
    auto at = parse_address_flag("platform", FLAGS_platform);
    if (!at)
        return exit_code::usage;
    transport::event_loop loop;
    transport::http_client client(loop, transport::http_client_limits{});
    protocol::http_platform platform(client, *at);
    auto code = exit_code::unavailable;
    std::function<void()> stop;
    auto operation = make(platform, [&](exit_code result, const std::string& message) {
        code = result;
        (result == exit_code::ok ? std::cout : std::cerr) << "azureyoke: " << message << "\n";
        stop();
    });
    run_until_done(loop, [&](const std::function<void()>& done) {
        stop = done;
        operation->start();
    });
    return code;
}

exit_code apply(const std::vector<std::string>& words) {
    auto read = read_document("apply", words);
    if (!read)
        return read.error();
    coordination::document_copy copy{
        {read->doc.name, read->doc.version, state::content_digest(read->text)}, read->text};
    return with_platform([&](protocol::http_platform& platform, auto done) {
        return std::make_unique<apply_run>(platform, copy, read->doc, std::move(done));
    });
}

/// Fetches one path from the operator address of an instance and prints the answer.
exit_code print_operator_page(const std::string& path) {
    auto at = parse_address_flag("operators", FLAGS_operators);
    if (!at)
        return exit_code::usage;
    auto answer = fetch_operator_page(*at, path);
    if (!answer) {
        std::cerr << "azureyoke: " << answer.error().what << "\n";
        return exit_code::unavailable;
    }
    auto value = nlohmann::json::parse(answer->body, nullptr, false);
    std::cout << (value.is_discarded() ? answer->body : value.dump(2) + "\n");
    return answer->status == 200 ? exit_code::ok : exit_code::failed;
}

exit_code status(const std::vector<std::string>& /*words*/) {
    return print_operator_page("/status");
}

exit_code explain(const std::vector<std::string>& words) {
    if (words.size() != 1) {
        std::cerr << help_text("explain");
        return exit_code::usage;
    }
    return print_operator_page("/explain/" + words[0]);
}

exit_code audit(const std::vector<std::string>& /*words*/) {
    return with_platform([](protocol::http_platform& platform, auto done) {
        audit_filter filter{FLAGS_since_ms, FLAGS_until_ms, FLAGS_document, FLAGS_workspace};
        return std::make_unique<audit_run>(platform, std::move(filter), std::move(done));
    });
}

exit_code version(const std::vector<std::string>& /*words*/) {
    std::cout << version_text << "\n";
    return exit_code::ok;
}

std::map<std::string, command>& commands() {
    static std::map<std::string, command> list = [] {
        std::map<std::string, command> by_name;
        for (const auto& it : std::vector<command>{
                 {"serve", "serve --settings FILE", "run an instance until SIGTERM", serve},
                 {"check", check_usage,
                  "look for faults of a document, settings or a configuration", run_check},
                 {"apply", "apply --platform IP:PORT DOCUMENT", "write a document to the platform",
                  apply},
                 {"status", "status --operators IP:PORT", "show an instance", status},
                 {"explain", "explain --operators IP:PORT REQUEST_ID",
                  "show how a request was routed", explain},
                 {"audit",
                  "audit --platform IP:PORT [--since_ms N] [--until_ms N] [--document NAME] "
                  "[--workspace NAME]",
                  "print the audit trail, oldest first", audit},
                 {"version", "version", "print the version", version}})
            by_name.emplace(it.name, it);
        return by_name;
    }();
    return list;
}

} // namespace
} // namespace internal

transport::result<transport::http_response> fetch_operator_page(const transport::address& at,
                                                                const std::string& path) {
    transport::event_loop loop;
    transport::http_client client(loop, transport::http_client_limits{});
    std::optional<transport::result<transport::http_response>> result;
    internal::run_until_done(loop, [&](const std::function<void()>& done) {
        client.fetch(at, {"GET", path, {}, {}}, [&result, done](auto answer) {
            result = std::move(answer);
            done();
        });
    });
    return *std::move(result);
}

void add_command(command added) {
    auto name = added.name;
    internal::commands().insert_or_assign(name, std::move(added));
}

std::string help_text(const std::string& command) {
    const auto& list = internal::commands();
    auto it = list.find(command);
    if (it != list.end())
        return "usage: azureyoke " + it->second.usage + "\n  " + it->second.summary + "\n";
    std::string text = "usage: azureyoke COMMAND\n";
    for (const auto& [name, entry] : list)
        text += "  " + entry.usage + "\n      " + entry.summary + "\n";
    return text;
}

exit_code run_command(const std::vector<std::string>& words) {
    if (words.empty() || words[0] == "help") {
        std::cout << help_text(words.size() > 1 ? words[1] : "");
        return words.empty() ? exit_code::usage : exit_code::ok;
    }
    const auto& list = internal::commands();
    auto it = list.find(words[0]);
    if (it == list.end()) {
        std::cerr << "azureyoke: command \"" << words[0] << "\" does not exist\n" << help_text("");
        return exit_code::usage;
    }
    return it->second.run({words.begin() + 1, words.end()});
}

} // namespace azureyoke::app
