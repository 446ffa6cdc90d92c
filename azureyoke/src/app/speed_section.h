#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/peer_section.h"
#include "azureyoke/src/app/speed_message.h"

namespace azureyoke::app {

/// \brief Exchanges the first answers and told slowdowns of servers with the instances of the own
/// data centre, as the section `speed` of the reports.
///
/// All senders together send at most `max_received_bytes` a second to one instance; each takes its
/// share by the number of senders that it has heard lately. Slowdowns go first, then the newest
/// answers; what does not fit is dropped, since the next ones tell the same. Other data centres get
/// nothing: a slowdown is nearly over when a report arrives that is sent twice a second. Not thread
/// safe.
class speed_section : public peer_section {
public:
    /// Bytes a second that an instance receives from all others.
    static constexpr double max_received_bytes = 4000;

    using clock = std::function<transport::instant()>;

    /// \pre `state` and `log` outlive this object.
    speed_section(clock now, forward_state& state, std::string data_centre, const event_log& log)
        : now_(std::move(now)), state_(state), data_centre_(std::move(data_centre)), log_(log) {}

    std::string name() const override { return "speed"; }

    std::vector<std::string> contents(report_scope scope) override;
    bool on_content(const section_sender& sender, std::string_view content) override;

private:
    /// \returns the bytes that may be sent now.
    std::size_t allowance();
    void log_trust_changes();
    /// \returns what is to be told, the most important first in each list.
    speed_message collect();

    clock now_;
    forward_state& state_;
    std::string data_centre_;
    const event_log& log_;
    std::map<std::string, transport::instant> senders_; ///< When each was last heard.
    double allowed_bytes_ = 0;
    transport::instant allowed_at_;
};

} // namespace azureyoke::app
