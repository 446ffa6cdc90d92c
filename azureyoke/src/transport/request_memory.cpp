#include "azureyoke/src/transport/request_memory.h"

#include <algorithm>

namespace azureyoke::transport {

namespace internal {
namespace {

/// \returns the product of bytes and time held, in byte seconds. One second is
/// added, so that requests of the same moment are ranked by their bytes.
double weight_of(const incomplete_request& request, instant now) {
    auto age = std::chrono::duration<double>(now - request.began()).count();
    return static_cast<double>(request.held_bytes()) * (age + 1);
}

} // namespace
} // namespace internal

void request_memory::add(incomplete_request& request) {
    if (std::find(requests_.begin(), requests_.end(), &request) == requests_.end())
        requests_.push_back(&request);
}

void request_memory::remove(const incomplete_request& request) {
    std::erase(requests_, &request);
}

bool request_memory::make_room(const incomplete_request& wanting, instant now) {
    if (!budget_.exceeded())
        return true;
    auto heaviest_first = requests_;
    std::stable_sort(heaviest_first.begin(), heaviest_first.end(),
                     [&](const auto* a, const auto* b) {
                         return internal::weight_of(*a, now) > internal::weight_of(*b, now);
                     });
    heaviest_first.erase(std::find(heaviest_first.begin(), heaviest_first.end(), &wanting),
                         heaviest_first.end());
    std::size_t room = 0;
    for (const auto* it : heaviest_first)
        room += it->held_bytes();
    if (room < budget_.used() - budget_.limit())
        return false;
    for (auto* it : heaviest_first) {
        if (!budget_.exceeded())
            break;
        // The end of one request may have ended another.
        if (std::erase(requests_, it) > 0)
            it->end_for_memory();
    }
    return !budget_.exceeded();
}

} // namespace azureyoke::transport
