#pragma once

#include <cstddef>

namespace azureyoke::transport {

/// \brief Raises this process's limit of open descriptors as far as the system allows. Many systems
/// start processes with a lower limit for the sake of old programs.
/// \returns the limit in force. Thread safe.
std::size_t raise_descriptor_limit();

} // namespace azureyoke::transport
