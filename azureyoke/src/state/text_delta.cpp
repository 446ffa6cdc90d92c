#include "azureyoke/src/state/text_delta.h"

#include <unordered_map>

#include <xxhash.h>

namespace azureyoke::state {

namespace internal {
namespace {

/// \returns the bytes from `first` up to the next '}' inclusive, or to the end of the text.
std::string_view chunk_at(std::string_view text, std::size_t first) {
    auto end = text.find('}', first);
    return text.substr(first, end == std::string_view::npos ? end : end - first + 1);
}

void append_range(text_delta& delta, text_range range) {
    if (!delta.pieces.empty()) {
        auto* last = std::get_if<text_range>(&delta.pieces.back());
        if (last != nullptr && last->first + last->size == range.first) {
            last->size += range.size;
            return;
        }
    }
    delta.pieces.emplace_back(range);
}

void append_bytes(text_delta& delta, std::string_view bytes) {
    if (!delta.pieces.empty()) {
        if (auto* last = std::get_if<std::string>(&delta.pieces.back())) {
            last->append(bytes);
            return;
        }
    }
    delta.pieces.emplace_back(std::string(bytes));
}

} // namespace
} // namespace internal

std::uint64_t digest_of(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

text_delta make_delta(std::string_view old_text, std::string_view new_text) {
    text_delta delta;
    delta.old_digest = digest_of(old_text);
    delta.new_digest = digest_of(new_text);
    std::unordered_map<std::string_view, std::size_t> old_chunks;
    for (std::size_t i = 0; i < old_text.size();) {
        auto chunk = internal::chunk_at(old_text, i);
        old_chunks.emplace(chunk, i);
        i += chunk.size();
    }
    std::size_t next_old = 0; // equal chunks are taken in sequence, so that ranges grow long
    for (std::size_t i = 0; i < new_text.size();) {
        auto chunk = internal::chunk_at(new_text, i);
        i += chunk.size();
        auto found = old_chunks.end();
        if (old_text.substr(next_old, chunk.size()) != chunk) {
            found = old_chunks.find(chunk);
            if (found == old_chunks.end()) {
                internal::append_bytes(delta, chunk);
                continue;
            }
            next_old = found->second;
        }
        internal::append_range(delta, {next_old, chunk.size()});
        next_old += chunk.size();
    }
    return delta;
}

std::optional<std::string> apply_delta(std::string_view old_text, const text_delta& delta,
                                       std::size_t max_bytes) {
    if (digest_of(old_text) != delta.old_digest)
        return std::nullopt;
    std::string text;
    for (const auto& piece : delta.pieces) {
        std::string_view bytes;
        if (const auto* range = std::get_if<text_range>(&piece)) {
            if (range->first > old_text.size() || range->size > old_text.size() - range->first)
                return std::nullopt;
            bytes = old_text.substr(range->first, range->size);
        } else {
            bytes = std::get<std::string>(piece);
        }
        if (bytes.size() > max_bytes - text.size())
            return std::nullopt;
        text.append(bytes);
    }
    if (digest_of(text) != delta.new_digest)
        return std::nullopt;
    return text;
}

} // namespace azureyoke::state
