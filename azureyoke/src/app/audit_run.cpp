#include "azureyoke/src/app/audit_run.h"

#include <algorithm>
#include <iostream>
#include <sstream>

#include "azureyoke/src/app/audit_service.h"

namespace azureyoke::app {

bool matches(const audit_filter& filter, const state::audit_entry& entry) {
    return entry.time_ms >= filter.since_ms &&
           (filter.until_ms == 0 || entry.time_ms < filter.until_ms) &&
           (filter.document.empty() || entry.document == filter.document) &&
           (filter.workspace.empty() || entry.workspace == filter.workspace);
}

audit_run::audit_run(protocol::object_service& objects, audit_filter filter, done_handler done)
    : objects_(objects), filter_(std::move(filter)), done_(std::move(done)) {}

void audit_run::start() {
    objects_.names(audit_objects, [this](auto names) {
        if (!names) {
            done_(exit_code::unavailable, names.error().what);
            return;
        }
        object_names_ = std::move(*names);
        read_next();
    });
}

void audit_run::read_next() {
    if (next_object_ == object_names_.size()) {
        print();
        return;
    }
    objects_.get(object_names_[next_object_++], [this](auto body) {
        if (!body) {
            done_(exit_code::unavailable, body.error().what);
            return;
        }
        read_lines(*body);
        read_next();
    });
}

void audit_run::read_lines(const std::string& body) {
    std::istringstream lines(body);
    std::string line;
    while (std::getline(lines, line)) {
        auto entry = state::parse_audit_line(line);
        if (entry && matches(filter_, *entry))
            entries_.push_back(std::move(*entry));
    }
}

void audit_run::print() {
    std::stable_sort(entries_.begin(), entries_.end(),
                     [](const auto& a, const auto& b) { return a.time_ms < b.time_ms; });
    for (const auto& it : entries_)
        std::cout << state::to_line(it);
    done_(exit_code::ok, std::to_string(entries_.size()) + " entries");
}

} // namespace azureyoke::app
