#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "azureyoke/src/app/peer_section.h"
#include "azureyoke/src/coordination/admission_control.h"

namespace azureyoke::app {

/// \brief The section of peer reports by which instances share the figures of overload control.
///
/// Load: a report to the fleet goes to each instance of the other data centres, twice a second. A
/// pool whose figures did not change is left out, and reports to the fleet tell the tokens by
/// workspace only while the pool refuses requests, since shares are 1 otherwise. Not thread safe.
class overload_section : public peer_section {
public:
    /// Both references must outlive the section. `now` returns the present time.
    overload_section(coordination::admission_control& admission,
                     std::function<coordination::instant()> now)
        : admission_(admission), now_(std::move(now)) {}

    std::string name() const override;
    std::vector<std::string> contents(report_scope scope) override;
    bool on_content(const section_sender& sender, std::string_view content) override;

private:
    /// What a scope was told last of a pool.
    struct told_entry {
        std::string bytes;
        coordination::instant changed_at;
        coordination::instant sent_at;
    };

    /// \returns whether this entry of the pool is news for the scope, or due again.
    bool is_due(report_scope scope, const std::string& pool, const std::string& bytes);

    coordination::admission_control& admission_;
    std::function<coordination::instant()> now_;
    std::map<report_scope, std::map<std::string, told_entry>> told_; ///< By scope and pool.
};

} // namespace azureyoke::app
