#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace azureyoke::transport {

/// \brief Calls that one connection answered without success, by their ids. Not thread safe.
///
/// Of ids with the same hash one is taken for the other, which costs a new connection at most.
class failed_calls {
public:
    /// Bounds the memory that a connection takes for this to 512 bytes.
    static constexpr std::size_t capacity = 64;

    /// \pre `!full()`
    void insert(std::string_view id) {
        if (!contains(id))
            hashes_.push_back(std::hash<std::string_view>()(id));
    }

    bool contains(std::string_view id) const {
        auto hash = std::hash<std::string_view>()(id);
        return std::find(hashes_.begin(), hashes_.end(), hash) != hashes_.end();
    }

    /// \returns whether a further id could not be remembered.
    bool full() const { return hashes_.size() >= capacity; }

private:
    std::vector<std::size_t> hashes_;
};

} // namespace azureyoke::transport
