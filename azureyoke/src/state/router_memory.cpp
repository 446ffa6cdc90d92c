#include "azureyoke/src/state/router_memory.h"

#include <nlohmann/json.hpp>

namespace azureyoke::state {

using nlohmann::json;

namespace internal {
namespace {

replica_snapshot read_replica(const json& value) {
    replica_snapshot replica;
    replica.name = value.at("name").get<std::string>();
    replica.incarnation = value.at("incarnation").get<std::string>();
    replica.weights = value.at("weights").get<std::string>();
    replica.speed = value.at("speed").get<double>();
    replica.eviction_seconds = value.at("eviction_seconds").get<double>();
    for (const auto& it : value.at("pieces"))
        replica.pieces.push_back({it.at(0).get<piece_hash>(), it.at(1).get<std::int64_t>()});
    return replica;
}

} // namespace
} // namespace internal

std::string to_text(const router_memory& memory) {
    auto list = json::array();
    for (const auto& it : memory.replicas) {
        auto pieces = json::array();
        for (const auto& piece : it.pieces)
            pieces.push_back({piece.piece, piece.age_ms});
        list.push_back({{"name", it.name},
                        {"incarnation", it.incarnation},
                        {"weights", it.weights},
                        {"speed", it.speed},
                        {"eviction_seconds", it.eviction_seconds},
                        {"pieces", pieces}});
    }
    return json{{"stored_ms", memory.stored_ms}, {"replicas", list}}.dump();
}

std::optional<router_memory> parse_router_memory(std::string_view text) {
    auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        router_memory memory;
        memory.stored_ms = value.at("stored_ms").get<std::int64_t>();
        for (const auto& it : value.at("replicas"))
            memory.replicas.push_back(internal::read_replica(it));
        return memory;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace azureyoke::state
