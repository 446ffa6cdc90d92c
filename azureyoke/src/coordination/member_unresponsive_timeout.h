#pragma once

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// A member without a report for this long is unresponsive: it may be behind a network partition
/// and still spend. Members report at least twice a second: three reports in a row were lost.
constexpr duration member_unresponsive_timeout = std::chrono::milliseconds(1500);

} // namespace azureyoke::coordination
