#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/forward_ports.h"
#include "azureyoke/src/app/forward_settings.h"
#include "azureyoke/src/app/log_rate_limiter.h"
#include "azureyoke/src/app/peer_report.h"
#include "azureyoke/src/app/peer_section.h"
#include "azureyoke/src/coordination/policy_catch_up.h"
#include "azureyoke/src/transport/datagram_socket.h"

namespace azureyoke::app {

/// \brief Tracks the other instances and exchanges reports with them in datagrams.
///
/// Instances find each other by records in the store, by seeds, and by received reports. The next
/// report makes up for a lost one. Not thread safe.
///
/// State that changes with every request is sent to the own data centre whenever it changes. The
/// other data centres receive it twice a second; state that limits and policies depend on is sent
/// to them at once.
class peer_directory {
public:
    using report_scope = app::report_scope;

    using report_source = std::function<peer_report(report_scope)>;
    using report_handler = std::function<void(const peer_report&)>;
    /// \returns whether the datagram was valid.
    using message_handler = std::function<bool(std::string_view)>;

    struct members {
        int all = 1;          ///< Instances that share limits, this one included.
        int unresponsive = 0; ///< Those of `all` that sent no report within the timeout.

        friend bool operator==(const members&, const members&) = default;
    };

    peer_directory(transport::event_loop& loop, const forward_settings& settings,
                   record_store& records, const event_log& log, report_source source,
                   report_handler on_report, message_handler on_message);

    /// \brief Adds a section to the reports. \pre The section outlives this object.
    void add_section(peer_section& section) { sections_.push_back(&section); }

    /// \returns whether a section has news for the own data centre.
    bool sections_have_news() const;

    transport::result<transport::address> start();
    /// \brief Adds operator addresses of instances that may not have sent a report yet.
    void add_seeds(const std::vector<transport::address>& seeds);
    /// \brief Sends a report to the own data centre or to the whole fleet.
    void send_now(report_scope scope = report_scope::fleet);
    /// \brief The store was restored from an older copy: writes the record of this instance again.
    void on_registry_era();
    /// \brief Erases the record of this instance; peers stop counting it.
    void leave();

    /// \brief Sends a datagram that is no report. \pre `bytes.size() <= max_datagram_bytes`
    void send(const transport::address& to, std::string_view bytes) const {
        socket_.send(to, bytes);
    }

    /// \returns the address for reports of an instance; nothing when it is not known.
    std::optional<transport::address> address_of(const std::string& instance) const;
    /// \returns the data centre of this instance or a peer; empty when it is not known.
    std::string data_centre_of(const std::string& instance) const;

    members count(transport::instant now) const;
    /// \returns the sorted names of the responsive instances that are not leaving, this one
    /// included.
    std::vector<std::string> live(transport::instant now) const;
    /// \returns those of `live` that reach the registry; always includes this instance.
    std::vector<std::string> reaching_registry(transport::instant now) const;
    /// \returns the index of this instance in `reaching_registry`.
    std::ptrdiff_t rank(transport::instant now) const;
    /// \returns the responsive peer that last reported to hold the weights lease.
    std::optional<std::string> lease_holder(transport::instant now) const;
    /// \returns the newest version of the policy that a responsive peer has; 0 without one.
    std::int64_t newest_policy(transport::instant now) const;
    /// \returns the responsive peers with the versions of their policies.
    std::vector<coordination::policy_source> policy_sources(transport::instant now) const;
    /// \returns the operator address of a peer; nothing when it is not known.
    std::optional<transport::address> operators_of(const std::string& instance) const;

private:
    struct peer {
        transport::address address;
        peer_report last_report;
        transport::instant received_at;
        transport::instant listed_at; ///< When the record was read, if before any report.
        bool is_unresponsive = false;
    };

    void on_datagram(std::string_view bytes);
    std::vector<report_section> sections(report_scope scope) const;
    void pass_on_sections(const peer_report& report);
    void read_records();
    void write_record();
    void tick();
    bool in_own_data_centre(const peer& it) const;

    transport::event_loop& loop_;
    const forward_settings& settings_;
    record_store& records_;
    const event_log& log_;
    report_source source_;
    report_handler on_report_;
    message_handler on_message_; ///< Gets the datagrams that are no reports.
    log_rate_limiter log_limiter_;
    std::vector<peer_section*> sections_;
    transport::datagram_socket socket_;
    std::map<std::string, peer> peers_;
    std::set<transport::address> seeds_; ///< Peers that have sent no report yet.
    /// Placed prompts that were reported only to the own data centre.
    std::vector<coordination::placed_prompt> unreported_placements_;
    std::unique_ptr<transport::timer> tick_timer_;
    std::unique_ptr<transport::timer> retry_timer_;
    transport::instant started_;
    transport::instant next_send_;
    transport::instant next_list_;
    bool recorded_ = false;
    bool leaving_ = false;
};

} // namespace azureyoke::app
