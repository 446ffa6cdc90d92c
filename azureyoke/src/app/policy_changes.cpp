#include "azureyoke/src/app/policy_changes.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "azureyoke/src/state/json_nesting.h"

namespace azureyoke::app {

using nlohmann::json;

namespace internal {
namespace {

constexpr const char* changes_tag = "policy changes";
constexpr std::size_t max_entries = 4;
/// Changes up to this size are always sent instead of the whole text; larger ones while they are at
/// most half as large.
constexpr std::size_t small_changes_bytes = 64 * 1024;

json encode(const std::variant<state::text_range, std::string>& piece) {
    if (const auto* range = std::get_if<state::text_range>(&piece))
        return json::array({range->first, range->size});
    return std::get<std::string>(piece);
}

std::variant<state::text_range, std::string> decode(const json& piece) {
    if (piece.is_string())
        return piece.get<std::string>();
    return state::text_range{piece.at(0).get<std::size_t>(), piece.at(1).get<std::size_t>()};
}

} // namespace
} // namespace internal

std::string to_bytes(const policy_changes& changes) {
    auto pieces = json::array();
    for (const auto& it : changes.delta.pieces)
        pieces.push_back(internal::encode(it));
    std::string bytes;
    json::to_cbor(json::array({internal::changes_tag, changes.from, changes.to,
                               changes.position.era, changes.position.number,
                               changes.delta.old_digest, changes.delta.new_digest, pieces}),
                  bytes);
    return bytes;
}

std::optional<policy_changes> parse_policy_changes(std::string_view bytes) {
    if (!state::count_json_fields(bytes, state::json_encoding::cbor))
        return std::nullopt;
    try {
        auto body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (!body.is_array() || body.at(0) != internal::changes_tag)
            return std::nullopt;
        policy_changes changes;
        changes.from = body.at(1).get<std::int64_t>();
        changes.to = body.at(2).get<std::int64_t>();
        changes.position = {body.at(3).get<std::int64_t>(), body.at(4).get<std::int64_t>()};
        changes.delta.old_digest = body.at(5).get<std::uint64_t>();
        changes.delta.new_digest = body.at(6).get<std::uint64_t>();
        for (const auto& it : body.at(7))
            changes.delta.pieces.push_back(internal::decode(it));
        return changes;
    } catch (const json::exception&) {
        return std::nullopt; // a field is missing or of the wrong type
    }
}

void policy_history::add(std::int64_t version, const state::record_version& position,
                         std::string text) {
    entries_.push_back({version, position, std::move(text)});
    if (entries_.size() > internal::max_entries)
        entries_.pop_front();
    changes_.clear();
}

const std::string* policy_history::newest() const {
    return entries_.empty() ? nullptr : &entries_.back().text;
}

const std::string* policy_history::changes_since(std::int64_t version) {
    auto from = std::find_if(entries_.begin(), entries_.end(),
                             [&](const auto& it) { return it.version == version; });
    if (from == entries_.end())
        return nullptr;
    auto [found, inserted] = changes_.try_emplace(version);
    if (inserted) {
        const auto& to = entries_.back();
        auto bytes = to_bytes(policy_changes{version, to.version, to.position,
                                             state::make_delta(from->text, to.text)});
        if (bytes.size() <= std::max(internal::small_changes_bytes, to.text.size() / 2))
            found->second = std::move(bytes);
    }
    return found->second.empty() ? nullptr : &found->second;
}

} // namespace azureyoke::app
