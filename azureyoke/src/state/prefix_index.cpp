#include "azureyoke/src/state/prefix_index.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <stdexcept>

namespace azureyoke::state {

prefix_index::prefix_index(std::size_t entries) {
    if (entries == 0)
        throw std::invalid_argument("prefix_index: entries must be greater than 0");
    buckets_.resize(std::bit_ceil((entries + ways - 1) / ways));
}

bool prefix_index::is_live(const entry& it) const {
    if (it.generation == 0 || it.replica >= replicas_.size())
        return false;
    const auto& record = replicas_[it.replica];
    return it.generation == record.generation && it.stamp >= record.horizon;
}

prefix_index::bucket& prefix_index::bucket_of(piece_hash piece) {
    return buckets_[piece & (buckets_.size() - 1)];
}

const prefix_index::bucket& prefix_index::bucket_of(piece_hash piece) const {
    return buckets_[piece & (buckets_.size() - 1)];
}

prefix_index::replica_record& prefix_index::record_of(replica_number replica) {
    if (replica >= replicas_.size())
        replicas_.resize(replica + 1U);
    return replicas_[replica];
}

void prefix_index::insert(piece_hash piece, replica_number replica, index_tick now) {
    auto generation = record_of(replica).generation;
    auto& bucket_entries = bucket_of(piece);
    entry* victim = nullptr;
    for (auto& it : bucket_entries) {
        if (it.piece == piece && it.replica == replica && it.generation != 0) {
            victim = &it;
            break;
        }
        // Replaces an entry that is not live if there is one, else the oldest entry.
        if (victim == nullptr || (is_live(*victim) && (!is_live(it) || it.stamp < victim->stamp)))
            victim = &it;
    }
    *victim = {piece, now, replica, generation};
}

void prefix_index::erase(piece_hash piece, replica_number replica) {
    for (auto& it : bucket_of(piece)) {
        if (it.piece == piece && it.replica == replica)
            it.generation = 0;
    }
}

void prefix_index::begin_generation(replica_number replica) {
    auto& record = record_of(replica);
    ++record.generation;
    if (record.generation != 0)
        return;
    // The counter wrapped: entries left from earlier generations would become live again.
    record.generation = 1;
    for (auto& bucket_entries : buckets_) {
        for (auto& it : bucket_entries) {
            if (it.replica == replica)
                it.generation = 0;
        }
    }
}

void prefix_index::set_horizon(replica_number replica, index_tick tick) {
    record_of(replica).horizon = tick;
}

std::vector<prefix_match> prefix_index::match(std::span<const piece_hash> prefix_hashes) const {
    std::vector<prefix_match> found;
    for (std::uint32_t k = 0; k < prefix_hashes.size(); ++k) {
        bool extended = false;
        for (const auto& it : bucket_of(prefix_hashes[k])) {
            if (it.piece != prefix_hashes[k] || !is_live(it))
                continue;
            if (k == 0) {
                found.push_back({it.replica, 1});
                extended = true;
                continue;
            }
            auto existing = std::find_if(found.begin(), found.end(), [&](const auto& m) {
                return m.replica == it.replica && m.pieces == k;
            });
            if (existing != found.end()) {
                existing->pieces = k + 1;
                extended = true;
            }
        }
        if (!extended)
            break;
    }
    return found;
}

std::optional<index_tick> prefix_index::find_stamp(piece_hash piece, replica_number replica) const {
    for (const auto& it : bucket_of(piece)) {
        if (it.piece == piece && it.replica == replica && is_live(it))
            return it.stamp;
    }
    return std::nullopt;
}

index_tick prefix_index::oldest_stamp(std::span<const piece_hash> prefix_hashes,
                                      std::uint32_t pieces, replica_number replica) const {
    auto oldest = std::numeric_limits<index_tick>::max();
    for (auto piece : prefix_hashes.first(pieces))
        oldest = std::min(oldest, find_stamp(piece, replica).value_or(oldest));
    return oldest;
}

std::uint32_t prefix_index::match_length(std::span<const piece_hash> prefix_hashes,
                                         replica_number replica) const {
    std::uint32_t pieces = 0;
    for (auto piece : prefix_hashes) {
        const auto& bucket_entries = bucket_of(piece);
        bool held = std::any_of(bucket_entries.begin(), bucket_entries.end(), [&](const auto& it) {
            return it.piece == piece && it.replica == replica && is_live(it);
        });
        if (!held)
            break;
        ++pieces;
    }
    return pieces;
}

} // namespace azureyoke::state
