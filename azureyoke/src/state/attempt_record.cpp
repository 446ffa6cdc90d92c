#include "azureyoke/src/state/attempt_record.h"

#include <nlohmann/json.hpp>

#include "azureyoke/src/state/key_digest.h"
#include "azureyoke/src/state/to_json_text.h"

namespace azureyoke::state {

namespace internal {
namespace {

const char* phase_name(attempt_phase phase) {
    switch (phase) {
    case attempt_phase::started:
        return "started";
    case attempt_phase::released:
        return "released";
    case attempt_phase::finished:
        return "finished";
    }
    return "";
}

std::optional<attempt_phase> parse_phase(const std::string& name) {
    for (auto it : {attempt_phase::started, attempt_phase::released, attempt_phase::finished}) {
        if (name == phase_name(it))
            return it;
    }
    return std::nullopt;
}

} // namespace
} // namespace internal

std::string to_text(const attempt_record& record) {
    nlohmann::json value = {{"attempt", record.attempt},
                            {"request", record.request_digest},
                            {"phase", internal::phase_name(record.phase)}};
    if (record.phase == attempt_phase::finished)
        value["answer"] = {{"status", record.answer.status},
                           {"content_type", record.answer.content_type},
                           {"body", record.answer.body}};
    return to_json_text(value);
}

std::optional<attempt_record> parse_attempt_record(std::string_view text) {
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded() || !value.is_object())
        return std::nullopt;
    try {
        attempt_record record;
        record.attempt = value.at("attempt").get<std::string>();
        record.request_digest = value.at("request").get<std::string>();
        auto phase = internal::parse_phase(value.at("phase").get<std::string>());
        if (!phase)
            return std::nullopt;
        record.phase = *phase;
        if (record.phase == attempt_phase::finished) {
            const auto& answer = value.at("answer");
            record.answer = {answer.at("status").get<int>(),
                             answer.at("content_type").get<std::string>(),
                             answer.at("body").get<std::string>()};
        }
        return record;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string attempt_row(std::string_view workspace, std::string_view route, std::string_view key) {
    nlohmann::json parts = {workspace, route, key};
    return "attempt/" +
           content_digest(parts.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
}

} // namespace azureyoke::state
