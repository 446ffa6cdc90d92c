// Guards against invalid documents that are accepted, errors without the right path and line, and
// texts that crash the parser.
#include "azureyoke/src/state/document.h"

#include <random>

#include <criterion/criterion.h>

#include "azureyoke/src/state/configuration.h"

using namespace azureyoke;

namespace {

const std::string valid_text = R"(// A document of one team.
{
  "name": "team",
  "version": 4,
  "data_centres": [{"name": "dc-a", "weight": 3}, {"name": "dc-b"}],
  "models": [{"name": "m", "weights": "w1"}],
  "workspaces": [
    {"name": "w", "tokens_per_second": 10, "burst_tokens": 20, "models": ["m"],
     "keys": ["sha256:0000000000000000000000000000000000000000000000000000000000000001"]}
  ],
  "backend_servers": [
    {"name": "e", "address": "127.0.0.1:1", "data_centre": "dc-a", "models": ["m"]}
  ],
  "routes": [{"path_prefix": "/r/", "backend_servers": ["e"], "access": "open"}]
}
)";

std::string with_replacement(const std::string& from, const std::string& to) {
    auto text = valid_text;
    auto offset = text.find(from);
    cr_assert_neq(offset, std::string::npos);
    return text.replace(offset, from.size(), to);
}

void expect_error(const std::string& text, const std::string& path, int line) {
    auto doc = state::parse_document(text);
    cr_assert_not(doc.has_value());
    const auto& first = doc.error().front();
    cr_assert_eq(first.path, path, "%s", state::to_string(first).c_str());
    cr_assert_eq(first.line, line, "%s", state::to_string(first).c_str());
}

} // namespace

Test(document, comments_are_allowed_and_all_fields_are_read) {
    auto doc = state::parse_document(valid_text);
    cr_assert(doc.has_value());
    cr_assert_eq(doc->version, 4);
    cr_assert_eq(doc->workspaces[0].limit.burst_tokens, 20);
    cr_assert(doc->routes[0].access == state::route_access::open);
    cr_assert_eq(state::data_centre_part(*doc, "dc-a"), 750'000);
    cr_assert_eq(state::data_centre_part(*doc, "elsewhere"), 0);
}

Test(document, error_states_path_and_line) {
    expect_error(with_replacement("\"version\": 4", "\"version\": 0"), "/version", 4);
    expect_error(with_replacement("\"weights\": \"w1\"", "\"weight\": \"w1\""), "/models/0/weights",
                 6);
    expect_error(with_replacement("\"models\": [\"m\"],", "\"models\": [\"n\"],"),
                 "/workspaces/0/models", 8);
    expect_error(with_replacement("0001\"]", "1\"]"), "/workspaces/0/keys", 9);
    expect_error(with_replacement("\"data_centre\": \"dc-a\"", "\"data_centre\": \"dc-x\""),
                 "/backend_servers/0/data_centre", 12);
    expect_error(with_replacement("/r/", "/v1/r"), "/routes/0/path_prefix", 14);
}

Test(document, unknown_and_repeated_fields_are_rejected) {
    expect_error(with_replacement("\"version\": 4", "\"version\": 4, \"colour\": 1"), "/colour", 4);
    expect_error(with_replacement("\"version\": 4", "\"version\": 4, \"version\": 5"), "/version",
                 4);
}

Test(document, syntax_error_states_its_line) {
    expect_error(with_replacement("\"version\": 4,", "\"version\": 4"), "/version", 5);
}

Test(document, route_with_longest_path_prefix_is_selected) {
    auto parse = [](const std::string& name, const std::string& prefix) {
        auto text = valid_text;
        for (const auto& [from, to] :
             {std::pair<std::string, std::string>{"\"team\"", "\"" + name + "\""},
              {"\"w\"", "\"" + name + "-w\""},
              {"\"e\"", "\"" + name + "-e\""},
              {"[\"e\"]", "[\"" + name + "-e\"]"},
              {"/r/", prefix},
              {"0001", name == "a" ? "0002" : "0003"}})
            text.replace(text.find(from), from.size(), to);
        return std::make_shared<const state::document>(state::parse_document(text).value());
    };
    state::configuration config({parse("a", "/x"), parse("b", "/x/y")});
    cr_assert_eq(config.find_route("/x/y/z").route->path_prefix, "/x/y");
    cr_assert_eq(config.find_route("/x/z").route->path_prefix, "/x");
    cr_assert_not(config.find_route("/other"));
}

// Fuzzes the document parser with a fixed corpus and seed: every text yields a document or at least
// one error.
Test(document, mutated_texts_never_crash_the_parser) {
    std::mt19937_64 random(20261203);
    for (int i = 0; i < 20'000; ++i) {
        auto text = valid_text;
        auto edits = 1 + random() % 4;
        for (std::uint64_t k = 0; k < edits; ++k) {
            auto offset = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[offset] = static_cast<char>(random());
                break;
            case 1:
                text.erase(offset, random() % 12);
                break;
            default:
                text.insert(offset, valid_text.substr(random() % valid_text.size(), random() % 24));
                break;
            }
        }
        auto doc = state::parse_document(text);
        if (!doc)
            cr_assert_not(doc.error().empty());
    }
}
