#include "azureyoke/src/app/overload_section.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

namespace azureyoke::app {

using nlohmann::json;

namespace internal {
namespace {

/// Occupancies are sent in thousandths. No sound one is above this.
constexpr double occupancy_unit = 1000;
constexpr double max_occupancy = 10;
/// Figures of an active pool are repeated after this long, though they did not change: peers hold
/// them for valid for 1.5 s. Reports are 0.5 s apart and may come a little early.
constexpr coordination::duration repeat_period = std::chrono::milliseconds(900);
/// A pool is active this long after its figures changed.
constexpr coordination::duration active_period = std::chrono::seconds(10);
/// Bytes of CBOR for a number or the head of a text or list, at most.
constexpr std::size_t max_number_bytes = 9;

/// \returns an upper bound of the bytes that a pool's entry takes.
std::size_t max_size(const std::string& pool, const coordination::admission_figures& it) {
    constexpr std::size_t numbers = 8; // five figures, two lists, and the head of the name
    std::size_t size = pool.size() + numbers * max_number_bytes;
    for (const auto& [workspace, tokens] : it.asked_tokens)
        size += workspace.size() + 2 * max_number_bytes;
    return size;
}

/// \returns whether the counters of a pool's entry are whole numbers that a double can hold, and
/// its list of workspaces is one. A conversion would turn a negative number into a large one.
bool has_valid_numbers(const json& it) {
    constexpr std::size_t counters = 4;
    constexpr std::uint64_t max_counter = std::uint64_t{1} << 53U;
    auto is_counter = [](const json& value) {
        return value.is_number_unsigned() && value.get<std::uint64_t>() <= max_counter;
    };
    if (!it.is_array() || it.size() < counters + 2 || !it[counters + 1].is_object())
        return false;
    return std::all_of(it.begin(), it.begin() + counters, is_counter) &&
           std::all_of(it[counters + 1].begin(), it[counters + 1].end(), is_counter);
}

json to_json(const coordination::admission_figures& it) {
    auto tokens = json::object();
    for (const auto& [workspace, total] : it.asked_tokens)
        tokens[workspace] = std::llround(total);
    return json::array({it.asked, it.ended, it.answers, it.late,
                        std::llround(it.usual_occupancy * occupancy_unit), std::move(tokens)});
}

std::string to_bytes(const json& pools) {
    std::string bytes;
    json::to_cbor(pools, bytes);
    return bytes;
}

} // namespace
} // namespace internal

std::string overload_section::name() const {
    return "overload";
}

bool overload_section::is_due(report_scope scope, const std::string& pool,
                              const std::string& bytes) {
    auto now = now_();
    auto [found, inserted] = told_[scope].try_emplace(pool);
    auto& last = found->second;
    if (inserted || last.bytes != bytes) {
        last = {bytes, now, now};
        return true;
    }
    if (now - last.changed_at > internal::active_period ||
        now - last.sent_at < internal::repeat_period)
        return false;
    last.sent_at = now;
    return true;
}

std::vector<std::string> overload_section::contents(report_scope scope) {
    std::vector<std::string> list;
    auto pools = json::object();
    std::size_t size = internal::max_number_bytes;
    for (auto& [pool, it] : admission_.figures(now_())) {
        if (scope == report_scope::fleet && admission_.admitted_of_all(pool, now_()) >= 1)
            it.asked_tokens.clear();
        auto entry_size = internal::max_size(pool, it);
        if (entry_size + internal::max_number_bytes > max_section_bytes) {
            it.asked_tokens.clear(); // long names: fairness goes by the own requests then
            entry_size = internal::max_size(pool, it);
        }
        if (entry_size + internal::max_number_bytes > max_section_bytes)
            continue; // no sound name of a pool is as long
        auto entry = internal::to_json(it);
        if (!is_due(scope, pool, internal::to_bytes(entry)))
            continue;
        if (size + entry_size > max_section_bytes && !pools.empty()) {
            list.push_back(internal::to_bytes(std::exchange(pools, json::object())));
            size = internal::max_number_bytes;
        }
        pools[pool] = std::move(entry);
        size += entry_size;
    }
    if (!pools.empty())
        list.push_back(internal::to_bytes(pools));
    return list;
}

bool overload_section::on_content(const section_sender& sender, std::string_view content) {
    try {
        // from_cbor throws on impossible sizes even with exceptions disabled.
        auto body = json::from_cbor(content.begin(), content.end(), true, false);
        if (!body.is_object())
            return false;
        std::map<std::string, coordination::admission_figures> figures;
        for (const auto& [pool, it] : body.items()) {
            coordination::admission_figures one;
            if (!internal::has_valid_numbers(it))
                return false;
            one.asked = it.at(0).get<std::uint64_t>();
            one.ended = it.at(1).get<std::uint64_t>();
            one.answers = it.at(2).get<std::uint64_t>();
            one.late = it.at(3).get<std::uint64_t>();
            one.usual_occupancy = it.at(4).get<double>() / internal::occupancy_unit;
            if (!(one.usual_occupancy > 0 && one.usual_occupancy <= internal::max_occupancy))
                return false;
            one.asked_tokens = it.at(5).get<std::map<std::string, double>>();
            figures.emplace(pool, one);
        }
        admission_.on_peer_figures(sender.instance, sender.incarnation, figures, now_());
        return true;
    } catch (const json::exception&) {
        return false; // a field of the wrong type: not this section
    }
}

} // namespace azureyoke::app
