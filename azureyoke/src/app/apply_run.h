#pragma once

#include <functional>
#include <string>
#include <vector>

#include "azureyoke/src/app/exit_code.h"
#include "azureyoke/src/protocol/table_service.h"
#include "azureyoke/src/state/configuration.h"
#include "azureyoke/src/state/document_copy.h"

namespace azureyoke::app {

/// \brief One run of the `apply` command: checks for conflicts, writes the row if its version is
/// unchanged, and reads the row again when the answer was lost. Must live until `done` is called.
/// Not thread safe.
class apply_run {
public:
    using done_handler = std::function<void(exit_code, const std::string& message)>;

    apply_run(protocol::table_service& table, state::document_copy copy, state::document doc,
              done_handler done);

    void start();

private:
    void on_rows(const std::vector<protocol::table_row>& rows);
    void write();
    void check_write_took_effect();
    void report_success();

    protocol::table_service& table_;
    state::document_copy copy_;
    state::document doc_;
    done_handler done_;
    std::string write_id_; ///< Distinguishes this write from all others.
    std::int64_t row_version_ = 0;
    std::int64_t document_version_ = 0;
};

} // namespace azureyoke::app
