#include "azureyoke/src/protocol/caller_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <vector>

#include <nlohmann/json.hpp>

namespace azureyoke::protocol {

namespace internal {
namespace {

constexpr std::string_view bearer_prefix = "bearer ";

caller_error malformed_error(std::string message) {
    return {caller_code::malformed_request, std::move(message), run_state::not_run, {}};
}

/// Collects all keys in the request's header fields, duplicates included.
tl::expected<std::vector<std::string>, caller_error>
collect_keys(const transport::http_request& request) {
    std::vector<std::string> keys;
    for (const auto& it : request.fields) {
        if (transport::equal_names(it.name, "x-api-key"))
            keys.push_back(it.value);
        if (!transport::equal_names(it.name, "authorization"))
            continue;
        std::string_view value = it.value;
        if (value.size() <= bearer_prefix.size() ||
            !transport::equal_names(value.substr(0, bearer_prefix.size()), bearer_prefix))
            return tl::unexpected(
                caller_error{caller_code::unknown_key,
                             "field Authorization must have the form \"Bearer KEY\"",
                             run_state::not_run,
                             {}});
        keys.emplace_back(value.substr(bearer_prefix.size()));
    }
    return keys;
}

/// Whether a string or member name of the JSON body contains `key` once escape sequences are
/// decoded.
bool occurs_escaped(const std::string& body, const std::string& key) {
    // Without any of these, decoding cannot change whether the key occurs.
    bool has_escapes = body.find("\\u") != std::string::npos ||
                       body.find("\\/") != std::string::npos ||
                       key.find_first_of("\"\\") != std::string::npos;
    if (!has_escapes)
        return false;
    bool found = false;
    auto visit = [&](int /*depth*/, nlohmann::json::parse_event_t event, nlohmann::json& value) {
        bool is_text = event == nlohmann::json::parse_event_t::key ||
                       event == nlohmann::json::parse_event_t::value;
        if (is_text && value.is_string())
            found = found || value.get_ref<const std::string&>().find(key) != std::string::npos;
        return true;
    };
    // Parsing stops at the first syntax error. A backend server would not decode the rest either.
    [[maybe_unused]] auto parsed = nlohmann::json::parse(body, visit, false);
    return found;
}

/// Decodes the percent escapes of a request target.
std::string percent_decode(const std::string& target) {
    std::string text;
    for (std::size_t i = 0; i < target.size(); ++i) {
        unsigned value = 0;
        const char* first = target.data() + i + 1;
        bool escape = target[i] == '%' && i + 2 < target.size() &&
                      std::from_chars(first, first + 2, value, 16).ptr == first + 2;
        text += escape ? static_cast<char>(value) : target[i];
        i += escape ? 2 : 0;
    }
    return text;
}

/// Whether `key` occurs in the target, the body or a header field that does not carry keys.
bool occurs_outside_key_fields(const transport::http_request& request, const std::string& key) {
    bool has_escapes = request.target.find('%') != std::string::npos;
    if (request.target.find(key) != std::string::npos ||
        (has_escapes && percent_decode(request.target).find(key) != std::string::npos))
        return true;
    if (request.body.find(key) != std::string::npos || occurs_escaped(request.body, key))
        return true;
    return std::any_of(request.fields.begin(), request.fields.end(), [&](const auto& it) {
        bool key_field = transport::equal_names(it.name, "x-api-key") ||
                         transport::equal_names(it.name, "authorization");
        return !key_field &&
               (it.value.find(key) != std::string::npos || it.name.find(key) != std::string::npos);
    });
}

/// Text of a chat message's content, which is a string or an array of text parts; std::nullopt for
/// any other content.
std::optional<std::string> content_text(const nlohmann::json& content) {
    if (content.is_string())
        return content.get<std::string>();
    if (!content.is_array())
        return std::nullopt;
    std::string text;
    for (const auto& it : content) {
        if (!it.is_object() || !it.contains("text") || !it["text"].is_string())
            return std::nullopt;
        text += it["text"].get<std::string>();
    }
    return text;
}

tl::expected<std::string, caller_error> read_prompt(completion_kind kind,
                                                    const nlohmann::json& body) {
    if (kind == completion_kind::text) {
        auto it = body.find("prompt");
        if (it == body.end() || !it->is_string() || it->get_ref<const std::string&>().empty())
            return tl::unexpected(malformed_error("field \"prompt\" must be a non-empty string"));
        return it->get<std::string>();
    }
    auto it = body.find("messages");
    if (it == body.end() || !it->is_array() || it->empty())
        return tl::unexpected(malformed_error("field \"messages\" must be a non-empty array"));
    std::string prompt;
    for (const auto& message : *it) {
        bool well_formed = message.is_object() && message.contains("role") &&
                           message["role"].is_string() && message.contains("content");
        auto text = well_formed ? content_text(message["content"]) : std::nullopt;
        if (!text)
            return tl::unexpected(malformed_error(
                "each of \"messages\" must have a string \"role\" and a text \"content\""));
        prompt += message["role"].get<std::string>() + "\n" + *text + "\n";
    }
    return prompt;
}

tl::expected<std::int64_t, caller_error> read_output_tokens(const nlohmann::json& body) {
    for (const char* name : {"max_completion_tokens", "max_tokens"}) {
        auto it = body.find(name);
        if (it == body.end() || it->is_null())
            continue;
        if (!it->is_number_integer() || it->get<double>() < 1 ||
            it->get<double>() > static_cast<double>(output_tokens_limit))
            return tl::unexpected(malformed_error("field \"" + std::string(name) +
                                                  "\" must be a whole number from 1 to " +
                                                  std::to_string(output_tokens_limit)));
        return it->get<std::int64_t>();
    }
    return default_output_tokens;
}

/// Fields that are never forwarded, such as credentials and hop-by-hop fields.
constexpr std::array<std::string_view, 15> non_forwardable_fields = {"authorization",
                                                                     "x-api-key",
                                                                     "connection",
                                                                     "proxy-connection",
                                                                     "keep-alive",
                                                                     "te",
                                                                     "trailer",
                                                                     "transfer-encoding",
                                                                     "upgrade",
                                                                     "host",
                                                                     "content-length",
                                                                     "proxy-authorization",
                                                                     "proxy-authenticate",
                                                                     "expect",
                                                                     "cookie"};

/// Names of the hop-by-hop fields that the Connection fields list.
std::vector<std::string> connection_field_names(const transport::http_fields& fields) {
    std::vector<std::string> names;
    for (const auto& it : fields) {
        if (!transport::equal_names(it.name, "connection"))
            continue;
        std::istringstream list(it.value);
        std::string name;
        while (std::getline(list, name, ',')) {
            name.erase(0, name.find_first_not_of(" \t"));
            name.erase(name.find_last_not_of(" \t") + 1);
            names.push_back(name);
        }
    }
    return names;
}

} // namespace
} // namespace internal

tl::expected<std::optional<state::key_digest>, caller_error>
extract_key(const transport::http_request& request) {
    auto keys = internal::collect_keys(request);
    if (!keys)
        return tl::unexpected(keys.error());
    if (keys->empty())
        return std::nullopt;
    const auto& key = keys->front();
    bool all_equal =
        std::all_of(keys->begin(), keys->end(), [&](const auto& it) { return it == key; });
    if (!all_equal)
        return tl::unexpected(caller_error{caller_code::ambiguous_key,
                                           "a request may carry one key only",
                                           run_state::not_run,
                                           {}});
    if (key.empty())
        return std::nullopt;
    if (internal::occurs_outside_key_fields(request, key))
        return tl::unexpected(caller_error{
            caller_code::key_misplaced,
            "the key may stand only in field Authorization or x-api-key, since everything else is "
            "forwarded",
            run_state::not_run,
            {}});
    return state::compute_digest(key);
}

std::optional<caller_error> check_framing(const transport::http_request& request) {
    auto lengths = transport::count_fields(request.fields, "content-length");
    auto encodings = transport::count_fields(request.fields, "transfer-encoding");
    if (lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1))
        return caller_error{
            caller_code::ambiguous_length, ambiguous_length_message, run_state::not_run, {}};
    return std::nullopt;
}

tl::expected<completion_request, caller_error>
parse_completion(completion_kind kind, const transport::http_request& request) {
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return tl::unexpected(internal::malformed_error("the body must be a JSON object"));
    completion_request completion;
    completion.kind = kind;
    auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return tl::unexpected(internal::malformed_error("field \"model\" must be a string"));
    completion.model = model->get<std::string>();
    auto prompt = internal::read_prompt(kind, body);
    if (!prompt)
        return tl::unexpected(prompt.error());
    completion.prompt = std::move(*prompt);
    auto tokens = internal::read_output_tokens(body);
    if (!tokens)
        return tl::unexpected(tokens.error());
    completion.max_output_tokens = *tokens;
    auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
        return tl::unexpected(internal::malformed_error("field \"stream\" must be true or false"));
    completion.stream = stream != body.end() && stream->get<bool>();
    completion.body = request.body;
    return completion;
}

transport::http_fields forwardable_fields(const transport::http_fields& fields) {
    auto hop_by_hop_names = internal::connection_field_names(fields);
    transport::http_fields forwarded;
    for (const auto& it : fields) {
        auto has_name = [&](const auto& name) { return transport::equal_names(it.name, name); };
        if (std::none_of(internal::non_forwardable_fields.begin(),
                         internal::non_forwardable_fields.end(), has_name) &&
            std::none_of(hop_by_hop_names.begin(), hop_by_hop_names.end(), has_name))
            forwarded.push_back(it);
    }
    return forwarded;
}

} // namespace azureyoke::protocol
