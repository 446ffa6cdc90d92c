#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/forward_ports.h"
#include "azureyoke/src/app/forward_settings.h"
#include "azureyoke/src/app/peer_report.h"
#include "azureyoke/src/transport/datagram_socket.h"

namespace azureyoke::app {

/// \brief Knows the other instances and exchanges reports with them by datagrams.
///
/// Instances find each other by records in the store, by seeds, and by hearing each other. A lost
/// report is made good by the next one. Not thread safe.
///
/// What changes with every request goes to the own data centre as often as there is news; the
/// others get all of it twice a second, and at once what limits and policies depend on.
class peer_board {
public:
    enum class reach { data_centre, fleet };

    using report_source = std::function<peer_report(reach)>;
    using report_handler = std::function<void(const peer_report&)>;

    struct members {
        int all = 1;    ///< That share limits, this one included.
        int silent = 0; ///< Of them.

        friend bool operator==(const members&, const members&) = default;
    };

    peer_board(transport::event_loop& loop, const forward_settings& settings, record_store& records,
               const event_log& log, report_source source, report_handler on_report);

    transport::result<transport::address> start();
    /// \brief Operator addresses of instances that may not have been heard yet.
    void add_seeds(const std::vector<transport::address>& seeds);
    /// \brief Sends a report now.
    void send_now(reach to = reach::fleet);
    /// \brief The store came back from an older copy: this instance enters itself there again.
    void on_registry_era();
    /// \brief Takes this instance off the list; peers stop counting it.
    void leave();

    members count(transport::instant now) const;
    /// \brief Names of instances that were heard lately and are not leaving, own included, sorted.
    std::vector<std::string> live(transport::instant now) const;
    /// \brief Those of `live` that reach the registry; this instance always counts.
    std::vector<std::string> able(transport::instant now) const;
    /// \brief This instance's place among those of `able`, from 0.
    std::ptrdiff_t place(transport::instant now) const;
    /// \brief The instance that lately said that it gives the orders.
    std::optional<std::string> lease_holder(transport::instant now) const;
    /// \brief Operator addresses from which a newer policy than `version` can be read.
    std::optional<transport::address> holder_of_newer_policy(std::int64_t version,
                                                             transport::instant now) const;

private:
    struct peer {
        transport::address at;
        peer_report last;
        transport::instant heard;
        transport::instant listed; ///< Last known to be a member although not heard.
        bool is_silent = false;
    };

    void on_datagram(std::string_view bytes);
    void read_records();
    void write_record();
    void tick();
    bool is_near(const peer& it) const;

    transport::event_loop& loop_;
    const forward_settings& settings_;
    record_store& records_;
    const event_log& log_;
    report_source source_;
    report_handler on_report_;
    transport::datagram_socket socket_;
    std::map<std::string, peer> peers_;
    std::set<transport::address> seeds_; ///< Peers not heard yet.
    /// Prompts of which only the own data centre was told.
    std::vector<coordination::placed_prompt> untold_;
    std::unique_ptr<transport::timer> tick_timer_;
    std::unique_ptr<transport::timer> retry_timer_;
    transport::instant started_;
    transport::instant next_send_;
    transport::instant next_list_;
    bool recorded_ = false;
    bool leaving_ = false;
};

} // namespace azureyoke::app
