#pragma once

#include <string>
#include <vector>

#include "azureyoke/src/state/json_reader.h"
#include "azureyoke/src/transport/address.h"

namespace azureyoke::app {

/// \brief Reads a required field `IP:PORT`; records a fault when it is none. Thread safe.
transport::address read_address_field(state::field_reader& reader, const std::string& field);
/// \brief Reads a list of `IP:PORT`; empty when the field is absent. Thread safe.
std::vector<transport::address> read_address_fields(state::field_reader& reader,
                                                    const std::string& field);

} // namespace azureyoke::app
