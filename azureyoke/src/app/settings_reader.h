#pragma once

#include <string>
#include <vector>

#include "azureyoke/src/state/json_reader.h"
#include "azureyoke/src/transport/address.h"

namespace azureyoke::app {

/// \brief Reads a required field `IP:PORT`. Records a fault when the field is absent or invalid.
/// Thread safe.
transport::address read_address_field(state::field_reader& reader, const std::string& field);
/// \brief Reads a list of `IP:PORT`, which is empty when the field is absent. Records a fault for
/// each invalid entry. Thread safe.
std::vector<transport::address> read_address_fields(state::field_reader& reader,
                                                    const std::string& field);

} // namespace azureyoke::app
