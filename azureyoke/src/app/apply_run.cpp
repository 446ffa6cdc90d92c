#include "azureyoke/src/app/apply_run.h"

#include <random>

#include "azureyoke/src/app/configuration_service.h"
#include "azureyoke/src/app/wall_clock.h"

namespace azureyoke::app {

apply_run::apply_run(protocol::table_service& table, state::document_copy copy, state::document doc,
                     done_handler done)
    : table_(table), copy_(std::move(copy)), doc_(std::move(doc)), done_(std::move(done)) {
    std::random_device seed;
    write_id_ = std::to_string((std::uint64_t(seed()) << 32U) | seed());
}

void apply_run::start() {
    table_.list(document_rows, [this](auto rows) {
        if (!rows)
            done_(exit_code::unavailable, "the platform did not answer: " + rows.error().what);
        else
            on_rows(*rows);
    });
}

void apply_run::on_rows(const std::vector<protocol::table_row>& rows) {
    state::configuration::document_list others;
    for (const auto& it : rows) {
        auto copy = parse_row_text(it.value);
        if (!copy)
            continue;
        if (copy->stamp.name == copy_.stamp.name) {
            row_version_ = it.version;
            document_version_ = copy->stamp.version;
            continue;
        }
        auto parsed = state::parse_document(copy->text);
        if (parsed)
            others.push_back(std::make_shared<const state::document>(std::move(*parsed)));
    }
    auto conflict = state::find_conflict(doc_, others);
    if (!conflict.empty())
        done_(exit_code::bad_input, conflict);
    else if (copy_.stamp.version <= document_version_)
        done_(exit_code::failed, "version " + std::to_string(document_version_) +
                                     " is in force; the new version must be higher");
    else
        write();
}

void apply_run::write() {
    copy_.accepted_ms = wall_clock_ms();
    table_.write(document_rows + copy_.stamp.name, row_version_, to_row_text(copy_, write_id_),
                 [this](auto version) {
                     if (version)
                         report_success();
                     else if (version.error().code == protocol::errc::conflict ||
                              version.error().effect_unknown)
                         check_write_took_effect();
                     else
                         done_(exit_code::unavailable,
                               "nothing was written: " + version.error().what);
                 });
}

// After a lost answer or a conflict, the write id in the row shows whether this write took effect.
void apply_run::check_write_took_effect() {
    table_.read(document_rows + copy_.stamp.name, [this](auto row) {
        if (!row)
            done_(exit_code::unavailable,
                  "it is not known whether the document was written: " + row.error().what);
        else if (write_id_of(row->value) == write_id_)
            report_success();
        else
            done_(exit_code::failed, "another write came first; read the document again");
    });
}

void apply_run::report_success() {
    done_(exit_code::ok, "document \"" + copy_.stamp.name + "\" version " +
                             std::to_string(copy_.stamp.version) + " is accepted");
}

} // namespace azureyoke::app
