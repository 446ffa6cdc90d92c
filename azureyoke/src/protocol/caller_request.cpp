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

constexpr std::string_view bearer = "bearer ";

caller_error malformed(std::string message) {
    return {caller_code::malformed_request, std::move(message), run_state::not_run, {}};
}

/// Every key that the request carries, repeats included.
tl::expected<std::vector<std::string>, caller_error>
collect_keys(const transport::http_request& request) {
    std::vector<std::string> keys;
    for (const auto& it : request.fields) {
        if (transport::equal_names(it.name, "x-api-key"))
            keys.push_back(it.value);
        if (!transport::equal_names(it.name, "authorization"))
            continue;
        std::string_view value = it.value;
        if (value.size() <= bearer.size() ||
            !transport::equal_names(value.substr(0, bearer.size()), bearer))
            return tl::unexpected(
                caller_error{caller_code::unknown_key,
                             "field Authorization must have the form \"Bearer KEY\"",
                             run_state::not_run,
                             {}});
        keys.emplace_back(value.substr(bearer.size()));
    }
    return keys;
}

/// Whether `key` stands in a string or name of a JSON body that is spelled with escapes.
bool stands_escaped(const std::string& body, const std::string& key) {
    // Without one of these no spelling differs from the plain one.
    bool escapes = body.find("\\u") != std::string::npos || body.find("\\/") != std::string::npos ||
                   key.find_first_of("\"\\") != std::string::npos;
    if (!escapes)
        return false;
    bool found = false;
    auto look = [&](int /*depth*/, nlohmann::json::parse_event_t event, nlohmann::json& value) {
        bool text = event == nlohmann::json::parse_event_t::key ||
                    event == nlohmann::json::parse_event_t::value;
        if (text && value.is_string())
            found = found || value.get_ref<const std::string&>().find(key) != std::string::npos;
        return true;
    };
    // What follows a fault of the text is no JSON, which no backend server would decode.
    [[maybe_unused]] auto parsed = nlohmann::json::parse(body, look, false);
    return found;
}

/// The target with its percent escapes replaced.
std::string decoded(const std::string& target) {
    std::string made;
    for (std::size_t i = 0; i < target.size(); ++i) {
        unsigned value = 0;
        const char* first = target.data() + i + 1;
        bool escape = target[i] == '%' && i + 2 < target.size() &&
                      std::from_chars(first, first + 2, value, 16).ptr == first + 2;
        made += escape ? static_cast<char>(value) : target[i];
        i += escape ? 2 : 0;
    }
    return made;
}

bool stands_elsewhere(const transport::http_request& request, const std::string& key) {
    bool escapes = request.target.find('%') != std::string::npos;
    if (request.target.find(key) != std::string::npos ||
        (escapes && decoded(request.target).find(key) != std::string::npos))
        return true;
    if (request.body.find(key) != std::string::npos || stands_escaped(request.body, key))
        return true;
    return std::any_of(request.fields.begin(), request.fields.end(), [&](const auto& it) {
        bool key_field = transport::equal_names(it.name, "x-api-key") ||
                         transport::equal_names(it.name, "authorization");
        return !key_field &&
               (it.value.find(key) != std::string::npos || it.name.find(key) != std::string::npos);
    });
}

/// Content of a chat message: a string, or parts of which the text ones count.
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

tl::expected<std::string, caller_error> prompt_of(completion_kind kind,
                                                  const nlohmann::json& body) {
    if (kind == completion_kind::text) {
        auto it = body.find("prompt");
        if (it == body.end() || !it->is_string() || it->get_ref<const std::string&>().empty())
            return tl::unexpected(malformed("field \"prompt\" must be a non-empty string"));
        return it->get<std::string>();
    }
    auto it = body.find("messages");
    if (it == body.end() || !it->is_array() || it->empty())
        return tl::unexpected(malformed("field \"messages\" must be a non-empty array"));
    std::string prompt;
    for (const auto& message : *it) {
        bool shaped = message.is_object() && message.contains("role") &&
                      message["role"].is_string() && message.contains("content");
        auto text = shaped ? content_text(message["content"]) : std::nullopt;
        if (!text)
            return tl::unexpected(malformed(
                "each of \"messages\" must have a string \"role\" and a text \"content\""));
        prompt += message["role"].get<std::string>() + "\n" + *text + "\n";
    }
    return prompt;
}

tl::expected<std::int64_t, caller_error> output_tokens_of(const nlohmann::json& body) {
    for (const char* name : {"max_completion_tokens", "max_tokens"}) {
        auto it = body.find(name);
        if (it == body.end() || it->is_null())
            continue;
        if (!it->is_number_integer() || it->get<double>() < 1 ||
            it->get<double>() > static_cast<double>(most_output_tokens))
            return tl::unexpected(malformed("field \"" + std::string(name) +
                                            "\" must be a whole number from 1 to " +
                                            std::to_string(most_output_tokens)));
        return it->get<std::int64_t>();
    }
    return default_output_tokens;
}

constexpr std::array<std::string_view, 15> private_fields = {"authorization",
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

/// Names that a Connection field lists; they end with this hop.
std::vector<std::string> connection_names(const transport::http_fields& fields) {
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
    bool agree = std::all_of(keys->begin(), keys->end(), [&](const auto& it) { return it == key; });
    if (!agree)
        return tl::unexpected(caller_error{caller_code::ambiguous_key,
                                           "a request may carry one key only",
                                           run_state::not_run,
                                           {}});
    if (key.empty())
        return std::nullopt;
    if (internal::stands_elsewhere(request, key))
        return tl::unexpected(caller_error{
            caller_code::key_misplaced,
            "the key may stand only in field Authorization or x-api-key, since everything else is "
            "forwarded",
            run_state::not_run,
            {}});
    return state::digest_of(key);
}

std::optional<caller_error> check_framing(const transport::http_request& request) {
    auto lengths = transport::count_fields(request.fields, "content-length");
    auto encodings = transport::count_fields(request.fields, "transfer-encoding");
    if (lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1))
        return caller_error{caller_code::ambiguous_length, one_length_rule, run_state::not_run, {}};
    return std::nullopt;
}

tl::expected<completion_request, caller_error>
parse_completion(completion_kind kind, const transport::http_request& request) {
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return tl::unexpected(internal::malformed("the body must be a JSON object"));
    completion_request made;
    made.kind = kind;
    auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return tl::unexpected(internal::malformed("field \"model\" must be a string"));
    made.model = model->get<std::string>();
    auto prompt = internal::prompt_of(kind, body);
    if (!prompt)
        return tl::unexpected(prompt.error());
    made.prompt = std::move(*prompt);
    auto tokens = internal::output_tokens_of(body);
    if (!tokens)
        return tl::unexpected(tokens.error());
    made.most_output_tokens = *tokens;
    auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
        return tl::unexpected(internal::malformed("field \"stream\" must be true or false"));
    made.stream = stream != body.end() && stream->get<bool>();
    made.body = request.body;
    return made;
}

transport::http_fields forwardable_fields(const transport::http_fields& fields) {
    auto named = internal::connection_names(fields);
    transport::http_fields kept;
    for (const auto& it : fields) {
        auto same = [&](const auto& name) { return transport::equal_names(it.name, name); };
        if (std::none_of(internal::private_fields.begin(), internal::private_fields.end(), same) &&
            std::none_of(named.begin(), named.end(), same))
            kept.push_back(it);
    }
    return kept;
}

} // namespace azureyoke::protocol
