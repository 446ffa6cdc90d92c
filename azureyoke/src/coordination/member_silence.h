#pragma once

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// A member that was not heard for this long may be cut off, and may spend. Reports come twice a
/// second at least, so that three in a row were lost.
constexpr duration member_silence = std::chrono::milliseconds(1500);

} // namespace azureyoke::coordination
