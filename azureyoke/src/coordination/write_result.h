#pragma once

namespace azureyoke::coordination {

/// \brief Result of a conditional write to the table.
enum class write_result {
    written,
    conflict,    ///< Nothing was written: the row has another version.
    not_written, ///< Nothing was written: the table refused the write.
    unknown      ///< No answer arrived: the write may have been applied.
};

} // namespace azureyoke::coordination
