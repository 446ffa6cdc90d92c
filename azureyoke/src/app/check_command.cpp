#include "azureyoke/src/app/check_command.h"

#include <algorithm>
#include <iostream>
#include <optional>

#include <gflags/gflags.h>

#include "azureyoke/src/app/commands.h"
#include "azureyoke/src/app/forward_settings.h"
#include "azureyoke/src/app/settings.h"
#include "azureyoke/src/check/document_check.h"

DECLARE_string(operators);
DEFINE_string(against, "", "file with the version in force, to compare with (check)");

namespace azureyoke::app {

using check::finding_kind;
using nlohmann::json;

namespace internal {
namespace {

/// The fields of a settings file. Those that it leaves out have their defaults on both sides.
std::vector<check::described_element> describe_settings(const std::string& text) {
    check::described_element element{"settings", {}};
    auto root = json::parse(text, nullptr, false, true);
    for (const auto& it : root.items())
        element.fields.emplace(it.key(), it.value().dump());
    return {element};
}

template <class Parse>
check_report inspect_settings(const std::string& text, Parse parse) {
    auto parsed = parse(text);
    if (!parsed)
        return {check::to_findings(finding_kind::error, parsed.error()), {}};
    return {{}, describe_settings(text)};
}

check_report inspect_document(const std::string& text) {
    auto parsed = state::parse_document(text);
    if (!parsed)
        return {check::to_findings(finding_kind::error, parsed.error()), {}};
    return {check::check_document(*parsed), check::describe(*parsed)};
}

std::vector<checked_file>& checked_files() {
    static std::vector<checked_file> list = {
        {"settings of route", [](const auto& root) { return root.contains("registry"); },
         [](const auto& text) { return inspect_settings(text, parse_forward_settings); }},
        {"settings of serve", [](const auto& root) { return root.contains("platform"); },
         [](const auto& text) { return inspect_settings(text, parse_settings); }}};
    return list;
}

const checked_file document_file = {"document", nullptr, inspect_document};

/// \returns the kind whose fields the text has; a document if there is no other.
const checked_file& kind_of(const std::string& text) {
    auto root = json::parse(text, nullptr, false, true);
    if (!root.is_object())
        return document_file;
    const auto& list = checked_files();
    auto found =
        std::find_if(list.begin(), list.end(), [&](const auto& it) { return it.recognizes(root); });
    return found == list.end() ? document_file : *found;
}

exit_code report_failure(exit_code code, const std::string& what) {
    std::cerr << "azureyoke: " << what << "\n";
    return code;
}

exit_code print(const check_report& report, const std::string& file) {
    for (const auto& it : report.findings)
        std::cout << check::to_line(it, file) << "\n";
    return check::has_error(report.findings) ? exit_code::failed : exit_code::ok;
}

} // namespace
} // namespace internal

void add_checked_file(checked_file added) {
    internal::checked_files().push_back(std::move(added));
}

std::optional<check_report> inspect(const std::string& text, const std::string* in_force) {
    const auto& kind = internal::kind_of(text);
    auto report = kind.inspect(text);
    if (in_force == nullptr)
        return report;
    const auto& other_kind = internal::kind_of(*in_force);
    auto other = other_kind.inspect(*in_force);
    if (&other_kind != &kind || check::has_error(other.findings))
        return std::nullopt;
    if (check::has_error(report.findings))
        return report;
    auto changes = check::compare(other.elements, report.elements);
    report.findings.insert(report.findings.end(), changes.begin(), changes.end());
    return report;
}

std::optional<check::finding> compare_with_status(const std::string& text,
                                                  const std::string& status) {
    auto doc = state::parse_document(text);
    auto page = json::parse(status, nullptr, false);
    if (!doc || !page.is_object() || !page.contains("documents") || !page["documents"].is_array())
        return std::nullopt;
    check::finding found{finding_kind::change, "document", ""};
    for (const auto& it : page["documents"]) {
        if (!it.is_object() || it.value("name", json()) != json(doc->name))
            continue;
        auto version = it.value("version", json()).dump();
        bool same = it.value("digest", json()) == json(state::content_digest(text));
        found.what = "version " + version + " in force has " +
                     (same ? "the same text" : "another text than version ") +
                     (same ? "" : std::to_string(doc->version));
        return found;
    }
    found.what = "no version of \"" + doc->name + "\" is in force";
    return found;
}

exit_code run_check(const std::vector<std::string>& words) {
    using internal::report_failure;
    bool both = !FLAGS_against.empty() && !FLAGS_operators.empty();
    if (words.size() != 1 || both) {
        std::cerr << help_text("check");
        return exit_code::misuse;
    }
    auto text = read_file(words[0]);
    if (!text)
        return report_failure(exit_code::misuse, "file \"" + words[0] + "\" is not readable");
    std::optional<std::string> in_force;
    std::optional<check::finding> change;
    const auto& kind = internal::kind_of(*text);
    if (!FLAGS_against.empty()) {
        in_force = read_file(FLAGS_against);
        if (!in_force)
            return report_failure(exit_code::misuse,
                                  "file \"" + FLAGS_against + "\" is not readable");
    }
    if (!FLAGS_operators.empty()) {
        auto at = transport::parse_address(FLAGS_operators);
        bool document = &kind == &internal::document_file;
        if (!at || (kind.page.empty() && !document))
            return report_failure(exit_code::misuse, !at ? "flag --operators: " + at.error().what
                                                         : "no instance shows its " + kind.name);
        auto path = document ? std::string("/status") : kind.page;
        auto page = fetch_operator_page(*at, path);
        if (!page)
            return report_failure(exit_code::unavailable, page.error().what);
        if (page->status != 200)
            return report_failure(exit_code::unavailable,
                                  "status " + std::to_string(page->status) + " for " + path);
        if (document)
            change = compare_with_status(*text, page->body);
        else
            in_force = page->body;
    }
    auto report = inspect(*text, in_force ? &*in_force : nullptr);
    if (!report)
        return report_failure(exit_code::misuse,
                              "the version in force is no valid " + kind.name + " to compare with");
    if (change)
        report->findings.push_back(*change);
    std::cerr << words[0] << ": " << kind.name << ", " << report->findings.size() << " findings\n";
    return internal::print(*report, words[0]);
}

} // namespace azureyoke::app
