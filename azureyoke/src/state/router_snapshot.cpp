#include "azureyoke/src/state/router_snapshot.h"

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

std::string to_text(const router_snapshot& snapshot) {
    auto list = json::array();
    for (const auto& it : snapshot.replicas) {
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
    return json{{"stored_ms", snapshot.stored_ms}, {"replicas", list}}.dump();
}

std::optional<router_snapshot> parse_router_snapshot(std::string_view text) {
    auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        router_snapshot snapshot;
        snapshot.stored_ms = value.at("stored_ms").get<std::int64_t>();
        for (const auto& it : value.at("replicas"))
            snapshot.replicas.push_back(internal::read_replica(it));
        return snapshot;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace azureyoke::state
