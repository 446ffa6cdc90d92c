#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/peer_directory.h"
#include "azureyoke/src/app/permit_message.h"
#include "azureyoke/src/app/permit_source.h"
#include "azureyoke/src/coordination/paced_returns.h"
#include "azureyoke/src/coordination/permit_issuer.h"

namespace azureyoke::app {

/// \brief Obtains permits from the instances that issue them, and issues those of the servers that
/// fall to this instance. Not thread safe.
///
/// The issuer of a server is an instance of its data centre if there is one. It learns the server's
/// limit from the requests for permits, and replies with its own knowledge. When a limit ends or
/// rises, it tells the instances that wait.
class permit_service : public permit_source {
public:
    permit_service(transport::event_loop& loop, const forward_settings& settings,
                   forward_state& state, peer_directory& peers, const event_log& log,
                   log_rate_limiter& log_limiter, metrics& measures);

    bool required(const std::string& server) const override;
    void acquire(const std::string& server, handler done) override;
    coordination::duration book_return(const std::string& pool, coordination::duration earliest,
                                       coordination::duration latest) override;

    void on_answer(const std::string& server, std::int64_t started_ms, double per_second,
                   transport::instant sent_at) override;
    /// \brief A peer reported. When it has just started, it is told the limits of the servers whose
    /// permits this instance issues, before it sends them requests.
    void on_peer(const std::string& instance, std::uint64_t incarnation);
    /// \brief Handles a datagram of a peer. \returns whether it was one of this service.
    bool on_datagram(std::string_view bytes);
    /// \brief Forgets what is too old.
    void tick();
    /// \returns the instance that issues the permits of the server.
    const std::string& issuer_of(const std::string& server);

private:
    struct pending_request {
        std::string server;
        handler done;
        std::unique_ptr<transport::timer> timeout;
    };

    /// Reads the live instances, if that was not done lately.
    void update_live();
    coordination::permit_decision decide(const std::string& server, const std::string& instance);
    void on_request(const permit_request& request);
    void on_reply(const permit_reply& reply);
    void end_request(std::uint64_t number, bool granted, transport::duration wait);
    void merge(const limit_report& report);
    /// Handles a statement about the server, whose limit was `before`.
    void on_statement(const std::string& server, std::optional<double> before,
                      coordination::server_limits::change change, const std::string& said_by);
    /// Tells the instances that were denied a permit of the server that they may ask at once.
    void invite_waiting(const std::string& server);
    limit_report report_of(const std::string& server) const;
    void send_request(const std::string& server, const std::string& issuer, std::uint64_t number);

    transport::event_loop& loop_;
    const forward_settings& settings_;
    forward_state& state_;
    peer_directory& peers_;
    const event_log& log_;
    log_rate_limiter& log_limiter_;
    metrics& measures_;
    coordination::permit_issuer issuer_;
    std::vector<std::string> live_; ///< The instances among which `issuers_` were chosen.
    transport::instant live_read_at_;
    std::map<std::string, std::vector<std::string>> live_by_data_centre_;
    std::map<std::string, std::string> issuers_;        ///< By server.
    std::map<std::string, std::uint64_t> incarnations_; ///< Of the peers that were told the limits.
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t next_number_ = 1;
    std::map<std::string, coordination::paced_returns> returns_; ///< By pool.
};

} // namespace azureyoke::app
