#include "azureyoke/src/protocol/engine_api.h"

#include <nlohmann/json.hpp>

#include "azureyoke/src/state/to_json_text.h"

namespace azureyoke::protocol {

namespace internal {
namespace {

using nlohmann::json;

std::string dump(const json& value) {
    return state::to_json_text(value);
}

json usage_to_json(const token_usage& usage) {
    return {{"prompt_tokens", usage.prompt_tokens},
            {"completion_tokens", usage.completion_tokens},
            {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
            {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

error bad_engine_answer_error(std::string what) {
    return {errc::bad_answer, std::move(what), true};
}

std::optional<std::int64_t> read_count(const json& value, const char* name) {
    auto it = value.find(name);
    if (it == value.end() || !it->is_number_integer() || it->get<double>() < 0)
        return std::nullopt;
    return it->get<std::int64_t>();
}

std::string string_or_empty(const json& value, const char* name) {
    auto it = value.find(name);
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::optional<token_usage> parse_usage(const json& value) {
    auto it = value.find("usage");
    if (it == value.end() || !it->is_object())
        return std::nullopt;
    token_usage usage;
    usage.prompt_tokens = read_count(*it, "prompt_tokens").value_or(0);
    usage.completion_tokens = read_count(*it, "completion_tokens").value_or(0);
    auto details = it->find("prompt_tokens_details");
    if (details != it->end() && details->is_object())
        usage.cached_tokens = read_count(*details, "cached_tokens").value_or(0);
    return usage;
}

} // namespace
} // namespace internal

transport::http_request make_engine_request(const completion_request& request,
                                            const engine_directive& directive) {
    auto body = internal::json::parse(request.body, nullptr, false);
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
    body["max_tokens"] = request.max_output_tokens;
    body["cache_salt"] = directive.cache_salt;
    body["priority"] = directive.priority;
    if (directive.resume_from > 0)
        body["resume_from"] = directive.resume_from;
    if (!directive.weights.empty())
        body["weights"] = directive.weights;
    transport::http_request engine_request;
    engine_request.method = "POST";
    engine_request.target =
        request.kind == completion_kind::chat ? "/v1/chat/completions" : "/v1/completions";
    engine_request.fields = {{"Content-Type", "application/json"},
                             {"x-request-id", directive.request_id}};
    engine_request.body = internal::dump(body);
    return engine_request;
}

transport::http_request make_load_order(const load_order& order) {
    nlohmann::json body = {{"weights", order.weights}, {"fence", order.fencing_token}};
    return {"POST", "/orders", {{"Content-Type", "application/json"}}, body.dump()};
}

result<engine_event> parse_engine_event(std::string_view data) {
    auto value = internal::json::parse(data, nullptr, false);
    if (value.is_discarded() || !value.is_object())
        return tl::unexpected(
            internal::bad_engine_answer_error("a stream event must be a JSON object"));
    auto position = internal::read_count(value, "position");
    auto choices = value.find("choices");
    bool well_formed = position && choices != value.end() && choices->is_array() &&
                       choices->size() == 1 && (*choices)[0].is_object();
    if (!well_formed)
        return tl::unexpected(internal::bad_engine_answer_error(
            "a stream event must have \"position\" and one of \"choices\""));
    const auto& choice = (*choices)[0];
    engine_event event;
    event.request_id = internal::string_or_empty(value, "id");
    event.position = *position;
    event.weights = internal::string_or_empty(value, "weights");
    auto delta = choice.find("delta");
    event.text = delta != choice.end() && delta->is_object()
                     ? internal::string_or_empty(*delta, "content")
                     : internal::string_or_empty(choice, "text");
    event.finish_reason = internal::string_or_empty(choice, "finish_reason");
    event.usage = internal::parse_usage(value);
    return event;
}

result<engine_report> parse_engine_report(std::string_view body) {
    auto value = internal::json::parse(body, nullptr, false);
    if (value.is_discarded() || !value.is_object())
        return tl::unexpected(
            internal::bad_engine_answer_error("a load report must be a JSON object"));
    auto queued = internal::read_count(value, "queued_tokens");
    auto running = internal::read_count(value, "running");
    auto incarnation = internal::string_or_empty(value, "incarnation");
    if (!queued || !running || incarnation.empty())
        return tl::unexpected(internal::bad_engine_answer_error(
            "a load report must have \"incarnation\", \"queued_tokens\" and \"running\""));
    return engine_report{incarnation, internal::string_or_empty(value, "weights"), *queued,
                         *running};
}

result<engine_event_page> parse_engine_events(std::string_view body) {
    auto value = internal::json::parse(body, nullptr, false);
    auto bad_page = [] {
        return tl::unexpected(
            internal::bad_engine_answer_error("cache events must have \"incarnation\" and "
                                              "\"events\" with number, kind and piece"));
    };
    if (value.is_discarded() || !value.is_object() || !value.contains("events") ||
        !value["events"].is_array())
        return bad_page();
    engine_event_page page;
    page.incarnation = internal::string_or_empty(value, "incarnation");
    for (const auto& it : value["events"]) {
        auto number = it.is_object() ? internal::read_count(it, "number") : std::nullopt;
        auto kind = it.is_object() ? internal::string_or_empty(it, "kind") : std::string();
        bool well_formed = number && (kind == "stored" || kind == "removed") &&
                           it.contains("piece") && it["piece"].is_number_unsigned();
        if (!well_formed)
            return bad_page();
        page.events.push_back({static_cast<std::uint64_t>(*number), kind == "stored",
                               it["piece"].get<std::uint64_t>()});
    }
    return page;
}

std::string render_stream_event(const completion_request& request, const std::string& request_id,
                                const engine_event& event) {
    bool chat = request.kind == completion_kind::chat;
    internal::json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (!event.finish_reason.empty())
        choice["finish_reason"] = event.finish_reason;
    if (chat)
        choice["delta"] = {{"role", "assistant"}, {"content", event.text}};
    else
        choice["text"] = event.text;
    internal::json value = {{"id", request_id},
                            {"object", chat ? "chat.completion.chunk" : "text_completion"},
                            {"model", request.model},
                            {"position", event.position},
                            {"choices", internal::json::array({choice})}};
    if (event.usage)
        value["usage"] = internal::usage_to_json(*event.usage);
    return "data: " + internal::dump(value) + "\n\n";
}

std::string render_completion(const completion_request& request, const std::string& request_id,
                              const std::string& text, const std::string& finish_reason,
                              const token_usage& usage) {
    bool chat = request.kind == completion_kind::chat;
    internal::json choice = {{"index", 0}, {"finish_reason", finish_reason}};
    if (chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    internal::json value = {{"id", request_id},
                            {"object", chat ? "chat.completion" : "text_completion"},
                            {"model", request.model},
                            {"choices", internal::json::array({choice})},
                            {"usage", internal::usage_to_json(usage)}};
    return internal::dump(value);
}

} // namespace azureyoke::protocol
