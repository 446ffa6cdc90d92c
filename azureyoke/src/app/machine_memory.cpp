#include "azureyoke/src/app/machine_memory.h"

#include <algorithm>
#include <fstream>
#include <string>

#include <malloc.h>
#include <unistd.h>

namespace azureyoke::app {

namespace internal {
namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
/// The rest is for the program (12 MB), its state, one copy of a buffer that
/// grows, what the kernel holds for the connections, and the allocator's waste.
constexpr std::size_t held_bytes_divisor = 4;
constexpr std::size_t min_held_bytes = 4 * bytes_per_mb;
/// Blocks of this size or more are returned at once. Usual requests have
/// smaller ones.
constexpr int returned_block_bytes = 128 * 1024;

std::size_t system_memory() {
    auto pages = sysconf(_SC_PHYS_PAGES);
    auto page_bytes = sysconf(_SC_PAGESIZE);
    if (pages <= 0 || page_bytes <= 0)
        return 1024 * bytes_per_mb;
    return static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes);
}

/// \returns the limit of one control group, or `other` if it has none.
std::size_t group_limit(const std::string& directory, std::size_t other) {
    std::ifstream file(directory + "/memory.max");
    std::size_t limit = 0; // the word "max" is no number
    return file >> limit && limit > 0 ? std::min(limit, other) : other;
}

/// \returns the smallest limit of the process's control group and those that
/// contain it.
std::size_t control_group_memory(std::size_t other) {
    std::ifstream file("/proc/self/cgroup");
    for (std::string line; std::getline(file, line);) {
        constexpr const char* unified = "0::";
        if (!line.starts_with(unified))
            continue;
        auto path = line.substr(3);
        while (!path.empty()) {
            other = group_limit("/sys/fs/cgroup" + path, other);
            path.resize(path.find_last_of('/') == std::string::npos ? 0 : path.find_last_of('/'));
        }
    }
    return group_limit("/sys/fs/cgroup", other);
}

} // namespace
} // namespace internal

std::size_t machine_memory(std::int64_t setting_mb) {
    if (setting_mb > 0)
        return static_cast<std::size_t>(setting_mb) * internal::bytes_per_mb;
    return internal::control_group_memory(internal::system_memory());
}

std::size_t held_bytes_limit(std::size_t memory) {
    return std::max(internal::min_held_bytes, memory / internal::held_bytes_divisor);
}

void return_large_blocks() {
    (void)mallopt(M_MMAP_THRESHOLD, internal::returned_block_bytes);
    (void)mallopt(M_TRIM_THRESHOLD, internal::returned_block_bytes);
}

} // namespace azureyoke::app
