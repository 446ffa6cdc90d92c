#pragma once

#include <cstdint>

#include "azureyoke/src/coordination/write_result.h"
#include "azureyoke/src/protocol/error.h"

namespace azureyoke::app {

/// \brief Maps the result of a conditional write to the `write_result` of the decision classes.
inline coordination::write_result to_write_result(const protocol::result<std::int64_t>& version) {
    if (version)
        return coordination::write_result::written;
    const auto& ec = version.error();
    if (ec.code == protocol::errc::conflict)
        return coordination::write_result::conflict;
    return ec.effect_unknown ? coordination::write_result::unknown
                             : coordination::write_result::not_written;
}

} // namespace azureyoke::app
