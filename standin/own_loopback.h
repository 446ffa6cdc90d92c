#pragma once

#include <string>

#include <unistd.h>

namespace azureyoke::standin {

/// \brief Returns one of 254 loopback addresses that no other live process of a stand-in uses, so
/// that a port which is free for a while is not taken by another world, nor by outgoing
/// connections, which come from 127.0.0.1. \pre 1 <= `number` <= 254
inline std::string own_loopback_ip(int number) {
    constexpr int networks = 253; // 127.0.x.x is left to others
    constexpr int hosts = 256;
    auto process = getpid();
    return "127." + std::to_string(1 + process / hosts % networks) + "." +
           std::to_string(process % hosts) + "." + std::to_string(number);
}

} // namespace azureyoke::standin
