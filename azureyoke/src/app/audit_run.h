#pragma once

#include <functional>
#include <string>
#include <vector>

#include "azureyoke/src/app/exit_code.h"
#include "azureyoke/src/protocol/table_service.h"
#include "azureyoke/src/state/audit_entry.h"

namespace azureyoke::app {

/// \brief Selects entries of the audit trail. An empty field matches every entry.
struct audit_filter {
    std::int64_t since_ms = 0;
    std::int64_t until_ms = 0; ///< Exclusive; 0 for no end.
    std::string document;
    std::string workspace;

    friend bool operator==(const audit_filter&, const audit_filter&) = default;
};

bool matches(const audit_filter& filter, const state::audit_entry& entry);

/// \brief Reads the objects of the audit trail one after the other and prints the matching entries.
/// Must live until `done` is called. Not thread safe.
class audit_run {
public:
    using done_handler = std::function<void(exit_code, const std::string& message)>;

    audit_run(protocol::object_service& objects, audit_filter filter, done_handler done);

    void start();

private:
    void read_next();
    void read_lines(const std::string& body);
    void print();

    protocol::object_service& objects_;
    audit_filter filter_;
    done_handler done_;
    std::vector<std::string> object_names_;
    std::size_t next_object_ = 0; ///< Index into `object_names_`.
    std::vector<state::audit_entry> entries_;
};

} // namespace azureyoke::app
